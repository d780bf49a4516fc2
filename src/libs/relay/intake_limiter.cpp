#include "intake_limiter.h"

#include <algorithm>
#include <limits>

namespace marigold::relay {

namespace {

/// A little over a second, since requests may be delayed on their way and then arrive together.
constexpr base::duration window = std::chrono::milliseconds(1080);

/// A warm target may turn cold without notice; processes seldom choose the same target at once, so that each
/// may exceed its share this much while the sum stays under the bound.
constexpr double warmFactor = 2.5;

} // namespace

bool intake_limiter::allows(double perSecond, base::time_point now)
{
    while (!m_sent.empty() && m_sent.front() + window <= now)
        m_sent.pop_front();
    return static_cast<double>(m_sent.size()) + 1 <= perSecond;
}

double intake_share::perSecond() const
{
    if (targetPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    // One more than is known, since a process that is cut off still sends but is not counted.
    const double share = targetPerSecond / (processes + 1);
    return std::max(1.0, cold ? share : share * warmFactor);
}

} // namespace marigold::relay
