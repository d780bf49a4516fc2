#pragma once

#include <base/clock.h>

#include <cstddef>
#include <deque>

namespace marigold::relay {

/// Bounds what one process sends to one target within a second, so that all processes together stay under
/// the capacity of a cold target even before any of them has learned that it is cold.
class send_rate_limiter {
public:
    /// Returns true if one more request may be sent at \a now under a share of \a perSecond.
    bool allows(double perSecond, base::time_point now);

    void recordSend(base::time_point now) { m_sendTimes.push_back(now); }

private:
    std::deque<base::time_point> m_sendTimes;
};

/// Divides the request rate of a target among the processes.
struct send_rate_share {
    double targetPerSecond = 0; ///< Rate that a cold target can serve; 0 if there is no limit.
    int processes = 1; ///< Number of processes known to send to the target.
    bool cold = false;

    /// Returns the number of requests that this process may send within a second, at least one.
    double perSecond() const;
};

} // namespace marigold::relay
