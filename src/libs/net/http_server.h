#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <memory>

struct evhtp_request;

namespace marigold::net {

/// One request of a client and its answer. Stays valid after the client has gone; writes are then dropped.
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

    /// Returns the IP number of the client.
    const std::string& peerAddress() const { return m_peer; }

    /// Returns false once the client has gone or the answer is complete.
    bool isOpen() const { return m_request != nullptr && !m_finished; }

    /// Sends a whole answer.
    void reply(const http_response& response);

    /// Begins an answer in pieces.
    void startStream(int status, const http_headers& headers);

    /// Sends a piece; returns false when the client has gone.
    bool write(std::string_view piece);

    /// Completes an answer in pieces.
    void endStream();

    /// Closes the connection, so that the client sees an incomplete answer.
    void abort();

    /// Bytes that wait for a slow client.
    std::size_t pendingBytes() const;

    /// Calls \a handler once if the client goes away before the answer is complete.
    void onClosed(std::function<void()> handler) { m_onClosed = std::move(handler); }

private:
    friend class http_server;
    void connectionFinished();

    ::evhtp_request* m_request;
    bool m_finished = false;
    bool m_streaming = false;
    std::string m_method;
    std::string m_path;
    std::string m_rawQuery;
    std::string m_body;
    std::string m_peer;
    http_headers m_headers;
    std::function<void()> m_onClosed;
};

/// HTTP/1.1 server on the loop, by libevhtp.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    struct options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 takes a free port.
        std::size_t maxBodyBytes = 8 << 20; ///< A longer body is answered with status 413.
        base::duration idleTimeout = std::chrono::seconds(120); ///< Ends half-open and idle connections.
        std::string certificateFile = {}; ///< PEM; TLS is on when set.
        std::string privateKeyFile = {}; ///< PEM.
    };

    http_server(event_loop& loop, options opts, handler onRequest);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Begins to listen.
    base::result<void> listen();

    /// Closes the listening socket; running exchanges go on.
    void stopListening();

    std::uint16_t port() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
