#include "send_rate_limiter.h"

#include <cmath>
#include <limits>

namespace marigold::relay {

namespace {

/// Slightly longer than a second, since requests may be delayed in transit and then arrive together.
constexpr base::duration window = std::chrono::milliseconds(1080);

/// Factor by which a process may exceed its share at a warm target. Warm targets are limited as well, since a
/// target may become cold without notice. Processes seldom choose the same target at the same time, so the
/// sum stays below the bound.
constexpr double warmFactor = 3;

/// Factor by which a process that the others may not count reduces its share. With three quarters of the
/// bound used, a quarter is left for all of these together.
constexpr double isolatedFactor = 3;

/// Reserve for a process that has started and is not registered yet; such a process is seldom at its limit.
constexpr double unregisteredProcesses = 1.0 / 3;

} // namespace

bool send_rate_limiter::allows(double perSecond, base::time_point now)
{
    while (!m_sendTimes.empty() && m_sendTimes.front() + window <= now)
        m_sendTimes.pop_front();
    return static_cast<double>(m_sendTimes.size()) + 1 <= perSecond;
}

double bounded_share::value() const
{
    const auto count = static_cast<double>(processes);
    const double share
        = usedShare * bound / ((isolated ? isolatedFactor * count : count) + unregisteredProcesses);
    const double whole = std::floor(share);
    // The first of the processes use what rounding down leaves over.
    const bool usesRest = static_cast<double>(rank) + 1 <= (share - whole) * count;
    return whole + (usesRest ? 1 : 0);
}

double send_rate_share::perSecond() const
{
    if (target.bound <= 0)
        return std::numeric_limits<double>::infinity();
    if (cold)
        return target.value();
    bounded_share warm = target;
    warm.bound *= warmFactor;
    warm.isolated
        = false; // The factor is no guarantee either, and an outage of the store must not cost service.
    return warm.value();
}

} // namespace marigold::relay
