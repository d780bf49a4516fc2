#pragma once

#include <net/event_loop.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

namespace marigold::testing {

/// Sends the same bytes on each connection once a request head has arrived, so that it can violate HTTP.
class raw_server {
public:
    struct options {
        std::string start = {};
        std::string flood = {}; ///< Sent without end after `start`; if empty, the connection is closed.
        std::string later = {}; ///< Sent for each request after the first one; the connection stays open.
        std::string unasked = {}; ///< Sent on the open connection some time after `start`.
        bool endsWithAnswer = false; ///< Nothing listens any more once the first connection is closed.
        /// Ends the connection this long after `start`, and reads nothing beyond the request head.
        std::optional<base::duration> endAfter = {};
        bool endsInOrder = false; ///< The end is a FIN instead of a reset.
        /// If set, the end waits until it returns true.
        std::function<bool(std::uint16_t port)> mayEnd = {};
    };

    raw_server(net::event_loop& loop, options opts)
        : m_loop(loop)
        , m_options(std::move(opts))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        m_listener = evconnlistener_new_bind(loop.handle(), onAccepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, reinterpret_cast<sockaddr*>(&address),
            sizeof(address));
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
    }
    ~raw_server()
    {
        m_loop.cancel(m_timer);
        closeConnection();
        closeListener();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port = 0;
    std::size_t sentBytes = 0;
    int requests = 0;

private:
    static void onAccepted(evconnlistener*, int socket, sockaddr*, int, void* argument)
    {
        auto* self = static_cast<raw_server*>(argument);
        self->closeConnection();
        self->m_events = bufferevent_socket_new(self->m_loop.handle(), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(self->m_events, onReadable, onWritten, onClosed, self);
        bufferevent_enable(self->m_events, EV_READ | EV_WRITE);
    }
    static void onReadable(bufferevent* events, void* argument)
    {
        auto* self = static_cast<raw_server*>(argument);
        evbuffer* input = bufferevent_get_input(events);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0)
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        ++self->requests;
        if (self->m_options.endAfter) {
            bufferevent_disable(events, EV_READ);
            self->m_timer = self->m_loop.runAfter(*self->m_options.endAfter, [self] {
                self->m_timer = 0;
                self->endConnection();
            });
        }
        self->write(self->requests == 1 || self->m_options.later.empty() ? self->m_options.start
                                                                         : self->m_options.later);
        if (self->requests == 1 && !self->m_options.unasked.empty())
            self->m_timer = self->m_loop.runAfter(std::chrono::milliseconds(20), [self] {
                self->m_timer = 0;
                if (self->m_events)
                    self->write(self->m_options.unasked);
            });
    }
    static void onWritten(bufferevent*, void* argument)
    {
        auto* self = static_cast<raw_server*>(argument);
        if (self->sentBytes == 0)
            return; // The connection is ready for writing, and no request has arrived.
        if (!self->m_options.flood.empty())
            return self->write(self->m_options.flood);
        if (!self->m_options.later.empty() || self->m_options.endAfter)
            return;
        if (self->m_options.endsWithAnswer)
            self->closeListener();
        self->closeConnection();
    }
    static void onClosed(bufferevent*, short, void* argument)
    {
        static_cast<raw_server*>(argument)->closeConnection();
    }
    void write(const std::string& bytes)
    {
        sentBytes += bytes.size();
        bufferevent_write(m_events, bytes.data(), bytes.size());
    }
    void closeConnection()
    {
        if (m_events)
            bufferevent_free(std::exchange(m_events, nullptr));
    }
    void endConnection()
    {
        if (!m_events)
            return;
        if (m_options.mayEnd && !m_options.mayEnd(port)) {
            m_timer = m_loop.runAfter(std::chrono::milliseconds(1), [this] {
                m_timer = 0;
                endConnection();
            });
            return;
        }
        const int socket = bufferevent_getfd(m_events);
        if (m_options.endsInOrder) {
            shutdown(socket, SHUT_WR);
            return;
        }
        const linger discard { .l_onoff = 1, .l_linger = 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        closeConnection();
    }
    void closeListener()
    {
        if (m_listener)
            evconnlistener_free(std::exchange(m_listener, nullptr));
    }

    net::event_loop& m_loop;
    options m_options;
    evconnlistener* m_listener = nullptr;
    bufferevent* m_events = nullptr;
    base::timer_id m_timer = 0;
};

} // namespace marigold::testing
