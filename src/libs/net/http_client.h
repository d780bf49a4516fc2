#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <memory>

namespace marigold::net {

/// One request to another process or system.
struct http_call {
    endpoint to;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers = {};
    std::string body = {};
    base::duration timeout = std::chrono::seconds(10); ///< For the whole answer; zero means none.
    base::duration connectTimeout = std::chrono::milliseconds(500); ///< Until the connection stands.
    std::size_t maxResponseBytes = 16 << 20; ///< A longer answer is an error.
    /// A connection from the pool may have been closed by the server, so that it stays open whether the
    /// request was seen. A fresh one tells a refused connection (`NotRun`) from a lost answer (`MayHaveRun`).
    bool freshConnection = false;
    std::function<void(int status, const http_headers& headers)> onHeaders = {};
    std::function<void(std::string_view piece)> onData
        = {}; ///< Takes the body of an answer with status 200; others are collected.
};

using call_id = std::uint64_t;

/// HTTP/1.1 client on the loop, by evhttp, with a pool of idle connections.
class http_client {
public:
    using callback = std::function<void(base::result<http_response>)>;

    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends \a call. \a done runs once, later: with the whole answer whatever its status, or with an error
    /// whose verdict is `NotRun` if no connection stood, and `MayHaveRun` otherwise.
    call_id send(http_call call, callback done);

    /// Ends a running call; its callback will not run. The connection is closed, which the server sees.
    void cancel(call_id id);

    std::size_t running() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
