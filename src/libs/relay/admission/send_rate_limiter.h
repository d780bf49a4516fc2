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

/// The part of a bound that one of several processes may use, such that the parts of all processes never
/// exceed the bound. Where the bound is smaller than the number of processes, only some of them may use it at
/// all.
struct bounded_share {
    double bound = 0; ///< For all processes together.
    double usedShare
        = 0.75; ///< Share of the bound that is used. The rest covers processes whose views differ.
    std::size_t processes = 1; ///< Processes that divide the bound, including this one.
    /// Number of those that precede this process; the order differs between bounds, so that no process is
    /// always last.
    std::size_t rank = 0;
    /// This process may be missing from the view of the others, which then divide the bound among fewer.
    bool isolated = false;

    /// Returns the share of this process, a whole number in the unit of the bound.
    double value() const;
};

/// Divides the request rate of a target among the processes that send to it.
struct send_rate_share {
    bounded_share target = {}; ///< Requests per second that the target can serve while cold; 0 is no limit.
    bool cold = false;

    /// Returns the number of requests that this process may send within a second.
    double perSecond() const;
};

} // namespace marigold::relay
