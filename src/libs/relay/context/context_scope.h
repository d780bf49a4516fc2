#pragma once

#include <relay/store/relay_config.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::relay {

/// The properties that two requests must have in common to share context: the model, its weights, and the
/// team if it is isolated. Context computed on other weights would give wrong answers.
///
/// Context of a team that becomes isolated must not be used by the others any more, and neither stores nor
/// engines know which request made it. The scope of the teams that share therefore also depends on which
/// teams are isolated: none of these has ever made context in it.
struct context_scope {
    std::string model;
    int weightVersion = 0;
    std::string isolatedTeam = {}; ///< Empty for the teams that share context.
    /// `relay_config::isolationDigest` for the teams that share context; 0 for an isolated one.
    std::uint64_t isolationDigest = 0;

    /// Returns the scope of a request of \a owner under \a config. \a owner is the team as of the arrival of
    /// the request, or null; it is isolated if it was then or is now.
    static context_scope of(
        const relay_config& config, const team* owner, std::string_view model, int weightVersion);

    /// Returns the scope as text without blanks and control characters; equal texts denote equal scopes.
    std::string text() const;

    /// Parses the output of `text`; returns an empty value for any other text.
    static std::optional<context_scope> parse(std::string_view text);

    bool operator==(const context_scope&) const = default;
};

} // namespace marigold::relay
