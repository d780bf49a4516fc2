#include "send_rate_limiter.h"

#include <algorithm>
#include <limits>

namespace marigold::relay {

namespace {

/// Slightly longer than a second, since requests may be delayed in transit and then arrive together.
constexpr base::duration window = std::chrono::milliseconds(1080);

/// Factor by which a process may exceed its share at a warm target. Warm targets are limited as well, since a
/// target may become cold without notice. Processes seldom choose the same target at the same time, so the
/// sum stays below the bound.
constexpr double warmFactor = 2.5;

} // namespace

bool send_rate_limiter::allows(double perSecond, base::time_point now)
{
    while (!m_sendTimes.empty() && m_sendTimes.front() + window <= now)
        m_sendTimes.pop_front();
    return static_cast<double>(m_sendTimes.size()) + 1 <= perSecond;
}

double send_rate_share::perSecond() const
{
    if (targetPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    // Counts one more process than is known, since a partitioned process still sends but is not counted.
    const double share = targetPerSecond / (processes + 1);
    return std::max(1.0, cold ? share : share * warmFactor);
}

} // namespace marigold::relay
