#pragma once

#include <node/node.h>

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace marigold::entry {

/// Parses the body of an operator's request, which must be a JSON object.
base::result<nlohmann::json> parseBody(const node::exchange_ptr& exchange);

/// Returns the part of the path of \a exchange that follows \a prefix.
std::string pathAfter(const node::exchange_ptr& exchange, std::string_view prefix);

} // namespace marigold::entry
