#include "nearest_key.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace marigold::settings {

namespace {

std::string_view lastComponent(std::string_view key)
{
    const std::size_t dot = key.rfind('.');
    return dot == std::string_view::npos ? key : key.substr(dot + 1);
}

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> beforeLast(b.size() + 1);
    std::vector<std::size_t> last(b.size() + 1);
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        beforeLast.swap(last);
        last.swap(row);
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = last[j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({ last[j] + 1, row[j - 1] + 1, substitution });
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
                row[j] = std::min(row[j], beforeLast[j - 2] + 1);
        }
    }
    return row[b.size()];
}

std::string nearestKey(std::string_view key, std::span<const std::string> known)
{
    // Longer keys are not compared, to bound the cost of the search for a malicious file.
    constexpr std::size_t maximumKeyBytes = 128;
    if (key.empty() || key.size() > maximumKeyBytes)
        return {};
    std::string_view nearest;
    std::size_t smallestDistance = std::numeric_limits<std::size_t>::max();
    for (const auto& candidate : known) {
        const std::size_t distance = editDistance(key, candidate);
        if (distance < smallestDistance) {
            smallestDistance = distance;
            nearest = candidate;
        }
    }
    if (smallestDistance <= std::max<std::size_t>(2, key.size() / 3))
        return std::string(nearest);
    for (const auto& candidate : known)
        if (lastComponent(candidate) == lastComponent(key))
            return candidate;
    return {};
}

} // namespace marigold::settings
