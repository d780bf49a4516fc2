#include "event_scanner.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Returns the position after the last blank line of \a text; zero if there is none. No blank line ends
/// before \a searched.
std::size_t endOfLastEvent(std::string_view text, std::size_t searched)
{
    constexpr std::size_t longestBlankLine = 4;
    const std::size_t from = searched - std::min(searched, longestBlankLine - 1);
    const std::string_view added = text.substr(from);
    const std::size_t plain = added.rfind("\n\n");
    const std::size_t withCarriageReturns = added.rfind("\r\n\r\n");
    const std::size_t first = plain == std::string_view::npos ? 0 : from + plain + 2;
    const std::size_t second
        = withCarriageReturns == std::string_view::npos ? 0 : from + withCarriageReturns + 4;
    return std::max(first, second);
}

} // namespace

std::string event_scanner::feed(std::string_view chunk)
{
    const std::size_t searched = m_partial.size();
    m_partial += chunk;
    const std::size_t end = endOfLastEvent(m_partial, searched);
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

void event_boundary::feed(std::string_view chunk)
{
    for (const char byte : chunk) {
        if (byte == '\r')
            continue;
        if (byte == '\n' && m_atLineStart) {
            m_hasEvent = m_hasEvent || m_insideEvent;
            m_insideEvent = false;
        }
        m_atLineStart = byte == '\n';
        m_insideEvent = m_insideEvent || byte != '\n';
    }
}

} // namespace marigold::relay
