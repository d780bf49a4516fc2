#include "weights_changeover.h"

#include <algorithm>
#include <string>
#include <utility>

namespace marigold::relay {

double weights_changeover::usableShareOf(const options& opts)
{
    const auto limit = static_cast<double>(opts.versionLimit.count());
    if (limit <= 0)
        return shortestUsableShare;
    return std::max(shortestUsableShare, 1 - static_cast<double>(opts.startReserve.count()) / limit);
}

weights_changeover::weights_changeover(options opts)
    : m_options(opts)
    , m_usableShare(usableShareOf(m_options))
{
}

base::duration weights_changeover::oldWeightsLimit(base::duration limit) const
{
    return base::duration(static_cast<std::int64_t>(m_usableShare * static_cast<double>(limit.count())));
}

std::size_t weights_changeover::maxLoading(std::size_t targets) const
{
    const double share = m_options.loadingShare * shortestUsableShare / m_usableShare;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(targets)));
}

void weights_changeover::sort(std::span<outdated_target> targets, int wanted)
{
    std::ranges::sort(targets, {}, [wanted](const outdated_target& target) {
        // A different order for each version, so that it is not always the same targets that load last.
        return std::pair(
            target.version, base::hash64(std::to_string(target.id), static_cast<std::uint64_t>(wanted)));
    });
}

std::vector<std::uint64_t> weights_changeover::loadingSoon(
    std::vector<outdated_target> outdated, std::size_t targets, int wanted) const
{
    sort(outdated, wanted);
    // Those that have orders now, and the next ones after them, but not most of the targets.
    const std::size_t loading = maxLoading(targets);
    outdated.resize(std::min(outdated.size(), std::max(loading, std::min(2 * loading, targets / 2))));
    std::vector<std::uint64_t> soon;
    for (const outdated_target& target : outdated)
        soon.push_back(target.id);
    std::ranges::sort(soon);
    return soon;
}

} // namespace marigold::relay
