#pragma once

#include "verdict.h"

#include <chrono>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace marigold::base {

/// Why a request or operation failed. Each value has one HTTP status towards callers.
enum class error_reason {
    InvalidRequest, ///< 400: the request is malformed; `field` names the place.
    Unauthorized, ///< 401: no valid key.
    Forbidden, ///< 403: the key lacks the right.
    NotFound, ///< 404: no such model, service, team, target or value.
    Conflict, ///< 409: another version or another running call is in the way.
    TooLarge, ///< 413: over a stated limit.
    KeyReused, ///< 422: the idempotency key was used with another body.
    Overloaded, ///< 429: refused to protect the target or other teams.
    DeadlineExceeded, ///< 504: the deadline passed.
    Unavailable, ///< 503: nothing can serve this now.
    StreamBroken, ///< 502: an answer broke and cannot be continued.
    Internal, ///< 500: a defect of this process.
};

/// Returns the wire name of \a reason, in snake case.
std::string_view nameOf(error_reason reason);

/// Parses a wire name; anything unknown is `Internal`.
error_reason reasonFromString(std::string_view text);

/// Returns the HTTP status that callers see for \a reason.
int httpStatus(error_reason reason);

/// A failure together with what is known about the effect of the request.
struct error {
    base::verdict verdict = verdict::NotRun;
    error_reason reason = error_reason::Internal;
    std::string message; ///< One sentence for people.
    std::string field = {}; ///< Path of the offending field or setting, if there is one.
    std::chrono::milliseconds retryAfter { 0 }; ///< When a retry has a chance; zero if unknown.
};

template <typename T> using result = tl::expected<T, error>;

/// Shorthand for an error with verdict `NotRun`.
tl::unexpected<error> notRun(error_reason reason, std::string message, std::string field = {});

/// Shorthand for an error with verdict `MayHaveRun`.
tl::unexpected<error> mayHaveRun(error_reason reason, std::string message);

} // namespace marigold::base
