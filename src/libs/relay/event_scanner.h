#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::relay {

/// Splits a stream of server-sent events at event boundaries without changing any byte, so that another
/// target can continue the stream after the last complete event.
class event_scanner {
public:
    /// Adds the next bytes of the stream. Returns the bytes of all events that are complete now.
    std::string feed(std::string_view chunk);

    /// Returns the id of the last complete event that had one.
    const std::string& lastId() const { return m_lastId; }

    /// Returns the size of the partial event.
    std::size_t partialBytes() const { return m_partial.size(); }

    /// Discards the bytes of a partial event.
    void dropPartial() { m_partial.clear(); }

    /// Returns and removes the bytes of a partial event.
    std::string takePartial() { return std::exchange(m_partial, {}); }

private:
    void updateLastId(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

/// Tracks whether a stream of server-sent events is inside an event. Stores nothing of the stream.
class event_boundary {
public:
    /// Adds the next bytes of the stream.
    void feed(std::string_view chunk);

    /// Returns true if the last event is incomplete.
    bool insideEvent() const { return m_insideEvent; }

    /// Returns true if at least one event is complete.
    bool hasEvent() const { return m_hasEvent; }

private:
    bool m_insideEvent = false;
    bool m_hasEvent = false;
    bool m_atLineStart = true;
};

} // namespace marigold::relay
