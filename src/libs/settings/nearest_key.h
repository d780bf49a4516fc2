#pragma once

#include <span>
#include <string>
#include <string_view>

namespace marigold::settings {

/// Returns the number of insertions, deletions, substitutions and transpositions of adjacent characters that
/// turn \a a into \a b (optimal string alignment distance).
std::size_t editDistance(std::string_view a, std::string_view b);

/// Returns the entry of \a known with the smallest edit distance to \a key. If the distance exceeds a third
/// of the length of the key, returns an entry with the same last component instead; empty if there is none.
std::string nearestKey(std::string_view key, std::span<const std::string> known);

} // namespace marigold::settings
