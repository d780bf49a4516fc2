#pragma once

#include <cstdint>
#include <functional>
#include <span>

namespace marigold::operate {

/// Port to random bytes for keys and salts, so that tests can repeat them.
using random_bytes = std::function<void(std::span<std::uint8_t>)>;

/// Fills \a out from the operating system's random source; throws `std::system_error` if it has none.
void systemRandomBytes(std::span<std::uint8_t> out);

} // namespace marigold::operate
