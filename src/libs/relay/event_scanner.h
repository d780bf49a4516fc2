#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace marigold::relay {

/// Splits a stream of server-sent events at the ends of events, without changing a byte, so that a stream can
/// be continued by another target after the last whole event.
class event_scanner {
public:
    /// Takes the next bytes; returns those of the events that are whole now.
    std::string feed(std::string_view piece);

    /// Id of the last whole event that had one.
    const std::string& lastId() const { return m_lastId; }

    /// Drops the bytes of an unfinished event.
    void dropPartial() { m_partial.clear(); }

    /// Returns the bytes of an unfinished event and forgets them.
    std::string takePartial() { return std::exchange(m_partial, {}); }

private:
    void readIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace marigold::relay
