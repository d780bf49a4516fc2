#pragma once

#include <string_view>

namespace marigold::ctl {

/// Says whether the arrays and objects of the JSON text \a text nest deeper than any document of the
/// interface. Documents are rendered recursively, so that a deeper one could exhaust the stack.
bool isTooDeep(std::string_view text);

} // namespace marigold::ctl
