#include "rollout.h"

#include <algorithm>
#include <cmath>

namespace marigold::control {

bool maySwapNow(const std::string& self, const std::string& model, const std::vector<rollout_target>& targets,
    double capacityFloor)
{
    const auto own = std::find_if(
        targets.begin(), targets.end(), [&](const rollout_target& value) { return value.id == self; });
    if (own == targets.end() || own->done)
        return false;
    if (!own->inService)
        return true; // It serves no requests.
    std::size_t total = 0;
    std::size_t unavailable = 0;
    std::size_t ahead = 0;
    const auto ownScore = base::rendezvousScore(model, self);
    for (const auto& value : targets) {
        if (!value.inService)
            continue;
        ++total;
        if (value.id == self)
            continue;
        const auto score = base::rendezvousScore(model, value.id);
        const bool isAhead = score != ownScore ? score > ownScore : value.id < self;
        // A swapping target admits no runs, so it counts once, as unavailable.
        if (!value.available)
            ++unavailable;
        else if (!value.done && isAhead)
            ++ahead;
    }
    const auto minInService = static_cast<std::size_t>(std::ceil(capacityFloor * static_cast<double>(total)));
    return ahead + unavailable + minInService < total;
}

bool rollout::maySwap(const config_content& content, const std::string& self, const membership& members)
{
    const auto target = content.targets.find(self);
    if (target == content.targets.end() || target->second.kind != target_kind::Engine)
        return false;
    const auto model = content.models.find(target->second.model);
    if (model == content.models.end())
        return false;
    if (m_wanted != model->second.wantedVersion) {
        m_wanted = model->second.wantedVersion;
        m_wantedSince = m_clock.now();
    }
    if (m_clock.now() - m_wantedSince < m_options.settleTime)
        return false;
    return maySwapNow(self, model->first, targetsOf(content, model->first, members), content.capacityFloor);
}

std::vector<rollout_target> rollout::targetsOf(
    const config_content& content, const std::string& model, const membership& members) const
{
    const auto found = content.models.find(model);
    if (found == content.models.end())
        return {};
    const auto tag = weightTag(found->second.wantedVersion);
    std::vector<rollout_target> out;
    for (const auto& [id, value] : content.targets) {
        if (value.kind != target_kind::Engine || value.model != model)
            continue;
        const auto* known = members.table().find(value.address);
        const bool alive = known && members.stateOf(value.address) == member_state::Alive;
        out.push_back({
            .id = id,
            .inService = content.isInService(value, id),
            .available = alive && known->info.load.bound > 0,
            .done = known && known->info.load.weightTag == tag
                && known->info.load.rampStep >= m_options.fullRampStep,
        });
    }
    return out;
}

} // namespace marigold::control
