#include "admin_request.h"

namespace marigold::entry {

using nlohmann::json;

base::result<json> parseBody(const node::exchange_ptr& exchange)
{
    json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object())
        return base::notRun(base::error_reason::InvalidRequest, "the body must be a JSON object", "body");
    return body;
}

std::string pathAfter(const node::exchange_ptr& exchange, std::string_view prefix)
{
    return std::string(exchange->path().substr(prefix.size()));
}

} // namespace marigold::entry
