#include "target_pace.h"

#include <algorithm>
#include <cmath>

namespace marigold::relay {

namespace {

constexpr double percentPerUnit = 100;

double secondsOf(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void target_pace::report(int percent, base::time_point at)
{
    if (percent <= 0 || (m_reported && at < m_lastAt))
        return;
    const double reported
        = std::clamp(percentPerUnit / percent, 1 / m_options.slowest, 1 / m_options.fastest);
    // Work progresses with the speed, so that the mean of the speeds tells its duration.
    const double weight
        = isKnown(at) ? 1 - std::exp(-secondsOf(at - m_lastAt) / secondsOf(m_options.smoothing)) : 1.0;
    m_speed += weight * (reported - m_speed);
    m_lastAt = at;
    m_reported = true;
}

double target_pace::speed(base::time_point now) const
{
    if (!isKnown(now))
        return 1;
    const double age = secondsOf(std::max(now - m_lastAt, base::duration::zero()));
    return 1 + (m_speed - 1) * (1 - age / secondsOf(m_options.lifetime));
}

double target_pace::factor(base::time_point now) const
{
    return 1 / speed(now);
}

} // namespace marigold::relay
