#pragma once

#include <span>
#include <string>
#include <string_view>

namespace marigold::settings {

/// Returns the number of insertions, deletions, substitutions and swaps of neighbours that turn \a a into
/// \a b (optimal string alignment distance).
std::size_t editDistance(std::string_view a, std::string_view b);

/// Returns the entry of \a known with the smallest edit distance to \a key; empty if none is close enough to
/// be a misspelling (a third of the length of the key) and none has the same last part.
std::string nearestKey(std::string_view key, std::span<const std::string> known);

} // namespace marigold::settings
