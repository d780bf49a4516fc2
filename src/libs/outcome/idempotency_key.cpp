#include "idempotency_key.h"

#include <string>

namespace marigold::outcome {

namespace {

constexpr std::string_view fieldName = "Idempotency-Key";
constexpr std::size_t textLength = 36;

bool isDashPosition(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

tl::unexpected<base::error> invalidKey(std::string message)
{
    return base::notRun(base::error_reason::InvalidRequest, std::move(message), std::string(fieldName));
}

} // namespace

base::wall_time idempotency_key::created() const
{
    constexpr std::size_t timeBytes = 6; // RFC 9562: unix_ts_ms is 48 bits, big-endian
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < timeBytes; ++i)
        milliseconds = milliseconds * 256 + bytes[i];
    return base::wall_time(std::chrono::milliseconds(milliseconds));
}

base::result<idempotency_key> parseIdempotencyKey(std::string_view text)
{
    if (text.size() != textLength)
        return invalidKey("the idempotency key is not a UUID of 36 characters");
    std::string digits;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isDashPosition(i) != (text[i] == '-'))
            return invalidKey("the idempotency key is not a UUID of the form 8-4-4-4-12");
        if (!isDashPosition(i))
            digits += text[i];
    }
    const auto bytes = base::digest128FromHex(digits);
    if (!bytes)
        return invalidKey("the idempotency key contains characters that are not hexadecimal");
    if ((*bytes)[6] >> 4 != 7 || (*bytes)[8] >> 6 != 2)
        return invalidKey("the idempotency key is not a UUID of version 7");
    return idempotency_key { .bytes = *bytes };
}

base::result<void> checkKeyWindow(const idempotency_key& key, base::wall_time now, const key_window& window)
{
    const base::duration age = now - key.created();
    if (age > window.length)
        return invalidKey("key_expired: the idempotency key is older than the window");
    if (age < -window.clockSkew)
        return invalidKey("key_expired: the idempotency key is too far in the future");
    return {};
}

} // namespace marigold::outcome
