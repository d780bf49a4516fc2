#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <memory>

namespace marigold::net {

/// One request to another process or external system.
struct http_call {
    endpoint to;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers = {};
    std::string body = {};
    base::duration timeout = std::chrono::seconds(10); ///< For the complete response; zero means none.
    base::duration connectTimeout = std::chrono::milliseconds(500); ///< Until the connection is established.
    std::size_t maxResponseBytes = 16 << 20; ///< A longer response is an error.
    /// Uses a new connection. The server may already have closed a pooled connection, and then it is unknown
    /// whether it received the request. With a new connection, a refused connection (`NotRun`) can be
    /// distinguished from a lost response (`MayHaveRun`).
    bool freshConnection = false;
    std::function<void(int status, const http_headers& headers)> onHeaders = {};
    /// Receives the body of a response with status 200; other bodies are buffered.
    std::function<void(std::string_view chunk)> onData = {};
};

using call_id = std::uint64_t;

/// HTTP/1.1 client on the event loop, based on evhttp, with a pool of idle connections.
class http_client {
public:
    using callback = std::function<void(base::result<http_response>)>;

    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends \a call. \a done is called once, asynchronously: with the complete response for any status, or
    /// with an error whose verdict is `NotRun` if no connection was established, and `MayHaveRun` otherwise.
    call_id send(http_call call, callback done);

    /// Cancels a running call without calling its callback. The connection is closed, which the server
    /// can detect.
    void cancel(call_id id);

    std::size_t running() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
