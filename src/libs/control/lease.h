#pragma once

#include <base/base.h>

namespace marigold::control {

/// A lease as its holder sees it, on the holder's monotonic clock.
///
/// It counts from before the write that took or renewed it was sent, so that it ends here before it ends for
/// anyone else; the margin covers the drift between the clocks of two VMs.
class lease {
public:
    struct options {
        base::duration timeToLive = std::chrono::seconds(10);
        base::duration margin = std::chrono::seconds(2);
    };

    lease(const base::clock& time, options opts)
        : m_clock(time)
        , m_options(opts)
    {
    }

    /// Starts or extends the lease by a write that was sent at \a sentAt and succeeded.
    void confirm(base::time_point sentAt)
    {
        m_held = true;
        m_end = sentAt + m_options.timeToLive - m_options.margin;
    }

    void end() { m_held = false; }

    /// Returns how long the holder may still act; zero or less after the end.
    base::duration remaining() const { return m_held ? m_end - m_clock.now() : base::duration::zero(); }

    bool isValid() const { return remaining() > base::duration::zero(); }

private:
    const base::clock& m_clock;
    options m_options;
    bool m_held = false;
    base::time_point m_end {};
};

} // namespace marigold::control
