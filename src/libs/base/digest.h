#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace marigold::base {

/// SHA-256 output, 32 bytes.
using digest256 = std::array<std::uint8_t, 32>;

/// 128-bit identifier truncated from a SHA-256 output.
using digest128 = std::array<std::uint8_t, 16>;

/// Returns the SHA-256 digest of \a data (FIPS 180-4).
digest256 sha256(std::string_view data);

/// Returns HMAC-SHA256 of \a data under \a key (RFC 2104).
digest256 hmacSha256(std::string_view key, std::string_view data);

/// Returns the first 16 bytes of \a digest.
digest128 truncate(const digest256& digest);

/// Compares \a a and \a b in a time that depends only on their lengths.
bool equalConstantTime(std::span<const std::uint8_t> a, std::span<const std::uint8_t> b);

/// Returns \a bytes in lower-case hexadecimal.
std::string toHex(std::span<const std::uint8_t> bytes);

/// Parses 32 hexadecimal digits; empty for any other text.
std::optional<digest128> digest128FromHex(std::string_view text);

/// Returns a fast 64-bit hash (XXH3) for placement and tables; not cryptographically secure.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the score of \a node for \a key in rendezvous hashing (Thaler and Ravishankar 1998). The
/// original algorithm selects the node with the highest score; some callers select the lowest scores instead.
/// All processes must select in the same order to agree on the nodes of a key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

} // namespace marigold::base
