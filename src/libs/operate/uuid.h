#pragma once

#include "secure_random.h"

#include <base/base.h>

#include <string>

namespace marigold::operate {

/// Returns a version 7 UUID (RFC 9562, section 5.7) for the time \a now: 48 bits of Unix milliseconds and 74
/// random bits. Used for idempotency keys and change ids.
std::string makeUuidV7(base::wall_time now, const random_bytes& random = systemRandomBytes);

} // namespace marigold::operate
