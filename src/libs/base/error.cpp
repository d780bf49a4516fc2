#include "error.h"

#include <algorithm>
#include <array>

namespace marigold::base {

namespace {

struct reason_entry {
    error_reason reason;
    std::string_view name;
    int status;
};

constexpr std::array<reason_entry, 12> reasons { {
    { error_reason::InvalidRequest, "invalid_request", 400 },
    { error_reason::Unauthorized, "unauthorized", 401 },
    { error_reason::Forbidden, "forbidden", 403 },
    { error_reason::NotFound, "not_found", 404 },
    { error_reason::Conflict, "conflict", 409 },
    { error_reason::TooLarge, "too_large", 413 },
    { error_reason::KeyReused, "key_reused", 422 },
    { error_reason::Overloaded, "overloaded", 429 },
    { error_reason::DeadlineExceeded, "deadline_exceeded", 504 },
    { error_reason::Unavailable, "unavailable", 503 },
    { error_reason::StreamBroken, "stream_broken", 502 },
    { error_reason::Internal, "internal", 500 },
} };

} // namespace

std::string_view nameOf(error_reason reason)
{
    return reasons[static_cast<std::size_t>(reason)].name;
}

error_reason reasonFromString(std::string_view text)
{
    const auto* found = std::find_if(
        reasons.begin(), reasons.end(), [&](const reason_entry& entry) { return entry.name == text; });
    return found == reasons.end() ? error_reason::Internal : found->reason;
}

int httpStatus(error_reason reason)
{
    return reasons[static_cast<std::size_t>(reason)].status;
}

tl::unexpected<error> notRun(error_reason reason, std::string message, std::string field)
{
    return tl::unexpected(error { .verdict = verdict::NotRun,
        .reason = reason,
        .message = std::move(message),
        .field = std::move(field) });
}

tl::unexpected<error> mayHaveRun(error_reason reason, std::string message)
{
    return tl::unexpected(
        error { .verdict = verdict::MayHaveRun, .reason = reason, .message = std::move(message) });
}

} // namespace marigold::base
