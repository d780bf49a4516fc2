#include "event_scanner.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace marigold::relay {

namespace {

constexpr std::string_view statusLineStart = "HTTP/1.";

/// Returns whether an event with \a id may follow one with \a last. Ids increase if they are numbers.
bool isAfter(std::string_view id, std::string_view last)
{
    const auto numberOf = [](std::string_view text) -> std::optional<std::uint64_t> {
        std::uint64_t value = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isWhole = failure == std::errc {} && end == text.data() + text.size();
        return isWhole ? std::optional(value) : std::nullopt;
    };
    const auto number = numberOf(id);
    const auto lastNumber = numberOf(last);
    return number && lastNumber ? *number > *lastNumber : id != last;
}

} // namespace

std::size_t event_boundary::feed(std::string_view chunk)
{
    std::size_t end = 0;
    std::size_t lineStart = 0;
    for (std::size_t i = 0; i < chunk.size(); ++i) {
        const char byte = chunk[i];
        if (m_atLineStart)
            lineStart = i;
        const bool mayBeStatusLine = m_atLineStart || m_statusLineBytes > 0;
        m_statusLineBytes
            = mayBeStatusLine && byte == statusLineStart[m_statusLineBytes] ? m_statusLineBytes + 1 : 0;
        if (m_statusLineBytes == statusLineStart.size()) {
            m_statusLine = lineStart;
            return end;
        }
        const bool endsSameLine = byte == '\n' && m_afterCarriageReturn;
        m_afterCarriageReturn = byte == '\r';
        if (byte == '\r' || byte == '\n') {
            if (!endsSameLine)
                endLine();
        } else {
            m_hasField = m_hasField || (m_atLineStart && byte != ':');
            m_atLineStart = false;
        }
        if (!insideEvent())
            end = i + 1;
    }
    return end;
}

void event_boundary::endLine()
{
    if (m_atLineStart) {
        m_events += m_hasField ? 1 : 0;
        m_hasField = false;
    }
    m_atLineStart = true;
}

std::string event_scanner::feed(std::string_view chunk)
{
    const std::size_t end = m_boundary.feed(chunk);
    std::string complete;
    if (end > 0) {
        complete = std::exchange(m_partial, {});
        complete += chunk.substr(0, end);
        updateLastId(complete);
    }
    m_partial += chunk.substr(end);
    return complete;
}

void event_scanner::dropPartial()
{
    m_partial.clear();
    m_boundary = {};
    m_beganAnew = false;
    m_goesOn = !m_lastId.empty();
}

void event_scanner::updateLastId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        const std::size_t end = std::min(events.find_first_of("\r\n"), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (std::exchange(m_goesOn, false) && !isAfter(line, m_lastId)) {
            m_beganAnew = true;
            return;
        }
        m_lastId = line;
    }
}

} // namespace marigold::relay
