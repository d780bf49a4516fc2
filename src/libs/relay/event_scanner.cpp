#include "event_scanner.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Returns the position after the last blank line of \a text; zero if there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t withCarriageReturns = text.rfind("\r\n\r\n");
    const std::size_t first = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t second = withCarriageReturns == std::string_view::npos ? 0 : withCarriageReturns + 4;
    return std::max(first, second);
}

} // namespace

std::string event_scanner::feed(std::string_view chunk)
{
    m_partial += chunk;
    const std::size_t end = endOfLastEvent(m_partial);
    std::string complete = m_partial.substr(0, end);
    m_partial.erase(0, end);
    updateLastId(complete);
    return complete;
}

void event_scanner::updateLastId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size() - 1);
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end + 1);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastId = line;
    }
}

} // namespace marigold::relay
