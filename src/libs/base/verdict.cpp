#include "verdict.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::base {

namespace {
constexpr std::array<std::pair<verdict, std::string_view>, 3> names { {
    { verdict::NotRun, "not_run" },
    { verdict::MayHaveRun, "may_have_run" },
    { verdict::Ran, "ran" },
} };
} // namespace

std::string_view nameOf(verdict value)
{
    return names[static_cast<std::size_t>(value)].second;
}

std::optional<verdict> verdictFromString(std::string_view text)
{
    const auto* found
        = std::find_if(names.begin(), names.end(), [&](const auto& entry) { return entry.second == text; });
    if (found == names.end())
        return std::nullopt;
    return found->first;
}

verdict combine(verdict a, verdict b)
{
    return std::max(a, b);
}

} // namespace marigold::base
