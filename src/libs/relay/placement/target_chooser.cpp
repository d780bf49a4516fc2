#include "target_chooser.h"

#include <algorithm>

namespace marigold::relay {

target_chooser::target_chooser(const base::clock& time, target_registry& targets, options opts)
    : m_clock(time)
    , m_targets(targets)
    , m_options(opts)
    , m_changeover(m_options.changeover)
{
}

void target_chooser::setWantedVersion(std::string_view model, int version, named_at time)
{
    wanted_versions& wanted = m_wantedVersions[base::hash64(model)];
    if (!wanted.empty() && version <= wanted.back().version)
        return;
    const int overdue = overdueVersion(wanted);
    std::erase_if(wanted, [overdue](const wanted_version& item) { return item.version < overdue; });
    wanted.push_back({ .version = version, .since = m_clock.now(), .isAgeKnown = time != named_at::Unknown });
}

void target_chooser::agesReported(std::span<const version_age> ages)
{
    for (const version_age& report : ages) {
        const auto model = m_wantedVersions.find(report.model);
        // A version that the platform's store has not shown yet is not wanted on the word of a peer.
        if (model == m_wantedVersions.end() || report.version > model->second.back().version)
            continue;
        wanted_versions& wanted = model->second;
        const base::time_point since = m_clock.now() - report.age;
        const auto item = std::ranges::lower_bound(wanted, report.version, {}, &wanted_version::version);
        if (item->version != report.version) {
            wanted.insert(item, { .version = report.version, .since = since, .isAgeKnown = report.isExact });
            continue;
        }
        item->since = std::min(item->since, since);
        item->isAgeKnown = item->isAgeKnown || report.isExact;
    }
}

std::vector<version_age> target_chooser::ages() const
{
    std::vector<version_age> known;
    for (const auto& [model, wanted] : m_wantedVersions)
        for (const wanted_version& item : wanted)
            // Later, a restarted process has reached its own limit before it is bound to this one.
            if (const base::duration age = m_clock.now() - item.since;
                age < 2 * m_options.changeover.versionLimit)
                known.push_back(
                    { .model = model, .version = item.version, .age = age, .isExact = item.isAgeKnown });
    return known;
}

bool target_chooser::isOverdue(const wanted_version& item) const
{
    return m_clock.now() - item.since >= oldWeightsLimit(item.isAgeKnown);
}

int target_chooser::overdueVersion(const wanted_versions& wanted) const
{
    int overdue = 0;
    for (const wanted_version& item : wanted)
        if (isOverdue(item))
            overdue = item.version;
    return overdue;
}

base::duration target_chooser::oldWeightsLimit(bool isAgeKnown) const
{
    const base::duration limit = m_options.changeover.versionLimit;
    return m_changeover.oldWeightsLimit(isAgeKnown ? limit : std::min(limit, m_options.startGrace));
}

std::string target_chooser::requiredVersion(const placement_request& request)
{
    if (request.model.empty())
        return {};
    const auto found = m_wantedVersions.find(base::hash64(request.model));
    const bool isNamed = found != m_wantedVersions.end();
    const int wanted = isNamed ? found->second.back().version : 0;
    // Targets may already have a version that this process has not been notified of.
    const int newest = m_targets.newestVersion(request.service, request.model);
    const int required = std::max(wanted, newest);
    if (required == 0)
        return {};
    const int usable = std::max(isNamed ? overdueVersion(found->second) : 0,
        m_targets.versionOfShare(request.service, request.model, m_changeover.switchShare()));
    m_targets.stopUsingOlderWeights(request.model, usable);
    return usable >= required ? std::to_string(required) : std::string();
}

bool target_chooser::isLongRun(const placement_request& request) const
{
    return m_changeover.isLong(m_targets.expectedRun(request.service, request.outputTokens));
}

std::span<const std::uint64_t> target_chooser::loadingSoon(const placement_request& request)
{
    const auto found = m_wantedVersions.find(base::hash64(request.model));
    if (!m_changeover.isGradual() || request.model.empty() || found == m_wantedVersions.end())
        return {};
    constexpr base::duration maxAge = std::chrono::milliseconds(50);
    auto known = m_loadingSoon.find(request.service);
    if (known == m_loadingSoon.end())
        known = m_loadingSoon.emplace(std::string(request.service), soon_loading {}).first;
    soon_loading& soon = known->second;
    const base::time_point now = m_clock.now();
    if (now - soon.computedAt < maxAge)
        return soon.targets;
    const int wanted = found->second.back().version;
    std::size_t all = 0;
    std::vector<weights_changeover::outdated_target> outdated;
    for (const auto& [id, target] : m_targets.targets()) {
        if (target->registration.service != request.service || target->leaving)
            continue;
        ++all;
        const auto version = target->registration.weightVersions.find(std::string(request.model));
        if (version != target->registration.weightVersions.end() && version->second < wanted)
            outdated.push_back({ .id = target->hash, .version = version->second });
    }
    soon = { .computedAt = now, .targets = m_changeover.loadingSoon(std::move(outdated), all, wanted) };
    return soon.targets;
}

placement target_chooser::choose(const placement_request& request)
{
    m_targets.endPauses();
    m_targets.refreshPaces();
    const bool isPrompt = !request.model.empty();
    const std::string version = requiredVersion(request);
    const std::string group = target_registry::groupName(request.service, request.lane);
    const bool isSpread = isPrompt && m_targets.isSpread(request.service);
    const routing::route_decision decision = m_targets.router().route(
        { .policy = isPrompt ? routing::routing_policy::Prompt : routing::routing_policy::IdempotentCall,
            .kind = routing::target_kind::Engine,
            .model = group,
            .version = version,
            // The tokens to recompute are the same at all targets, so that a weight for them only multiplies
            // the errors of the speeds.
            .goal = isSpread ? routing::serving_goal::FirstToken : routing::serving_goal::LeastRecomputation,
            .size = { .promptTokens = request.promptTokens, .prefixTokens = request.sharedTokens },
            .prefixKey = request.sharedPart.empty() ? 0 : base::hash64(request.sharedPart) | 1,
            .storedContext = { .tokens = request.cachedTokens, .transferTime = request.transferTime },
            .triedTargets = request.triedTargets,
            .equalScoreShare = isSpread ? m_options.equalScoreShare : 0 },
        m_clock.now());
    if (decision.empty())
        return { .outcome = placement_outcome::NoTarget,
            .pauseEnd = m_targets.nextPauseEnd(request.service, request.triedTargets) };
    const std::span<const std::uint64_t> avoided
        = isLongRun(request) ? loadingSoon(request) : std::span<const std::uint64_t> {};
    placement found { .outcome = placement_outcome::Busy };
    for (const routing::candidate& item : decision.candidates()) {
        target_record* target = m_targets.record(item.target);
        const bool isAvoided = target && std::ranges::binary_search(avoided, target->hash);
        if (!target || (isAvoided && found.target) || !m_targets.canAccept(*target, request.work))
            continue;
        found = { .outcome = placement_outcome::Chosen,
            .target = target,
            .firstTokenSeconds = item.cost.firstTokenSeconds };
        if (!isAvoided)
            return found;
    }
    return found;
}

} // namespace marigold::relay
