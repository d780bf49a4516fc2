#include "uuid.h"

#include <array>
#include <chrono>

namespace marigold::operate {

std::string makeUuidV7(base::wall_time now, const random_bytes& random)
{
    constexpr std::size_t timeBytes = 6;
    std::array<std::uint8_t, 16> bytes {};
    random(bytes);
    const auto milliseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    for (std::size_t i = 0; i < timeBytes; ++i)
        bytes[i] = static_cast<std::uint8_t>(milliseconds >> (8 * (timeBytes - 1 - i)));
    bytes[6] = static_cast<std::uint8_t>((bytes[6] & 0x0f) | 0x70); // version 7
    bytes[8] = static_cast<std::uint8_t>((bytes[8] & 0x3f) | 0x80); // variant of RFC 9562
    const std::string hex = base::toHex(bytes);
    std::string text;
    for (std::size_t i = 0; i < hex.size(); ++i) {
        if (i == 8 || i == 12 || i == 16 || i == 20)
            text += '-';
        text += hex[i];
    }
    return text;
}

} // namespace marigold::operate
