#pragma once

#include "event_loop.h"
#include "http_types.h"
#include "memory_account.h"

#include <functional>
#include <memory>
#include <string_view>

struct evhtp_request;

namespace marigold::net {

/// One request of a client and its response. Stays valid after the client has disconnected; writes are then
/// dropped.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    explicit http_exchange(::evhtp_request* request);

    std::string_view method() const { return m_method; }
    std::string_view path() const { return m_path; }
    std::string_view body() const { return m_body; }
    std::optional<std::string_view> header(std::string_view name) const { return m_headers.find(name); }
    const http_headers& headers() const { return m_headers; }

    /// Returns the query parameter \a name, percent-decoded.
    std::optional<std::string> query(std::string_view name) const;

    /// Returns the IP address of the client.
    const std::string& peerAddress() const { return m_peer; }

    /// Returns false once the client has disconnected or the response is complete.
    bool isOpen() const { return m_request != nullptr && !m_isFinished; }

    /// Sends a complete response.
    void reply(const http_response& response);

    /// Starts a chunked response.
    void startStream(int status, const http_headers& headers);

    /// Sends a chunk; returns false if the client has disconnected.
    bool write(std::string_view chunk);

    /// Completes a chunked response.
    void endStream();

    /// Closes the connection, so that the client can tell that the response is incomplete.
    void abort();

    /// Returns the number of bytes that have not been sent to the client yet.
    std::size_t pendingBytes() const;

    /// Calls \a handler once if the client disconnects before the response is complete.
    void onClosed(std::function<void()> handler) { m_onClosed = std::move(handler); }

private:
    friend class http_server;
    void requestFreed();

    ::evhtp_request* m_request;
    bool m_isFinished = false;
    bool m_isStreaming = false;
    std::string m_method;
    std::string m_path;
    std::string m_rawQuery;
    std::string m_body;
    std::string m_peer;
    http_headers m_headers;
    std::function<void()> m_onClosed;
    std::function<void()> m_onFreed; ///< Of the server.
};

/// HTTP/1.1 server on the event loop, based on libevhtp.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    struct options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 selects a free port.
        std::size_t maxBodyBytes = 8 << 20; ///< A longer body is rejected with status 413.
        base::duration idleTimeout = std::chrono::seconds(120); ///< Closes half-open and idle connections.
        std::string certificateFile = {}; ///< PEM file; enables TLS if set.
        std::string privateKeyFile = {}; ///< PEM file.
        /// Accounts for what clients make the server hold; null for no limits. With it, a request that does
        /// not fit gets 503.
        memory_account* account = nullptr;
        std::size_t maxHeaderBytes = 64 << 10; ///< With an account: names and values of one request.
        std::size_t maxConnections = 0; ///< At the limit, an idle connection is closed; 0 for no limit.
        /// Called when a request or connection was refused or closed because of a limit, with the reason.
        std::function<void(std::string_view)> onLimited = {};
    };

    http_server(event_loop& loop, options opts, handler onRequest);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts listening.
    base::result<void> listen();

    /// Closes the listening socket; running exchanges continue.
    void stopListening();

    std::uint16_t port() const;

private:
    friend struct server_connection;
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
