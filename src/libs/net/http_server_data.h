#pragma once

#include "http_server.h"

#include <memory>
#include <unordered_map>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

namespace marigold::net {

/// evhtp declares hooks without parameters, but calls each with the parameters of its hook type.
template <typename Function> evhtp_hook asHook(Function* function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(function));
}

/// What one connection of a server makes it hold.
struct server_connection {
    http_server::private_data& server;
    evhtp_connection_t* connection;
    memory_account::holder account;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0; ///< Received.
    bool isHandling = false; ///< A complete request is being answered.
    bool isRefused = false; ///< The rest of the request is discarded.

    bufferevent* events() const { return evhtp_connection_get_bev(connection); }
    evutil_socket_t socket() const { return bufferevent_getfd(events()); }

    void requestEnded()
    {
        isHandling = false;
        headBytes = bodyBytes = 0;
        account.set(held_kind::Heads, 0);
        account.set(held_kind::Bodies, 0);
        account.restart();
    }
};

struct http_server::private_data {
    event_loop& loop;
    options opts;
    handler onRequest;
    evhtp_t* server = nullptr;
    std::uint16_t port = 0;
    /// What each connection holds; empty without an account.
    std::unordered_map<evhtp_connection_t*, std::unique_ptr<server_connection>> connections;

    ~private_data()
    {
        for (const auto& [connection, held] : connections) {
            evbuffer_remove_cb(bufferevent_get_output(held->events()), outputChanged, held.get());
            evhtp_connection_unset_hook(connection, evhtp_hook_on_connection_fini);
        }
        if (server)
            evhtp_free(server);
    }

    void limited(std::string_view reason) const
    {
        if (opts.onLimited)
            opts.onLimited(reason);
    }

    server_connection* find(evhtp_request_t* request) const
    {
        const auto found = connections.find(request->conn);
        return found == connections.end() ? nullptr : found->second.get();
    }

    /// Makes room for a new connection by closing the one that has been without a request for longest. It is
    /// closed after the current callback. Returns whether the new one is within the limit.
    bool mayAccept();
    void refuse(server_connection& held, std::string_view reason);
    bool evict(server_connection& held);
    void track(evhtp_connection_t* connection);

    static evhtp_res connectionFreed(evhtp_connection_t* connection, void* argument)
    {
        static_cast<private_data*>(argument)->connections.erase(connection);
        return EVHTP_RES_OK;
    }

    static evhtp_res headerReceived(evhtp_request_t* request, evhtp_header_t* header, void* argument);
    static evhtp_res bodyReceived(evhtp_request_t* request, evbuffer* piece, void* argument);
    static void outputChanged(evbuffer* output, const evbuffer_cb_info* info, void* argument);

    static evhtp_res requestFinished(evhtp_request_t*, void* argument);

    static void requestReceived(evhtp_request_t* request, void* argument);

    static evhtp_res headersReceived(evhtp_request_t* request, evhtp_headers_t* headers, void* argument);

    /// Replies at once, since evhtp itself would close the connection without a response.
    static void rejectBody(evhtp_request_t* request, std::size_t limit);

    static evhtp_res connectionAccepted(evhtp_connection_t* connection, void* argument);

    base::result<void> initializeTls() const;
    base::result<int> openSocket() const;
};

} // namespace marigold::net
