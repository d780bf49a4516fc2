#pragma once

#include <base/base.h>

#include <chrono>
#include <string_view>

namespace marigold::outcome {

/// Validity period of a key.
struct key_window {
    base::duration length = std::chrono::hours(1); ///< Older keys are refused.
    base::duration clockSkew = std::chrono::seconds(60); ///< A key may lie this far in the future.
};

/// A UUIDv7 (RFC 9562, section 5.7) from the header `Idempotency-Key`.
struct idempotency_key {
    base::digest128 bytes = {};

    /// Returns the creation time contained in the key, with millisecond resolution.
    base::wall_time created() const;

    bool operator==(const idempotency_key&) const = default;
};

/// Parses \a text in the form 8-4-4-4-12 hexadecimal digits, version 7 and variant 10.
/// Fails with `not_run`, `InvalidRequest` and the field `Idempotency-Key`.
base::result<idempotency_key> parseIdempotencyKey(std::string_view text);

/// Checks the age of \a key at \a now; fails with `not_run`, `InvalidRequest` (`key_expired`) and the field
/// `Idempotency-Key`.
base::result<void> checkKeyWindow(
    const idempotency_key& key, base::wall_time now, const key_window& window = {});

} // namespace marigold::outcome
