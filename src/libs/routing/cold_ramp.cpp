#include "cold_ramp.h"

#include "events.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marigold::routing {

cold_ramp::cold_ramp(options opts)
    : m_options(std::move(opts))
    , m_bound(std::min(m_options.first, m_options.full))
{
}

void cold_ramp::restart()
{
    m_bound = std::min(m_options.first, m_options.full);
    m_baselineRatio = 0;
    m_roundRatioSum = 0;
    m_roundRuns = 0;
    m_coldRunsInRow = 0;
}

int cold_ramp::observe(base::duration serviceTime, base::duration expected)
{
    const double ratio = static_cast<double>(serviceTime.count())
        / static_cast<double>(std::max(expected, base::duration(1)).count());
    const bool cold = m_baselineRatio > 0 && ratio > m_options.coldFactor * std::max(m_baselineRatio, 1.0);
    m_coldRunsInRow = cold ? m_coldRunsInRow + 1 : 0;
    if (m_coldRunsInRow >= m_options.coldRuns) {
        restart();
        if (m_options.log)
            m_options.log->write(events::targetCold, { { "target", m_options.target } });
        return m_bound;
    }
    m_roundRatioSum += ratio;
    if (++m_roundRuns < m_bound)
        return m_bound;
    const double mean = m_roundRatioSum / m_roundRuns;
    m_roundRatioSum = 0;
    m_roundRuns = 0;
    endRound(mean);
    return m_bound;
}

void cold_ramp::endRound(double mean)
{
    const bool first = m_baselineRatio == 0;
    const bool steady = !first && mean <= m_baselineRatio * m_options.steadyFactor;
    if (mean <= m_options.goodFactor || (steady && mean <= m_options.slowestFactor)) {
        m_baselineRatio = mean;
        grow();
        return;
    }
    const int lowest = std::min(m_options.first, m_options.full);
    if (!first && mean > m_baselineRatio * m_options.overloadFactor && m_bound > lowest) {
        m_bound = std::max(static_cast<int>(m_bound / m_options.growth), lowest);
        return;
    }
    // At the lowest bound the load cannot be the cause, so this is the speed of the target itself.
    if (first || m_bound == lowest)
        m_baselineRatio = mean;
}

void cold_ramp::grow()
{
    if (isWarm())
        return;
    const int grown = static_cast<int>(std::ceil(m_bound * m_options.growth));
    m_bound = std::min(std::max(grown, m_bound + 1), m_options.full);
    if (isWarm() && m_options.log)
        m_options.log->write(events::rampComplete, { { "target", m_options.target } });
}

} // namespace marigold::routing
