#pragma once

#include <span>
#include <string>
#include <string_view>

namespace marigold::settings {

/// Returns the number of insertions, deletions, substitutions and transpositions of adjacent characters that
/// turn \a a into \a b (optimal string alignment distance).
std::size_t editDistance(std::string_view a, std::string_view b);

/// Returns the entry of \a known with the smallest edit distance to \a key if that is at most 2 or a third of
/// the key's length (whichever is greater), so that the key may be a misspelling of it. Otherwise returns an
/// entry with the same last component; empty if there is none or the key is empty or longer than 128 bytes.
std::string nearestKey(std::string_view key, std::span<const std::string> known);

} // namespace marigold::settings
