#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marigold::agent {

/// Paths and headers of block transfers between agents.
inline constexpr std::string_view blocksPath = "/agent/blocks/";
inline constexpr std::string_view lookupPath = "/agent/blocks/lookup";
inline constexpr std::string_view checksumHeader = "X-Checksum";
inline constexpr std::string_view teamHeader = "X-Team";
/// Key of the preceding block; absent for the first one.
inline constexpr std::string_view parentHeader = "X-Parent";
inline constexpr std::string_view positionHeader = "X-Position"; ///< Index in the chain, from zero.
/// 0 interactive, 1 normal, 2 batch, 3 background.
inline constexpr std::string_view priorityHeader = "X-Priority";
/// Time that the reader needs to compute the block.
inline constexpr std::string_view recomputeHeader = "X-Recompute-Us";

/// Parses an unsigned decimal integer; returns nothing for any other text.
inline std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace marigold::agent
