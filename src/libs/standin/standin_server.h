#pragma once

#include <net/net.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marigold::standin {

enum class fault_kind {
    None,
    Unavailable, ///< Replies with status 503 without processing the request.
    LostRequest, ///< The connection is reset without processing the request.
    LostAnswer, ///< The request is processed, then the connection is reset.
    Delay, ///< The request is processed at once, the reply is delayed.
    Freeze, ///< The request is not processed and gets no reply; the connection stays open.
    Duplicate, ///< The request is processed twice.
    CutAnswer, ///< A streamed response is aborted after `after` chunks.
};

struct fault_rule {
    std::string match; ///< Prefix of the path.
    fault_kind kind = fault_kind::None;
    int remaining = -1; ///< Number of requests still to be affected; negative for all.
    double probability = 1;
    base::duration delay {};
    int after = 1; ///< For `CutAnswer`: chunks sent before the abort.
};

/// HTTP server of a stand-in, with a fault table at `/standin/faults` and counters at `/standin/counters`.
class standin_server {
public:
    using responder = std::function<void(net::http_response)>;
    using route_handler = std::function<void(const std::shared_ptr<net::http_exchange>&, responder)>;
    using stream_handler = std::function<void(const std::shared_ptr<net::http_exchange>&, const fault_rule&)>;

    struct options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::uint64_t seed = 1;
    };

    standin_server(net::event_loop& loop, options opts);
    ~standin_server();

    base::result<void> listen();
    std::uint16_t port() const;

    /// Adds a handler for requests of \a method whose path starts with \a prefix; the longest prefix is used.
    void route(std::string method, std::string prefix, route_handler handler);

    /// Like `route`, but for streamed responses. The handler applies `Delay` and `CutAnswer` itself.
    void routeStream(std::string method, std::string prefix, stream_handler handler);

    /// Returns the counter \a name, which is shown at `/standin/counters`.
    std::int64_t& counter(std::string_view name);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns a response with \a body as JSON.
net::http_response jsonResponse(int status, std::string body);

/// Returns an error response with \a message.
net::http_response errorResponse(int status, std::string_view message);

} // namespace marigold::standin
