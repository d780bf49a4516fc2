#pragma once

#include <node/node.h>

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace marigold::entry {

/// Returns the body of an operator's request, which must be a JSON object.
base::result<nlohmann::json> bodyOf(const node::exchange_ptr& exchange);

/// Returns the path of \a exchange behind \a prefix.
std::string tailOf(const node::exchange_ptr& exchange, std::string_view prefix);

} // namespace marigold::entry
