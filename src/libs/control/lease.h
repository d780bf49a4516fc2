#pragma once

#include <base/base.h>

namespace marigold::control {

/// A lease from the view of its holder, on the holder's monotonic clock.
///
/// It starts when the write that acquired or renewed it is sent, so that it expires for the holder before it
/// expires for other processes. The margin covers the clock drift between two VMs.
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

    /// Starts or extends the lease after a successful write that was sent at \a sentAt.
    void confirm(base::time_point sentAt)
    {
        m_held = true;
        m_end = sentAt + m_options.timeToLive - m_options.margin;
    }

    void end() { m_held = false; }

    /// Returns the time left on the lease; zero or less after it expired.
    base::duration remaining() const { return m_held ? m_end - m_clock.now() : base::duration::zero(); }

    bool isValid() const { return remaining() > base::duration::zero(); }

private:
    const base::clock& m_clock;
    options m_options;
    bool m_held = false;
    base::time_point m_end {};
};

} // namespace marigold::control
