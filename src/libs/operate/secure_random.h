#pragma once

#include <cstdint>
#include <functional>
#include <span>

namespace marigold::operate {

/// Source of random bytes for keys and salts; tests replace it by a reproducible one.
using random_bytes = std::function<void(std::span<std::uint8_t>)>;

/// Fills \a out from the operating system's random source; throws `std::system_error` if it is unavailable.
void systemRandomBytes(std::span<std::uint8_t> out);

} // namespace marigold::operate
