#pragma once

#include <net/net.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigold::node {

using exchange_ptr = std::shared_ptr<net::http_exchange>;
using exchange_handler = std::function<void(const exchange_ptr&)>;

/// Table of request handlers by method and path; the longest path wins.
class http_router {
public:
    /// Serves \a path itself, and everything below it when it ends in a slash.
    void add(std::string method, std::string path, exchange_handler handler);

    /// Passes \a exchange to its handler; answers 404 or 405 when there is none.
    void handle(const exchange_ptr& exchange) const;

private:
    struct entry {
        std::string method;
        std::string path;
        exchange_handler handler;
    };

    std::vector<entry> m_entries;
};

/// Answers with \a problem as JSON, its status and `Retry-After`.
void replyError(
    const exchange_ptr& exchange, const base::error& problem, const net::http_headers& extra = {});

/// Answers with \a body as JSON.
void replyJson(
    const exchange_ptr& exchange, int status, std::string body, const net::http_headers& extra = {});

} // namespace marigold::node
