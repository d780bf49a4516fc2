#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace marigold::relay {

/// What two requests must have in common to share context: the model, its weights, and the team if it is
/// isolated. Context made on other weights would give wrong answers.
struct context_scope {
    std::string model;
    int weightVersion = 0;
    std::string isolatedTeam = {}; ///< Empty for all teams that share.

    /// Returns the scope as one text; equal texts are equal scopes.
    std::string text() const;

    /// Reads what `text` returned; empty for any other text.
    static std::optional<context_scope> parse(std::string_view text);
};

} // namespace marigold::relay
