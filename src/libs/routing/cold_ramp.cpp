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
    m_goodRuns = 0;
    m_coldRunsInRow = 0;
}

int cold_ramp::observe(base::duration serviceTime, base::duration expected)
{
    const double ratio = static_cast<double>(serviceTime.count())
        / static_cast<double>(std::max(expected, base::duration(1)).count());
    m_coldRunsInRow = ratio > m_options.coldFactor ? m_coldRunsInRow + 1 : 0;
    if (m_coldRunsInRow >= m_options.coldRuns && m_bound > m_options.first) {
        restart();
        if (m_options.log)
            m_options.log->write(events::targetCold, { { "target", m_options.target } });
        return m_bound;
    }
    if (ratio > m_options.goodFactor) {
        m_goodRuns = 0;
        return m_bound;
    }
    if (isWarm() || ++m_goodRuns < m_bound)
        return m_bound;
    m_goodRuns = 0;
    const int grown = static_cast<int>(std::ceil(m_bound * m_options.growth));
    m_bound = std::min(std::max(grown, m_bound + 1), m_options.full);
    if (isWarm() && m_options.log)
        m_options.log->write(events::rampComplete, { { "target", m_options.target } });
    return m_bound;
}

} // namespace marigold::routing
