#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace marigold::ctl {

/// Exit code of the program; part of its interface.
enum class exit_code {
    Done = 0,
    Failed = 1, ///< Rejected by the entry, or not found.
    Usage = 2, ///< Invalid arguments, or an unreadable or malformed input file.
    Conflict = 3, ///< The change is based on another version than the current one.
    NoPermission = 4, ///< No valid operator key, or a key without the required right.
    Unreachable = 5, ///< No entry was reached; nothing was changed.
    Unknown = 6, ///< The outcome of a sent change is unknown.
};

/// Reason for the failure of a command.
struct failure {
    exit_code code = exit_code::Failed;
    std::string message; ///< One or two sentences for the user.
    std::string detail = {}; ///< JSON text of the response of the entry, if there is one.
};

/// Returns an outcome that is a failure.
inline tl::unexpected<failure> fail(exit_code code, std::string message, std::string detail = {})
{
    return tl::unexpected(
        failure { .code = code, .message = std::move(message), .detail = std::move(detail) });
}

/// Document that a command prints, or a failure.
using outcome = tl::expected<nlohmann::json, failure>;

} // namespace marigold::ctl
