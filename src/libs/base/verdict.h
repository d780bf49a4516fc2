#pragma once

#include <optional>
#include <string_view>

namespace marigold::base {

/// Whether a request may have taken effect at its target.
enum class verdict {
    NotRun, ///< It is certain that no target has started the request. A retry on any target is safe.
    MayHaveRun, ///< Unknown: the request was sent and no complete reply was received.
    Ran, ///< The target has executed the request.
};

/// Returns the wire name of \a value: `not_run`, `may_have_run` or `ran`.
std::string_view nameOf(verdict value);

/// Parses a wire name; empty for any other text.
std::optional<verdict> verdictFromString(std::string_view text);

/// Returns the verdict for a request with several attempts: the one with the greater effect.
verdict combine(verdict a, verdict b);

} // namespace marigold::base
