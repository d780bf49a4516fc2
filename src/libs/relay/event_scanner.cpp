#include "event_scanner.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Returns the position after the last blank line of \a text; zero if there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t withReturns = text.rfind("\r\n\r\n");
    const std::size_t first = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t second = withReturns == std::string_view::npos ? 0 : withReturns + 4;
    return std::max(first, second);
}

} // namespace

std::string event_scanner::feed(std::string_view piece)
{
    m_partial += piece;
    const std::size_t end = endOfLastEvent(m_partial);
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    readIds(whole);
    return whole;
}

void event_scanner::readIds(std::string_view events)
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
