#pragma once

#include "target_connection.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Pool of the connections to all targets; idle ones are reused.
class target_pool {
public:
    struct options {
        /// Idle time up to which a connection is reused if the target has not sent a Keep-Alive timeout.
        base::duration idleLimit = std::chrono::seconds(4);
        /// Safety margin before the target closes an idle connection.
        base::duration idleMargin = std::chrono::milliseconds(800);
        /// A request that must not be sent twice uses only connections that were idle for less than this,
        /// since a target may close an idle connection while the request is in transit.
        base::duration idleLimitUnrepeatable = std::chrono::milliseconds(1500);
        std::size_t maxIdlePerTarget = 16;
        /// Connections to all targets together; 0 for no limit. At the limit, idle ones are closed first. One
        /// target gets at most half of them, so that its requests leave some for those to other targets.
        std::size_t maxConnections = 0;
        /// Called when a connection was refused because of `maxConnections`.
        std::function<void()> onLimited = {};
        /// Called when a target has sent bytes that belong to no waiting request.
        std::function<void(const net::endpoint&, stray_place)> onStrayBytes = {};
    };

    target_pool(net::event_loop& loop, const base::clock& time, options opts);

    /// Idle connections that a request may use.
    enum class reuse {
        Any, ///< For a request that may be sent again if the connection turns out to be closed.
        RecentlyUsed, ///< For a request that must not be sent twice.
        /// For a request that was sent to the same address before. A faulty target may repeat its earlier
        /// answer on the connection of that send, and the id would not tell it from the new one.
        None,
    };

    /// Returns a connection to \a to, an idle one if \a reusable allows it; null if \a maxConnections are in
    /// use.
    target_connection* acquire(const net::endpoint& to, reuse reusable, std::size_t maxConnections);

    /// Returns whether `maxConnections` allows no further connection to \a to.
    bool isLimited(const net::endpoint& to) const;

    /// Closes the idle connections to \a to, for example because the address now belongs to another target.
    void closeIdle(const net::endpoint& to);

    std::size_t open() const { return m_open; }

private:
    struct address_record {
        std::vector<target_connection*> idle;
        std::size_t open = 0;
    };

    bool isFull() const { return m_options.maxConnections > 0 && m_open >= m_options.maxConnections; }
    bool hasShare(const address_record& record) const;
    void closeLongestIdle();
    void connectionClosed(target_connection& connection);
    void connectionIdle(target_connection& connection);
    bool isReusable(const target_connection& connection, reuse reusable) const;

    net::event_loop& m_loop;
    const base::clock& m_clock;
    options m_options;
    std::size_t m_open = 0; ///< Connections whose descriptor is open.
    std::map<std::string, address_record> m_addresses;
    std::unordered_map<target_connection*, std::unique_ptr<target_connection>> m_connections;
};

} // namespace marigold::relay
