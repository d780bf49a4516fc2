#pragma once

#include "target_connection.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Connections to all targets; idle ones are kept for the next request.
class target_pool {
public:
    struct options {
        /// Kept connections of a target that has not said how long it keeps them.
        base::duration idleLimit = std::chrono::seconds(4);
        /// A connection is not used in the last moments before the target closes it.
        base::duration idleMargin = std::chrono::milliseconds(800);
        /// A request that must not be sent twice takes only a connection that was idle for less than this,
        /// since a target may drop an idle connection just as the request arrives.
        base::duration idleLimitUnrepeatable = std::chrono::milliseconds(1500);
        std::size_t maxIdlePerTarget = 16;
    };

    target_pool(net::event_loop& loop, const base::clock& time, options opts);

    /// Returns a connection to \a to, a kept one if it is safe to use; \a repeatable says whether the request
    /// may be sent once more when the connection turns out to be closed. Null when \a maxConnections are
    /// open.
    target_connection* take(const net::endpoint& to, bool repeatable, std::size_t maxConnections);

    /// Closes the idle connections to \a to, for example because another target has the address now.
    void forget(const net::endpoint& to);

    std::size_t open() const { return m_connections.size(); }

private:
    struct address_record {
        std::vector<target_connection*> idle;
        std::size_t open = 0;
    };

    void closed(target_connection& connection);
    void becameIdle(target_connection& connection);
    bool isFresh(const target_connection& connection, bool repeatable) const;

    net::event_loop& m_loop;
    const base::clock& m_clock;
    options m_options;
    std::map<std::string, address_record> m_addresses;
    std::unordered_map<target_connection*, std::unique_ptr<target_connection>> m_connections;
};

} // namespace marigold::relay
