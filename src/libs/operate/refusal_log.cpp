#include "refusal_log.h"

#include <string>

namespace marigold::operate {

void refusal_log::add(std::string_view detail)
{
    ++m_total;
    const base::time_point now = m_clock.now();
    if (!m_log || (m_lastLineTime && now - *m_lastLineTime < m_interval))
        return;
    m_log->write(
        m_event, { { "count", std::to_string(m_total - m_logged) }, { "detail", std::string(detail) } });
    m_lastLineTime = now;
    m_logged = m_total;
}

} // namespace marigold::operate
