#include "http_server_data.h"

#include <sys/socket.h>

namespace marigold::net {

bool http_server::private_data::mayAccept()
{
    if (opts.maxConnections == 0 || connections.size() < opts.maxConnections)
        return true;
    server_connection* longest = nullptr;
    // A request may be on its way on a connection that was opened or used more recently.
    const base::time_point latest = opts.account->now() - opts.account->limits().stallTime;
    for (const auto& [connection, held] : connections)
        if (!held->isHandling && !held->isRefused && held->account.lastProgress() <= latest
            && (!longest || held->account.lastProgress() < longest->account.lastProgress()))
            longest = held.get();
    if (longest) {
        longest->isRefused = true;
        shutdown(longest->socket(), SHUT_RDWR);
    }
    limited("descriptors");
    return false;
}

void http_server::private_data::track(evhtp_connection_t* connection)
{
    // Measured at the relay for a connection on libevent without a request.
    constexpr std::size_t connectionBytes = 3 << 10;
    auto owned = std::unique_ptr<server_connection>(new server_connection { .server = *this,
        .connection = connection,
        .account = { *opts.account, [this, connection] { return evict(*connections.at(connection)); } } });
    owned->account.set(held_kind::Connections, connectionBytes);
    evbuffer_add_cb(bufferevent_get_output(owned->events()), outputChanged, owned.get());
    connections.emplace(connection, std::move(owned));
    evhtp_connection_set_hook(connection, evhtp_hook_on_header, asHook(headerReceived), this);
    evhtp_connection_set_hook(connection, evhtp_hook_on_read, asHook(bodyReceived), this);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(connectionFreed), this);
}

void http_server::private_data::refuse(server_connection& held, std::string_view reason)
{
    limited(reason);
    held.isRefused = true;
    // The head stays until evhtp frees the connection.
    if (evhtp_request_t* request = held.connection->request)
        evbuffer_drain(request->buffer_in, evbuffer_get_length(request->buffer_in));
    held.account.set(held_kind::Bodies, 0);
    constexpr std::string_view response = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                          "Content-Length: 0\r\nConnection: close\r\n\r\n";
    // In a TLS connection, the text would be a protocol error; the client sees the close.
    if (opts.certificateFile.empty())
        send(held.socket(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(held.socket(), SHUT_WR);
    const timeval limit { .tv_sec = 2, .tv_usec = 0 };
    bufferevent_set_timeouts(held.events(), &limit, &limit);
}

bool http_server::private_data::evict(server_connection& held)
{
    // A client that waits for its response makes no progress by no fault of its own.
    if (held.isRefused
        || (held.isHandling && evbuffer_get_length(bufferevent_get_output(held.events())) == 0))
        return false;
    if (held.isHandling) {
        limited("memory");
        held.isRefused = true;
        held.account.set(held_kind::Answers, 0);
        shutdown(held.socket(), SHUT_RDWR);
    } else {
        refuse(held, "memory");
    }
    return true;
}

evhtp_res http_server::private_data::headerReceived(
    evhtp_request_t* request, evhtp_header_t* header, void* argument)
{
    // A field takes three allocations in evhtp, and its copy in http_headers.
    constexpr std::size_t fieldBytes = 192;
    auto* self = static_cast<private_data*>(argument);
    server_connection* held = self->find(request);
    if (!held)
        return EVHTP_RES_OK;
    if (held->isRefused)
        return EVHTP_RES_ERROR;
    if (held->headBytes == 0)
        held->account.restart();
    held->headBytes += header->klen + header->vlen + 1;
    held->account.progressed(header->klen + header->vlen);
    const std::size_t fields
        = held->account.held(held_kind::Heads) + fieldBytes + 2 * (header->klen + header->vlen);
    if (held->headBytes <= self->opts.maxHeaderBytes && held->account.trySet(held_kind::Heads, fields))
        return EVHTP_RES_OK;
    self->refuse(*held, "memory");
    return EVHTP_RES_ERROR;
}

evhtp_res http_server::private_data::bodyReceived(evhtp_request_t* request, evbuffer* piece, void* argument)
{
    auto* self = static_cast<private_data*>(argument);
    server_connection* held = self->find(request);
    if (!held)
        return EVHTP_RES_OK;
    const std::size_t bytes = evbuffer_get_length(piece);
    held->bodyBytes += bytes;
    held->account.progressed(bytes);
    const std::size_t known = held->account.held(held_kind::Bodies);
    if (!held->isRefused && held->bodyBytes > known
        && !held->account.trySet(held_kind::Bodies, held->bodyBytes))
        self->refuse(*held, "memory");
    // evhtp would keep each piece in a block of its own, which takes 512 bytes for a piece of one byte.
    if (!held->isRefused)
        evbuffer_add(request->buffer_in, evbuffer_pullup(piece, -1), bytes);
    evbuffer_drain(piece, bytes);
    return EVHTP_RES_OK;
}

void http_server::private_data::outputChanged(evbuffer* output, const evbuffer_cb_info* info, void* argument)
{
    auto* held = static_cast<server_connection*>(argument);
    if (held->isRefused)
        return;
    held->account.set(held_kind::Answers, evbuffer_get_length(output));
    if (info->orig_size == 0)
        held->account.restart();
    held->account.progressed(info->n_deleted);
}

} // namespace marigold::net
