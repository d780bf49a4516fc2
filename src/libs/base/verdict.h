#pragma once

#include <optional>
#include <string_view>

namespace marigold::base {

/// Says whether a request may have taken effect at its target.
enum class verdict {
    NotRun, ///< Proved: no target has started the request. A retry anywhere is safe.
    MayHaveRun, ///< Unknown: the request left this process and no complete outcome came back.
    Ran, ///< The target has carried out the request.
};

/// Returns the wire name of \a value: `not_run`, `may_have_run` or `ran`.
std::string_view nameOf(verdict value);

/// Parses a wire name; empty for any other text.
std::optional<verdict> verdictFromString(std::string_view text);

/// Returns the verdict for a request of which several attempts were made: the one that claims more effect.
verdict combine(verdict a, verdict b);

} // namespace marigold::base
