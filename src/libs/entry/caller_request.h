#pragma once

#include <base/base.h>
#include <node/node.h>
#include <routing/routing.h>

#include <optional>
#include <string>

namespace marigold::entry {

/// Properties that all requests of callers have, besides their bodies.
struct caller_context {
    std::string team;
    std::string requestId; ///< 32 hexadecimal digits; returned to the caller as `X-Request-Id`.
    base::time_point arrival {};
    base::time_point deadline {};
    routing::priority priority = routing::priority::Normal;
};

/// A parsed completion request.
struct completion_request {
    caller_context caller;
    bool isChat = false;
    std::string model;
    std::string adapter;
    std::string prompt;
    int maxTokens = 16;
    double temperature = 1;
    bool isStream = false;
    std::string lastEventId; ///< Set when the caller resumes an interrupted stream.
};

/// Reads deadline and priority from the headers of \a exchange. Errors name the header.
base::result<caller_context> parseContext(
    const net::http_exchange& exchange, base::time_point now, base::duration defaultDeadline);

/// Parses the body of `/v1/completions` or `/v1/chat/completions`. Errors name the field.
base::result<completion_request> parseCompletion(const net::http_exchange& exchange, caller_context caller);

} // namespace marigold::entry
