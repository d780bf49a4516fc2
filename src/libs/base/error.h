#pragma once

#include "verdict.h"

#include <chrono>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace marigold::base {

/// Reason for the failure of a request or operation. Each value maps to one HTTP status for callers.
enum class error_reason {
    InvalidRequest, ///< 400: the request is malformed; `field` names the location.
    Unauthorized, ///< 401: no valid key.
    Forbidden, ///< 403: the key lacks the right.
    NotFound, ///< 404: no such model, service, team, target or value.
    Conflict, ///< 409: conflicts with another version or a running call.
    TooLarge, ///< 413: exceeds a documented limit.
    KeyReused, ///< 422: the idempotency key was used with another body.
    Overloaded, ///< 429: refused to protect the target or other teams.
    DeadlineExceeded, ///< 504: the deadline passed.
    Unavailable, ///< 503: nothing can serve this now.
    StreamBroken, ///< 502: an answer was interrupted and cannot be continued.
    Internal, ///< 500: a defect of this process.
};

/// Returns the wire name of \a reason, in snake case.
std::string_view nameOf(error_reason reason);

/// Parses a wire name; returns `Internal` for any other text.
error_reason reasonFromString(std::string_view text);

/// Returns the HTTP status that callers see for \a reason.
int httpStatus(error_reason reason);

/// A failure and the known effect of the request.
struct error {
    base::verdict verdict = verdict::NotRun;
    error_reason reason = error_reason::Internal;
    std::string message; ///< One human-readable sentence.
    std::string field = {}; ///< Path of the offending field or setting, if there is one.
    std::chrono::milliseconds retryAfter { 0 }; ///< Time after which a retry may succeed; zero if unknown.
};

template <typename T> using result = tl::expected<T, error>;

/// Returns an error with verdict `NotRun`.
tl::unexpected<error> notRun(error_reason reason, std::string message, std::string field = {});

/// Returns an error with verdict `MayHaveRun`.
tl::unexpected<error> mayHaveRun(error_reason reason, std::string message);

} // namespace marigold::base
