#pragma once

#include "caller_connection.h"

#include <memory>
#include <unordered_map>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace marigold::relay {

/// Accepts and owns the connections of callers on one address.
class caller_listener {
public:
    using request_handler = std::function<void(caller_connection&, message_head&&, content_buffer&& body)>;

    /// Limits the connections to \a maxConnections, 0 for no limit.
    caller_listener(net::event_loop& loop, resource_guard& guard, net::endpoint address,
        request_handler onRequest, std::size_t maxConnections = 0);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    base::result<void> listen();

    /// Sets the limits of connections that are accepted from now on.
    void setLimits(const caller_limits& limits) { m_limits = limits; }

    /// Closes each connection after its next answer, including those accepted later. A caller whose load
    /// balancer has not yet detected the shutdown is still served.
    void closeAfterAnswer();

    /// Closes idle connections now and the others after their current answer.
    void closeWhenIdle();

    std::size_t connections() const { return m_open; }

    /// Returns whether a caller has yet to take bytes of an answer.
    bool hasPendingAnswers() const;

private:
    static void onAccept(::evconnlistener* listener, int socket, ::sockaddr* peer, int length, void* self);
    static void onAcceptError(::evconnlistener* listener, void* self);
    void accept(int socket);
    void makeRoom();
    void refuse(int socket);
    std::vector<caller_connection*> openConnections() const;

    net::event_loop& m_loop;
    resource_guard& m_guard;
    net::endpoint m_address;
    request_handler m_onRequest;
    std::size_t m_maxConnections;
    std::size_t m_open = 0; ///< Connections whose descriptor is open.
    base::time_point m_nextSearch {}; ///< No connection can be closed for a new one before.
    caller_limits m_limits;
    bool m_draining = false;
    ::evconnlistener* m_listener = nullptr;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> m_connections;
};

} // namespace marigold::relay
