#include "http_client.h"

#include "socket_state.h"

#include <cerrno>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

namespace marigold::net {

namespace {

/// Maximum number of idle connections per endpoint.
constexpr std::size_t maxIdleConnections = 32;

/// Limit of a response head, including a first line that does not end. Without it, a server in trouble could
/// fill the memory of this process until the call times out.
constexpr ev_ssize_t maxResponseHeaderBytes = 64 << 10;

constexpr int noContent = 204;
constexpr int firstErrorStatus = 400;

/// Status codes of final responses (RFC 9110, section 15). evhttp takes any other number for one as well, and
/// each interim response but 100.
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;

/// Effectively disables the timeouts of evhttp, since the timers of this class end a call.
constexpr int transportTimeoutSeconds = 24 * 3600;

evhttp_cmd_type toCommand(std::string_view method)
{
    static const std::map<std::string_view, evhttp_cmd_type> commands { { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST }, { "PUT", EVHTTP_REQ_PUT }, { "DELETE", EVHTTP_REQ_DELETE },
        { "PATCH", EVHTTP_REQ_PATCH }, { "HEAD", EVHTTP_REQ_HEAD }, { "OPTIONS", EVHTTP_REQ_OPTIONS } };
    const auto found = commands.find(method);
    return found == commands.end() ? EVHTTP_REQ_GET : found->second;
}

bool isConnected(evhttp_connection* connection)
{
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    sockaddr_storage peer {};
    socklen_t length = sizeof(peer);
    return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

/// Returns whether \a connection can carry another request. Bytes that have arrived without a request would
/// be taken for the response to the next one.
bool isReusable(evhttp_connection* connection)
{
    bufferevent* events = evhttp_connection_get_bufferevent(connection);
    if (!isConnected(connection) || evbuffer_get_length(bufferevent_get_input(events)) > 0)
        return false;
    char byte = 0;
    const ssize_t received = recv(bufferevent_getfd(events), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns whether the server has not received all that was sent on \a connection.
bool isUnwritten(evhttp_connection* connection)
{
    return unacknowledgedBytes(bufferevent_getfd(evhttp_connection_get_bufferevent(connection))) > 0;
}

void freeConnection(evutil_socket_t, short, void* connection)
{
    evhttp_connection_free(static_cast<evhttp_connection*>(connection));
}

std::string bufferText(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

http_headers inputHeaders(evhttp_request* request)
{
    http_headers headers;
    for (const evkeyval* field = evhttp_request_get_input_headers(request)->tqh_first; field;
         field = field->next.tqe_next)
        headers.add(field->key, field->value);
    return headers;
}

} // namespace

struct http_client::private_data {
    struct running_call {
        private_data* owner;
        call_id id;
        http_call call;
        callback done;
        evhttp_connection* connection;
        evhttp_request* request;
        base::timer_id timeout = 0;
        base::timer_id connectTimeout = 0;
        bool wasConnected = false;
        bool wasUnwritten = false; ///< The server closed the connection before it had the whole request.
        std::string errorBody; ///< Body of a response whose status is not 200, if `onData` is set.
    };

    event_loop& loop;
    call_id nextId = 1;
    std::unordered_map<call_id, std::unique_ptr<running_call>> calls;
    std::map<std::string, std::vector<evhttp_connection*>> idle;

    evhttp_connection* acquireConnection(const endpoint& to, bool fresh);
    void releaseConnection(const endpoint& to, evhttp_connection* connection);
    void freeLater(evhttp_connection* connection) const;
    std::unique_ptr<running_call> remove(call_id id);
    void fail(call_id id, bool connected, base::error_reason reason, std::string message);

    static int headersReceived(evhttp_request* request, void* argument);
    static void chunkReceived(evhttp_request* request, void* argument);
    static void completed(evhttp_request* request, void* argument);
    static void connectionCloses(evhttp_connection* connection, void* argument);
};

evhttp_connection* http_client::private_data::acquireConnection(const endpoint& to, bool fresh)
{
    auto& pool = idle[to.text()];
    while (!fresh && !pool.empty()) {
        evhttp_connection* connection = pool.back();
        pool.pop_back();
        if (isReusable(connection))
            return connection;
        freeLater(connection);
    }
    evhttp_connection* connection
        = evhttp_connection_base_new(loop.handle(), nullptr, to.address.c_str(), to.port);
    evhttp_connection_set_timeout(connection, transportTimeoutSeconds);
    evhttp_connection_set_max_headers_size(connection, maxResponseHeaderBytes);
    return connection;
}

void http_client::private_data::releaseConnection(const endpoint& to, evhttp_connection* connection)
{
    auto& pool = idle[to.text()];
    if (pool.size() < maxIdleConnections && isReusable(connection))
        pool.push_back(connection);
    else
        freeLater(connection);
}

void http_client::private_data::freeLater(evhttp_connection* connection) const
{
    // evhttp may still use this connection further up the call stack.
    const timeval now {};
    event_base_once(loop.handle(), -1, EV_TIMEOUT, freeConnection, connection, &now);
}

std::unique_ptr<http_client::private_data::running_call> http_client::private_data::remove(call_id id)
{
    auto node = calls.extract(id);
    if (node.empty())
        return nullptr;
    loop.cancel(node.mapped()->timeout);
    loop.cancel(node.mapped()->connectTimeout);
    evhttp_connection_set_closecb(node.mapped()->connection, nullptr, nullptr);
    return std::move(node.mapped());
}

void http_client::private_data::fail(
    call_id id, bool connected, base::error_reason reason, std::string message)
{
    const auto entry = remove(id);
    if (!entry)
        return;
    entry->done(
        tl::unexpected(base::error { .verdict = connected ? base::verdict::MayHaveRun : base::verdict::NotRun,
            .reason = reason,
            .message = fmt::format("{} {}: {}", entry->call.method, entry->call.to.text(), message) }));
}

int http_client::private_data::headersReceived(evhttp_request* request, void* argument)
{
    auto* entry = static_cast<running_call*>(argument);
    entry->wasConnected = true;
    if (entry->call.onHeaders)
        entry->call.onHeaders(evhttp_request_get_response_code(request), inputHeaders(request));
    return 0;
}

void http_client::private_data::chunkReceived(evhttp_request* request, void* argument)
{
    auto* entry = static_cast<running_call*>(argument);
    constexpr int okStatus = 200;
    if (evhttp_request_get_response_code(request) != okStatus) {
        entry->errorBody += bufferText(evhttp_request_get_input_buffer(request));
        return;
    }
    // The callback may cancel this call, which frees the entry.
    const auto onData = entry->call.onData;
    onData(bufferText(evhttp_request_get_input_buffer(request)));
}

void http_client::private_data::connectionCloses(evhttp_connection* connection, void* argument)
{
    static_cast<running_call*>(argument)->wasUnwritten = isUnwritten(connection);
}

void http_client::private_data::completed(evhttp_request* request, void* argument)
{
    auto* entry = static_cast<running_call*>(argument);
    private_data* self = entry->owner;
    evhttp_connection* connection = entry->connection;
    const bool hasResponse = request && evhttp_request_get_response_code(request) != 0;
    if (!hasResponse) {
        // evhttp passes a request without a connection if the connection could not be established.
        const bool connectFailed = request && evhttp_request_get_connection(request) == nullptr;
        self->freeLater(connection);
        self->fail(entry->id, !connectFailed, base::error_reason::Unavailable,
            connectFailed ? "connection refused" : "connection lost before the response was complete");
        return;
    }
    const int status = evhttp_request_get_response_code(request);
    if (status < firstFinalStatus || status > lastFinalStatus) {
        self->freeLater(connection);
        return self->fail(entry->id, true, base::error_reason::Unavailable,
            fmt::format("the status {} is not one of a response", status));
    }
    http_response response { .status = status, .headers = inputHeaders(request), .body = {} };
    response.body = entry->call.onData ? std::move(entry->errorBody)
                                       : bufferText(evhttp_request_get_input_buffer(request));
    response.endsWithConnection = !response.headers.find("Content-Length")
        && !response.headers.find("Transfer-Encoding") && status != noContent;
    // The server has ended rather than its response. The status of a failure tells the outcome anyway.
    if (response.endsWithConnection && status < firstErrorStatus
        && (entry->wasUnwritten || isUnwritten(connection))) {
        self->freeLater(connection);
        return self->fail(entry->id, true, base::error_reason::StreamBroken,
            "connection closed before the request was written");
    }
    const auto removed = self->remove(entry->id);
    const auto close = response.headers.find("Connection");
    if (close && *close == "close")
        self->freeLater(connection);
    else
        self->releaseConnection(removed->call.to, connection);
    removed->done(std::move(response));
}

http_client::http_client(event_loop& loop)
    : d(new private_data { .loop = loop, .calls = {}, .idle = {} })
{
}

http_client::~http_client()
{
    std::vector<call_id> ids;
    for (const auto& [id, entry] : d->calls)
        ids.push_back(id);
    for (const call_id id : ids)
        cancel(id);
    for (const auto& [address, pool] : d->idle)
        for (evhttp_connection* connection : pool)
            evhttp_connection_free(connection);
}

call_id http_client::send(http_call call, callback done)
{
    const call_id id = d->nextId++;
    auto owned = std::make_unique<private_data::running_call>();
    auto* entry = owned.get();
    entry->owner = d.get();
    entry->id = id;
    entry->call = std::move(call);
    entry->done = std::move(done);
    entry->connection = d->acquireConnection(entry->call.to, entry->call.freshConnection);
    entry->request = evhttp_request_new(private_data::completed, entry);
    evhttp_request_set_header_cb(entry->request, private_data::headersReceived);
    if (entry->call.onData)
        evhttp_request_set_chunked_cb(entry->request, private_data::chunkReceived);
    // evhttp closes the connection before it reports the end of a response with "Connection: close".
    evhttp_connection_set_closecb(entry->connection, private_data::connectionCloses, entry);
    evhttp_connection_set_max_body_size(
        entry->connection, static_cast<ev_ssize_t>(entry->call.maxResponseBytes));

    auto* headers = evhttp_request_get_output_headers(entry->request);
    evhttp_add_header(headers, "Host", entry->call.to.text().c_str());
    for (const auto& [name, value] : entry->call.headers.fields())
        evhttp_add_header(headers, std::string(name).c_str(), std::string(value).c_str());
    evbuffer_add(
        evhttp_request_get_output_buffer(entry->request), entry->call.body.data(), entry->call.body.size());

    d->calls.emplace(id, std::move(owned));
    if (entry->call.timeout > base::duration::zero())
        entry->timeout = d->loop.runAfter(entry->call.timeout, [self = d.get(), id] {
            const auto found = self->calls.find(id);
            const bool connected = found->second->wasConnected || isConnected(found->second->connection);
            evhttp_cancel_request(found->second->request);
            self->freeLater(found->second->connection);
            self->fail(id, connected, base::error_reason::DeadlineExceeded,
                "no complete response before the deadline");
        });
    entry->connectTimeout = d->loop.runAfter(entry->call.connectTimeout, [self = d.get(), id] {
        const auto found = self->calls.find(id);
        if (found->second->wasConnected || isConnected(found->second->connection))
            return;
        evhttp_cancel_request(found->second->request);
        self->freeLater(found->second->connection);
        self->fail(id, false, base::error_reason::Unavailable,
            "no connection established within the connect timeout");
    });
    const int started = evhttp_make_request(
        entry->connection, entry->request, toCommand(entry->call.method), entry->call.target.c_str());
    // evhttp writes headers and body separately. With Nagle's algorithm, the body would wait 40 ms for an
    // acknowledgement.
    const int on = 1;
    if (const auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(entry->connection));
        socket >= 0)
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (started != 0)
        d->loop.runAfter(base::duration::zero(), [self = d.get(), id, connection = entry->connection] {
            self->freeLater(connection);
            self->fail(id, false, base::error_reason::Unavailable, "the request could not be started");
        });
    return id;
}

void http_client::cancel(call_id id)
{
    const auto entry = d->remove(id);
    if (!entry)
        return;
    evhttp_cancel_request(entry->request);
    d->freeLater(entry->connection);
}

std::size_t http_client::running() const
{
    return d->calls.size();
}

} // namespace marigold::net
