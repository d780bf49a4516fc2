#include "connection_probe.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/util.h>

namespace marigold::net {

struct connection_probe::attempt {
    connection_probe& owner;
    handler done;
    base::timer_id timer = 0;
};

connection_probe::connection_probe(event_loop& loop)
    : m_loop(loop)
{
}

connection_probe::~connection_probe()
{
    for (const auto& [events, item] : m_attempts) {
        m_loop.cancel(item->timer);
        bufferevent_free(events);
    }
}

void connection_probe::probe(const endpoint& address, base::duration timeout, handler done)
{
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &to.sin_addr);
    bufferevent* events = bufferevent_socket_new(m_loop.handle(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto item = std::make_unique<attempt>(attempt { .owner = *this, .done = std::move(done) });
    bufferevent_setcb(events, nullptr, nullptr, onEvent, item.get());
    item->timer = m_loop.runAfter(timeout, [this, events] { finish(events, probe_result::Unknown); });
    m_attempts.emplace(events, std::move(item));
    bufferevent_socket_connect(events, reinterpret_cast<sockaddr*>(&to), sizeof(to));
}

void connection_probe::onEvent(bufferevent* events, short what, void* context)
{
    auto* item = static_cast<attempt*>(context);
    if (what & BEV_EVENT_CONNECTED)
        return item->owner.finish(events, probe_result::Accepted);
    const bool refused = (what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    item->owner.finish(events, refused ? probe_result::Refused : probe_result::Unknown);
}

void connection_probe::finish(bufferevent* events, probe_result result)
{
    const auto found = m_attempts.find(events);
    if (found == m_attempts.end())
        return;
    const std::unique_ptr<attempt> item = std::move(found->second);
    m_attempts.erase(found);
    m_loop.cancel(item->timer);
    bufferevent_free(events);
    item->done(result);
}

} // namespace marigold::net
