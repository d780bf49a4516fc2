#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::relay {

/// Tracks whether a stream of server-sent events is inside an event. Stores nothing of the stream. Lines end
/// with a line feed, a carriage return or both; a block of comment lines is no event (HTML Living Standard,
/// section 9.2.6).
class event_boundary {
public:
    /// Adds the next bytes of the stream. Returns the position in \a chunk after the last byte that is
    /// followed by a new event or the end of the stream; 0 if there is none.
    std::size_t feed(std::string_view chunk);

    /// Returns where in the chunk that was added last the line begins that is the status line of another
    /// answer, so that the stream ends before it. Its first bytes may be in earlier chunks.
    std::optional<std::size_t> statusLine() const { return m_statusLine; }

    /// Returns true if the last event or the last line is incomplete.
    bool insideEvent() const { return m_hasField || !m_atLineStart; }

    /// Returns true if at least one event is complete.
    bool hasEvent() const { return m_events > 0; }

    /// Returns the number of complete events.
    int events() const { return m_events; }

private:
    void endLine();

    int m_events = 0;
    bool m_hasField = false; ///< A line of the current event that is no comment has begun.
    bool m_atLineStart = true;
    std::size_t m_statusLineBytes = 0; ///< Of the current line that begin a status line; 0 if others do not.
    std::optional<std::size_t> m_statusLine;
    bool m_afterCarriageReturn = false; ///< A line feed that follows belongs to the same line end.
};

/// Splits a stream of server-sent events at event boundaries without changing any byte, so that another
/// target can continue the stream after the last complete event.
class event_scanner {
public:
    /// Adds the next bytes of the stream. Returns the bytes of all events that are complete now.
    std::string feed(std::string_view chunk);

    /// Returns true if the stream that was to go on after the last event began with an earlier one or the
    /// same. Its events are not to be used.
    bool beganAnew() const { return m_beganAnew; }

    /// Returns the id of the last complete event that had one.
    const std::string& lastId() const { return m_lastId; }

    /// Returns the size of the partial event.
    std::size_t partialBytes() const { return m_partial.size(); }

    /// Discards the bytes of a partial event. The next bytes begin another stream.
    void dropPartial();

    /// Returns and removes the bytes of a partial event.
    std::string takePartial() { return std::exchange(m_partial, {}); }

private:
    void updateLastId(std::string_view events);

    event_boundary m_boundary;
    std::string m_partial;
    std::string m_lastId;
    bool m_goesOn = false; ///< No id has been received since the stream was to go on.
    bool m_beganAnew = false;
};

} // namespace marigold::relay
