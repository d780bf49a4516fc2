#pragma once

#include <net/event_loop.h>
#include <net/http_types.h>
#include <net/memory_account.h>
#include <relay/message/message_parser.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace marigold::relay {

/// What a process did since its memory or descriptors are limited.
enum class limit_action {
    RequestRefused, ///< A request was refused for lack of memory.
    ConnectionClosed, ///< A connection that made no progress was closed for lack of memory.
    ConnectionRefused, ///< A new connection was refused for lack of descriptors.
    IdleConnectionClosed, ///< A connection without a request, or with a stalled one, was closed for another.
    TargetConnectionRefused, ///< A request got no connection to its target for lack of descriptors.
};

inline constexpr std::size_t limitActions = 5;

/// Returns the snake-case name of \a action.
std::string_view nameOf(limit_action action);

/// Limits of what callers and targets may make the process hold, and how it refuses what exceeds them.
class resource_guard {
public:
    struct options {
        net::memory_account::options memory = {};
        /// Sockets that the process may have open; 0 for no limit.
        std::size_t sockets = 0;
        /// Returns the fields of a refusal of the request \a head, which may be incomplete.
        std::function<net::http_headers(const message_head& head, base::duration retryAfter)> refusalFields
            = {};
        /// Called for the first action of each kind within a minute.
        std::function<void(limit_action)> report = {};
    };

    resource_guard(net::event_loop& loop, const base::clock& time, options opts);

    /// Begins to close connections that stall while memory is short.
    void start();

    net::memory_account& memory() { return m_memory; }
    const net::memory_account& memory() const { return m_memory; }
    const base::clock& clock() const { return m_clock; }

    /// Returns the most connections of callers, 0 for no limit.
    std::size_t maxCallers() const;

    /// Returns the most connections to targets, 0 for no limit.
    std::size_t maxTargets() const;

    /// Returns the fields of a refusal. The time after which to try again varies, so that refused callers do
    /// not return all at once.
    net::http_headers refusalFields(const message_head& head);

    void count(limit_action action);
    std::uint64_t counted(limit_action action) const { return m_counts[static_cast<std::size_t>(action)]; }

    /// Longest time for which the reading of a request is paused before it is refused.
    static constexpr base::duration maxPause = std::chrono::milliseconds(500);
    /// Interval in which a paused request asks for memory again.
    static constexpr base::duration pauseInterval = std::chrono::milliseconds(20);

private:
    net::event_loop& m_loop;
    const base::clock& m_clock;
    options m_options;
    net::memory_account m_memory;
    std::array<std::uint64_t, limitActions> m_counts {};
    std::array<base::time_point, limitActions> m_reported {};
    unsigned m_refusals = 0;
};

} // namespace marigold::relay
