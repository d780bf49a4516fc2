#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace marigold::ctl {

/// Exit code of the program; part of its interface.
enum class exit_code {
    Done = 0,
    Failed = 1, ///< Refused by the entry, or nothing by that name.
    Usage = 2, ///< Wrong arguments, or an unreadable or malformed input file.
    Conflict = 3, ///< The change is based on another version than the current one.
    NoPermission = 4, ///< No valid operator key, or without the needed right.
    Unreachable = 5, ///< No entry was reached; nothing was changed.
    Unknown = 6, ///< A change was sent, and whether it was accepted could not be found out.
};

/// Why a command did not do its work.
struct failure {
    exit_code code = exit_code::Failed;
    std::string message; ///< One or two sentences for people.
    std::string detail = {}; ///< JSON text of the entry's answer, if there is one.
};

/// Shorthand for an outcome that is a failure.
inline tl::unexpected<failure> fail(exit_code code, std::string message, std::string detail = {})
{
    return tl::unexpected(
        failure { .code = code, .message = std::move(message), .detail = std::move(detail) });
}

/// The document that a command shows, or a failure.
using outcome = tl::expected<nlohmann::json, failure>;

} // namespace marigold::ctl
