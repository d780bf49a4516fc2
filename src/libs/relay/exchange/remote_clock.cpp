#include "remote_clock.h"

#include <algorithm>
#include <utility>

namespace marigold::relay {

namespace {

std::int64_t millisecondsOf(base::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

void remote_clock::observe(std::int64_t milliseconds, base::time_point receivedAt)
{
    const std::int64_t offset = milliseconds - millisecondsOf(receivedAt);
    if (!m_offsets[0] || receivedAt - m_periodBegin >= period) {
        m_offsets[1] = std::exchange(m_offsets[0], offset);
        m_periodBegin = receivedAt;
    }
    m_offsets[0] = std::max(*m_offsets[0], offset);
}

std::optional<std::int64_t> remote_clock::at(base::time_point time) const
{
    if (!m_offsets[0])
        return std::nullopt;
    return millisecondsOf(time) + std::max(*m_offsets[0], m_offsets[1].value_or(*m_offsets[0]));
}

} // namespace marigold::relay
