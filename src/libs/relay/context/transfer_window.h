#pragma once

#include <base/clock.h>

#include <array>
#include <cstddef>

namespace marigold::relay {

/// Limits the transfers that this process has in flight from one store, by additive increase and
/// multiplicative decrease (Chiu and Jain 1989) on the delay beyond what the link rate explains. This keeps
/// the queue short at a store whose link has become slow or is also used by other processes.
class transfer_window {
public:
    struct options {
        double initialSize = 8;
        double minSize = 1;
        double maxSize = 24;
        /// Delay beyond the expected one above which the link is taken to have a queue.
        base::duration toleratedDelay = std::chrono::milliseconds(120);
        /// Shortest time between two decreases: transfers from the same queue end together and must not
        /// shrink the window more than once.
        base::duration shrinkInterval = std::chrono::milliseconds(250);
        /// Of the last `historySize` transfers, this many must have exceeded `toleratedDelay` before the
        /// window shrinks. Single delays are caused by the target that fetches.
        std::size_t delayedToShrink = 4;
    };

    explicit transfer_window(options opts);
    transfer_window()
        : transfer_window(options {})
    {
    }

    bool hasCapacity() const { return m_inFlight + 1 <= m_size; }
    void transferStarted() { ++m_inFlight; }

    /// Records the end of a transfer that took \a excess longer than expected.
    void transferFinished(base::duration excess, base::time_point now);

    /// Records the end of a transfer whose duration is unknown.
    void transferAbandoned() { --m_inFlight; }

    double size() const { return m_size; }

private:
    options m_options;
    double m_size;
    int m_inFlight = 0;
    base::time_point m_shrunkAt {};
    static constexpr std::size_t historySize = 5;
    std::array<bool, historySize> m_recentDelayed {}; ///< Ring buffer of the most recent transfers.
    std::size_t m_next = 0;
};

} // namespace marigold::relay
