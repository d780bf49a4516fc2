#pragma once

#include <string_view>

namespace marigold::ctl {

/// Returns whether the arrays and objects of the JSON text \a text are nested deeper than in any document of
/// the interface. Documents are rendered recursively, so a deeper one could exhaust the stack.
bool isNestedTooDeeply(std::string_view text);

} // namespace marigold::ctl
