#pragma once

/// HTTP status codes that the relay sends or handles (RFC 9110, section 15).
namespace marigold::relay::http_status {

inline constexpr int ok = 200;
inline constexpr int noContent = 204;
inline constexpr int multipleChoices = 300; ///< First code above the success codes.
inline constexpr int notModified = 304;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int notFound = 404;
inline constexpr int requestTimeout = 408;
inline constexpr int contentTooLarge = 413;
inline constexpr int misdirectedRequest = 421;
inline constexpr int tooManyRequests = 429;
inline constexpr int headersTooLarge = 431;
inline constexpr int serverError = 500; ///< First code of the server errors.
inline constexpr int badGateway = 502;
inline constexpr int serviceUnavailable = 503;
inline constexpr int gatewayTimeout = 504;

/// Returns whether an answer may have \a status (RFC 9110, section 15). One with another status, such as 000,
/// is no answer.
constexpr bool isValid(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// Returns whether a body follows the head of an answer with \a status (RFC 9110, section 6.4.1).
constexpr bool mayHaveBody(int status)
{
    return status >= ok && status != noContent && status != notModified;
}

} // namespace marigold::relay::http_status
