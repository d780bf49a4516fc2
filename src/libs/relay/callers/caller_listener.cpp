#include "caller_listener.h"

#include <relay/message/http_status.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>

namespace marigold::relay {

namespace {

constexpr int listenBacklog = 1024;

/// A connection without progress for this long may be closed for a new one. A request may be on its way on a
/// connection that was opened or used more recently.
constexpr base::duration minIdleTime = std::chrono::milliseconds(500);

/// Interval between two searches that found no connection to close.
constexpr base::duration searchInterval = std::chrono::milliseconds(50);

/// Share of the connections that one search closes at most, so that not each new one needs a search.
constexpr std::size_t closedShare = 16;

/// Pause after the system has refused another descriptor. The listener would otherwise be called without end.
constexpr base::duration acceptPause = std::chrono::milliseconds(50);

} // namespace

caller_listener::caller_listener(net::event_loop& loop, resource_guard& guard, net::endpoint address,
    request_handler onRequest, std::size_t maxConnections)
    : m_loop(loop)
    , m_guard(guard)
    , m_address(std::move(address))
    , m_onRequest(std::move(onRequest))
    , m_maxConnections(maxConnections)
{
}

caller_listener::~caller_listener()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

base::result<void> caller_listener::listen()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_address.port);
    if (inet_pton(AF_INET, m_address.address.c_str(), &address.sin_addr) != 1)
        return base::notRun(
            base::error_reason::InvalidRequest, fmt::format("{} is not an IPv4 address", m_address.address));
    m_listener
        = evconnlistener_new_bind(m_loop.handle(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            listenBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (!m_listener)
        return base::notRun(
            base::error_reason::Unavailable, fmt::format("cannot listen on {}", m_address.text()));
    evconnlistener_set_error_cb(m_listener, onAcceptError);
    return {};
}

void caller_listener::onAccept(::evconnlistener*, int socket, sockaddr*, int, void* self)
{
    static_cast<caller_listener*>(self)->accept(socket);
}

void caller_listener::onAcceptError(::evconnlistener* listener, void* self)
{
    auto* own = static_cast<caller_listener*>(self);
    own->m_guard.count(limit_action::ConnectionRefused);
    evconnlistener_disable(listener);
    own->m_loop.runAfter(acceptPause, [own] { evconnlistener_enable(own->m_listener); });
}

void caller_listener::makeRoom()
{
    const base::time_point now = m_guard.clock().now();
    if (now < m_nextSearch)
        return;
    std::vector<caller_connection*> candidates;
    for (const auto& [key, connection] : m_connections)
        if (now - connection->lastProgress() >= minIdleTime)
            candidates.push_back(key);
    std::ranges::sort(candidates, {}, &caller_connection::lastProgress);
    std::size_t closed = 0;
    for (caller_connection* connection : candidates) {
        if (closed > m_maxConnections / closedShare)
            break;
        closed += connection->makeRoom() ? 1 : 0;
    }
    if (closed == 0)
        m_nextSearch = now + searchInterval;
}

void caller_listener::refuse(int socket)
{
    m_guard.count(limit_action::ConnectionRefused);
    net::http_headers fields = m_guard.refusalFields({});
    fields.add("Content-Length", "0");
    fields.add("Connection", "close");
    const std::string text = answerHeadText(http_status::serviceUnavailable, fields);
    send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    evutil_closesocket(socket);
}

void caller_listener::accept(int socket)
{
    evutil_make_socket_nonblocking(socket);
    if (m_maxConnections > 0 && m_open >= m_maxConnections)
        makeRoom();
    if (m_maxConnections > 0 && m_open >= m_maxConnections)
        return refuse(socket);
    ++m_open;
    auto owned = std::make_unique<caller_connection>(m_loop, m_guard, socket,
        caller_connection::options {
            .limits = m_limits, .onRequest = m_onRequest, .onClosed = [this](caller_connection& closed) {
                --m_open;
                // The connection may still be on the stack in one of its own callbacks.
                m_loop.runAfter(base::duration::zero(), [this, key = &closed] { m_connections.erase(key); });
            } });
    caller_connection* connection = owned.get();
    m_connections.emplace(connection, std::move(owned));
    if (m_draining)
        connection->closeAfterAnswer();
}

std::vector<caller_connection*> caller_listener::openConnections() const
{
    std::vector<caller_connection*> connections;
    for (const auto& [key, connection] : m_connections)
        connections.push_back(key);
    return connections;
}

bool caller_listener::hasPendingAnswers() const
{
    return std::ranges::any_of(
        m_connections, [](const auto& entry) { return entry.first->pendingBytes() > 0; });
}

void caller_listener::closeAfterAnswer()
{
    m_draining = true;
    for (caller_connection* connection : openConnections())
        connection->closeAfterAnswer();
}

void caller_listener::closeWhenIdle()
{
    m_draining = true;
    for (caller_connection* connection : openConnections())
        connection->closeWhenIdle();
}

} // namespace marigold::relay
