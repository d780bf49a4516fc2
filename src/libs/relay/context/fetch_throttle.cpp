#include "fetch_throttle.h"

#include <algorithm>

#include <base/digest.h>

namespace marigold::relay {

fetch_throttle::fetch_throttle(options opts)
    : m_options(opts)
{
}

void fetch_throttle::record(int inTime, int late, base::time_point now)
{
    m_inTime += inTime;
    m_late += late;
    adapt(now);
}

bool fetch_throttle::admits(std::string_view partId, base::time_point now)
{
    adapt(now);
    if (m_share >= 1)
        return true;
    constexpr std::uint64_t seed = 3; // Independent of the hashes that choose stores and groups.
    constexpr double hashes = 18446744073709551616.0; // 2^64
    return static_cast<double>(base::hash64(partId, seed)) / hashes < m_share;
}

void fetch_throttle::adapt(base::time_point now)
{
    if (now - m_adaptedAt < m_options.interval)
        return;
    m_adaptedAt = now;
    const int all = m_inTime + m_late;
    const bool keepsUp = m_late <= m_options.toleratedLateShare * all;
    if (keepsUp)
        m_share = std::min(1.0, m_share + m_options.increase);
    else if (all >= m_options.minOutcomes)
        m_share = std::max(m_options.smallestShare, m_share * m_options.decrease);
    m_inTime = m_late = 0;
}

} // namespace marigold::relay
