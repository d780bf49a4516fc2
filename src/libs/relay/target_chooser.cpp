#include "target_chooser.h"

#include <algorithm>

namespace marigold::relay {

target_chooser::target_chooser(const base::clock& time, target_registry& targets, options opts)
    : m_clock(time)
    , m_targets(targets)
    , m_options(opts)
{
}

void target_chooser::setWantedVersion(std::string_view model, int version)
{
    std::vector<wanted_version>& wanted = m_wantedVersions[std::string(model)];
    if (!wanted.empty() && version <= wanted.back().version)
        return;
    const int overdue = overdueVersion(model);
    std::erase_if(wanted, [overdue](const wanted_version& item) { return item.version < overdue; });
    wanted.push_back({ .version = version, .since = m_clock.now() });
}

int target_chooser::overdueVersion(std::string_view model) const
{
    int overdue = 0;
    if (const auto found = m_wantedVersions.find(model); found != m_wantedVersions.end())
        for (const wanted_version& item : found->second)
            if (m_clock.now() - item.since >= oldWeightsLimit())
                overdue = item.version;
    return overdue;
}

base::duration target_chooser::oldWeightsLimit() const
{
    const auto limit = static_cast<double>(m_options.versionLimit.count());
    return base::duration(static_cast<std::int64_t>(m_options.oldWeightsShare * limit));
}

std::string target_chooser::requiredVersion(const placement_request& request)
{
    if (request.model.empty())
        return {};
    const auto found = m_wantedVersions.find(request.model);
    const int wanted = found == m_wantedVersions.end() ? 0 : found->second.back().version;
    // Targets may already have a version that this process has not been notified of.
    const int newest = m_targets.newestVersion(request.service, request.model);
    const int required = std::max(wanted, newest);
    if (required == 0)
        return {};
    const int usable = std::max(overdueVersion(request.model),
        m_targets.versionOfShare(request.service, request.model, m_options.newWeightsShare));
    m_targets.stopUsingOlderWeights(request.model, usable);
    return usable >= required ? std::to_string(required) : std::string();
}

placement target_chooser::choose(const placement_request& request)
{
    m_targets.endPauses();
    const bool isPrompt = !request.model.empty();
    const std::string version = requiredVersion(request);
    const routing::route_decision decision = m_targets.router().route(
        { .policy = isPrompt ? routing::routing_policy::Prompt : routing::routing_policy::IdempotentCall,
            .kind = routing::target_kind::Engine,
            .model = request.service,
            .version = version,
            .goal = routing::serving_goal::LeastRecomputation,
            .size = { .promptTokens = request.promptTokens, .prefixTokens = request.sharedTokens },
            .prefixKey = request.sharedPart.empty() ? 0 : base::hash64(request.sharedPart) | 1,
            .storedContext = { .tokens = request.cachedTokens, .transferTime = request.transferTime },
            .triedTargets = request.triedTargets },
        m_clock.now());
    if (decision.empty())
        return { .outcome = placement_outcome::NoTarget,
            .pauseEnd = m_targets.nextPauseEnd(request.service, request.triedTargets) };
    for (const routing::candidate& item : decision.candidates()) {
        target_record* target = m_targets.record(item.target);
        if (target && m_targets.canAccept(*target, request.work))
            return { .outcome = placement_outcome::Chosen,
                .target = target,
                .firstTokenSeconds = item.cost.firstTokenSeconds };
    }
    return { .outcome = placement_outcome::Busy };
}

} // namespace marigold::relay
