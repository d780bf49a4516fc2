#include "http_router.h"

#include <protocol/protocol.h>

#include <fmt/format.h>

namespace marigold::node {

namespace {

bool matches(const std::string& pattern, std::string_view path)
{
    return pattern.ends_with('/') ? path.starts_with(pattern) : path == pattern;
}

} // namespace

void http_router::add(std::string method, std::string path, exchange_handler handler)
{
    m_routes.push_back({ std::move(method), std::move(path), std::move(handler) });
}

void http_router::handle(const exchange_ptr& exchange) const
{
    const route* best = nullptr;
    bool isPathKnown = false;
    for (const auto& item : m_routes) {
        if (!matches(item.path, exchange->path()))
            continue;
        isPathKnown = true;
        if (item.method != "*" && item.method != exchange->method())
            continue;
        if (!best || item.path.size() > best->path.size())
            best = &item;
    }
    if (best)
        return best->handler(exchange);
    const auto reason = isPathKnown ? base::error_reason::InvalidRequest : base::error_reason::NotFound;
    replyError(exchange,
        { .reason = reason,
            .message = fmt::format("no handler for {} {}", exchange->method(), exchange->path()),
            .field = "path" });
}

void replyError(const exchange_ptr& exchange, const base::error& problem, const net::http_headers& extra)
{
    net::http_headers headers = extra;
    headers.add("Content-Type", "application/json");
    if (problem.retryAfter.count() > 0)
        headers.add("Retry-After",
            fmt::format("{}", std::chrono::ceil<std::chrono::seconds>(problem.retryAfter).count()));
    exchange->reply({ .status = base::httpStatus(problem.reason),
        .headers = std::move(headers),
        .body = protocol::encodeError(problem) });
}

void replyJson(const exchange_ptr& exchange, int status, std::string body, const net::http_headers& extra)
{
    net::http_headers headers = extra;
    headers.add("Content-Type", "application/json");
    exchange->reply({ .status = status, .headers = std::move(headers), .body = std::move(body) });
}

} // namespace marigold::node
