#include "recent_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marigold::relay {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

} // namespace

std::size_t recent_times::bucketOf(base::duration time)
{
    const double milliseconds = static_cast<double>(time.count()) / microsecondsPerMillisecond;
    if (milliseconds <= 1)
        return 0;
    const double exponent = std::ceil(std::log(milliseconds) / std::log(growth));
    return std::min(static_cast<std::size_t>(exponent), buckets - 1);
}

base::duration recent_times::upperBound(std::size_t bucket)
{
    const double milliseconds = std::pow(growth, static_cast<double>(bucket));
    return base::duration(static_cast<std::int64_t>(milliseconds * microsecondsPerMillisecond));
}

void recent_times::add(base::duration time, base::time_point now)
{
    const double halves = std::chrono::duration<double>(now - m_decayedAt).count()
        / std::chrono::duration<double>(halfLife).count();
    if (halves > 0) {
        const auto factor = static_cast<float>(std::exp2(-halves));
        for (float& weight : m_weights)
            weight *= factor;
        m_decayedAt = now;
    }
    m_weights.at(bucketOf(time)) += 1;
}

std::optional<base::duration> recent_times::percentile(
    double percentile, double minSamples, base::time_point now) const
{
    const double halves = std::chrono::duration<double>(now - m_decayedAt).count()
        / std::chrono::duration<double>(halfLife).count();
    const double total = std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
    if (total * std::exp2(-std::max(halves, 0.0)) < minSamples)
        return std::nullopt;
    double below = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        below += static_cast<double>(m_weights.at(bucket));
        if (below >= percentile * total)
            return upperBound(bucket);
    }
    return upperBound(buckets - 1);
}

} // namespace marigold::relay
