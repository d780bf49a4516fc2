#pragma once

#include <base/clock.h>

#include <cstddef>
#include <deque>

namespace marigold::relay {

/// Bounds what one process sends to one target within a second, so that all processes together stay under
/// what a cold target bears even if none of them knows yet that it is cold.
class intake_limiter {
public:
    /// Returns true if one more request may be sent at \a now under a share of \a perSecond.
    bool allows(double perSecond, base::time_point now);

    void sent(base::time_point now) { m_sent.push_back(now); }

private:
    std::deque<base::time_point> m_sent;
};

/// How the intake of a target is divided.
struct intake_share {
    double targetPerSecond = 0; ///< That a cold target bears; 0 for no bound.
    int processes = 1; ///< Known to send to it.
    bool cold = false;

    /// Requests within a second that this process may send; at least one.
    double perSecond() const;
};

} // namespace marigold::relay
