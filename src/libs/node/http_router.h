#pragma once

#include <net/net.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigold::node {

using exchange_ptr = std::shared_ptr<net::http_exchange>;
using exchange_handler = std::function<void(const exchange_ptr&)>;

/// Request handlers by method and path; the longest matching path is used.
class http_router {
public:
    /// Adds a handler for \a path. A path that ends in a slash also matches all paths below it.
    void add(std::string method, std::string path, exchange_handler handler);

    /// Passes \a exchange to its handler; replies with 404 or 405 if there is none.
    void handle(const exchange_ptr& exchange) const;

private:
    struct route {
        std::string method;
        std::string path;
        exchange_handler handler;
    };

    std::vector<route> m_routes;
};

/// Replies with \a problem as JSON, with its status and `Retry-After`.
void replyError(
    const exchange_ptr& exchange, const base::error& problem, const net::http_headers& extra = {});

/// Replies with \a body as JSON.
void replyJson(
    const exchange_ptr& exchange, int status, std::string body, const net::http_headers& extra = {});

} // namespace marigold::node
