#include "http_server_data.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <evhtp/evhtp.h>
#include <fmt/format.h>

namespace marigold::net {

namespace {

constexpr int listenBacklog = 1024;

/// A client that reads no data for this long is disconnected, so that it cannot hold buffers indefinitely.
constexpr std::chrono::seconds writeTimeout { 30 };

constexpr std::chrono::seconds idleTimeoutAfterReply { 120 };

std::string_view methodName(htp_method method)
{
    switch (method) {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_PATCH:
        return "PATCH";
    case htp_method_OPTIONS:
        return "OPTIONS";
    default:
        return "OTHER";
    }
}

std::string bufferText(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

int collectHeader(evhtp_kv_t* field, void* argument)
{
    static_cast<http_headers*>(argument)->add({ field->key, field->klen }, { field->val, field->vlen });
    return 0;
}

void setReadTimeout(evhtp_request_t* request, std::chrono::seconds limit)
{
    const timeval read { .tv_sec = limit.count(), .tv_usec = 0 };
    const timeval write { .tv_sec = writeTimeout.count(), .tv_usec = 0 };
    bufferevent_set_timeouts(evhtp_request_get_bev(request), limit.count() > 0 ? &read : nullptr, &write);
}

void addHeaders(evhtp_request_t* request, const http_headers& headers)
{
    for (const auto& [name, value] : headers.fields())
        evhtp_headers_add_header(request->headers_out,
            evhtp_header_new(std::string(name).c_str(), std::string(value).c_str(), 1, 1));
}

} // namespace

http_exchange::http_exchange(::evhtp_request* request)
    : m_request(request)
    , m_method(methodName(evhtp_request_get_method(request)))
    , m_path(request->uri->path->full)
    , m_body(bufferText(request->buffer_in))
{
    if (request->uri->query_raw)
        m_rawQuery = reinterpret_cast<const char*>(request->uri->query_raw);
    evhtp_headers_for_each(request->headers_in, collectHeader, &m_headers);
    // The body is held once; the connection needs it no more.
    evbuffer_drain(request->buffer_in, m_body.size());
    // The idle timeout applies between requests only, since a response may take longer.
    setReadTimeout(request, std::chrono::seconds(0));
    const auto* peer = reinterpret_cast<const sockaddr_in*>(request->conn->saddr);
    std::array<char, INET_ADDRSTRLEN> text {};
    if (peer && peer->sin_family == AF_INET && inet_ntop(AF_INET, &peer->sin_addr, text.data(), text.size()))
        m_peer = text.data();
}

std::optional<std::string> http_exchange::query(std::string_view name) const
{
    std::string_view rest = m_rawQuery;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto item = rest.substr(0, end);
        const auto equals = item.find('=');
        if (item.substr(0, equals) == name) {
            const std::string raw(
                equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1));
            size_t length = 0;
            char* decoded = evhttp_uridecode(raw.c_str(), 1, &length);
            std::string value(decoded, length);
            std::free(decoded);
            return value;
        }
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return std::nullopt;
}

void http_exchange::reply(const http_response& response)
{
    if (!isOpen())
        return;
    if (m_isStreaming)
        return abort(); // The caller would read a second head as a part of the stream.
    m_isFinished = true;
    setReadTimeout(m_request, idleTimeoutAfterReply);
    addHeaders(m_request, response.headers);
    evbuffer_add(m_request->buffer_out, response.body.data(), response.body.size());
    evhtp_send_reply(m_request, static_cast<evhtp_res>(response.status));
}

void http_exchange::startStream(int status, const http_headers& headers)
{
    if (!isOpen() || m_isStreaming)
        return;
    m_isStreaming = true;
    addHeaders(m_request, headers);
    evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(status));
}

bool http_exchange::write(std::string_view chunk)
{
    if (!isOpen() || !m_isStreaming)
        return false;
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, chunk.data(), chunk.size());
    evhtp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
    return true;
}

void http_exchange::endStream()
{
    if (!isOpen() || !m_isStreaming)
        return;
    m_isFinished = true;
    setReadTimeout(m_request, idleTimeoutAfterReply);
    evhtp_send_reply_chunk_end(m_request);
}

void http_exchange::abort()
{
    if (!m_request)
        return;
    m_isFinished = true;
    // After the socket is shut down, evhtp frees the connection when it reads the end of file.
    const evutil_socket_t socket = bufferevent_getfd(evhtp_request_get_bev(m_request));
    if (socket >= 0)
        shutdown(socket, SHUT_RDWR);
}

std::size_t http_exchange::pendingBytes() const
{
    if (!m_request)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_request)));
}

void http_exchange::requestFreed()
{
    m_request = nullptr;
    if (m_isFinished || !m_onClosed)
        return;
    const auto handler = std::move(m_onClosed);
    m_onClosed = nullptr;
    handler();
}

evhtp_res http_server::private_data::requestFinished(evhtp_request_t*, void* argument)
{
    auto* exchange = static_cast<std::shared_ptr<http_exchange>*>(argument);
    (*exchange)->requestFreed();
    if (const auto& ended = (*exchange)->m_onFreed)
        ended();
    delete exchange;
    return EVHTP_RES_OK;
}

void http_server::private_data::requestReceived(evhtp_request_t* request, void* argument)
{
    auto* self = static_cast<private_data*>(argument);
    if (server_connection* held = self->find(request)) {
        if (held->isRefused) {
            shutdown(held->socket(), SHUT_RDWR);
            return;
        }
        held->isHandling = true;
    }
    auto* exchange = new std::shared_ptr<http_exchange>(std::make_shared<http_exchange>(request));
    (*exchange)->m_onFreed = [self, connection = request->conn] {
        const auto held = self->connections.find(connection);
        if (held != self->connections.end())
            held->second->requestEnded();
    };
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(requestFinished), exchange);
    const std::shared_ptr<http_exchange> held = *exchange;
    self->onRequest(held);
}

evhtp_res http_server::private_data::headersReceived(
    evhtp_request_t* request, evhtp_headers_t* headers, void* argument)
{
    auto* self = static_cast<private_data*>(argument);
    const char* length = evhtp_kv_find(headers, "Content-Length");
    if (!length)
        return EVHTP_RES_OK;
    std::size_t bytes = 0;
    const auto parsed = std::from_chars(length, length + std::strlen(length), bytes);
    if (parsed.ec == std::errc() && bytes <= self->opts.maxBodyBytes) {
        server_connection* held = self->find(request);
        // A body of known length is accounted for as a whole, so that those that were begun can be
        // completed.
        if (held && !held->isRefused && !held->account.trySet(held_kind::Bodies, bytes))
            self->refuse(*held, "memory");
        return EVHTP_RES_OK;
    }
    rejectBody(request, self->opts.maxBodyBytes);
    return EVHTP_RES_OK;
}

void http_server::private_data::rejectBody(evhtp_request_t* request, std::size_t limit)
{
    const std::string body = fmt::format(
        R"({{"error":{{"verdict":"not_run","reason":"too_large","message":"the body exceeds {} bytes","field":"body"}}}})",
        limit);
    const std::string response
        = fmt::format("HTTP/1.1 413 Payload Too Large\r\nContent-Type: "
                      "application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
            body.size(), body);
    const evutil_socket_t socket = bufferevent_getfd(evhtp_request_get_bev(request));
    if (send(socket, response.data(), response.size(), MSG_NOSIGNAL) >= 0)
        shutdown(socket, SHUT_WR);
    // The response has been sent already. The value 0 selects the body limit of the server, which evhtp
    // applies to the rest of the body.
    evhtp_request_set_max_body_size(request, 0);
}

evhtp_res http_server::private_data::connectionAccepted(evhtp_connection_t* connection, void* argument)
{
    auto* self = static_cast<private_data*>(argument);
    if (self->opts.account) {
        if (!self->mayAccept())
            return EVHTP_RES_FATAL;
        self->track(connection);
    }
    // evhtp writes headers and body separately. With Nagle's algorithm, the second part would wait 40 ms
    // for an acknowledgement, and the flag of evhtp is not applied to the accepted socket.
    const int on = 1;
    setsockopt(
        bufferevent_getfd(evhtp_connection_get_bev(connection)), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers, asHook(headersReceived), argument);
    return EVHTP_RES_OK;
}

namespace {

sockaddr_in socketAddress(const std::string& address, std::uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

} // namespace

base::result<int> http_server::private_data::openSocket() const
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    // SO_REUSEADDR on Linux still rejects a second listener on the port; it only ignores connections in
    // TIME_WAIT.
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(opts.address, opts.port);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(socket, listenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        close(socket);
        return base::notRun(base::error_reason::Unavailable,
            fmt::format("cannot listen on {}:{}: {}", opts.address, opts.port, reason), "listen.port");
    }
    return socket;
}

base::result<void> http_server::private_data::initializeTls() const
{
    evhtp_ssl_cfg_t config {};
    std::string certificate = opts.certificateFile;
    std::string key = opts.privateKeyFile;
    config.pemfile = certificate.data();
    config.privfile = key.data();
    config.ssl_opts = SSL_OP_NO_SSLv2 | SSL_OP_NO_SSLv3 | SSL_OP_NO_TLSv1 | SSL_OP_NO_TLSv1_1;
    if (access(certificate.c_str(), R_OK) != 0 || access(key.c_str(), R_OK) != 0)
        return base::notRun(
            base::error_reason::InvalidRequest, "the certificate or its private key cannot be read", "tls");
    if (evhtp_ssl_init(server, &config) != 0)
        return base::notRun(
            base::error_reason::InvalidRequest, "the certificate does not match its private key", "tls");
    return {};
}

http_server::http_server(event_loop& loop, options opts, handler onRequest)
    : d(new private_data { .loop = loop, .opts = std::move(opts), .onRequest = std::move(onRequest) })
{
    d->server = evhtp_new(loop.handle(), nullptr);
    evhtp_set_gencb(d->server, private_data::requestReceived, d.get());
    evhtp_set_post_accept_cb(d->server, private_data::connectionAccepted, d.get());
    evhtp_set_max_body_size(d->server, d->opts.maxBodyBytes);
    const timeval timeout {
        .tv_sec = std::chrono::duration_cast<std::chrono::seconds>(d->opts.idleTimeout).count(), .tv_usec = 0
    };
    evhtp_set_timeouts(d->server, &timeout, &timeout);
}

http_server::~http_server()
{
    stopListening();
}

base::result<void> http_server::listen()
{
    if (!d->opts.certificateFile.empty()) {
        if (auto started = d->initializeTls(); !started)
            return started;
    }
    const auto socket = d->openSocket();
    if (!socket)
        return tl::unexpected(socket.error());
    if (evhtp_accept_socket(d->server, *socket, listenBacklog) != 0) {
        close(*socket);
        return base::notRun(base::error_reason::Unavailable,
            "cannot accept connections on the listening socket", "listen.port");
    }
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(*socket, reinterpret_cast<sockaddr*>(&bound), &length);
    d->port = ntohs(bound.sin_port);
    return {};
}

void http_server::stopListening()
{
    if (d->port == 0)
        return;
    evhtp_unbind_socket(d->server);
    d->port = 0;
}

std::uint16_t http_server::port() const
{
    return d->port;
}

} // namespace marigold::net
