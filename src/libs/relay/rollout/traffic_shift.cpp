#include "traffic_shift.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace marigold::relay {

double exposureAllowance(const exposure_bound& bound, const exposure_member& member, double requests)
{
    const bounded_share slack { .bound = bound.slack,
        .usedShare = bound.usedShare,
        .processes = member.processes,
        .rank = member.rank,
        .isolated = member.isolated };
    constexpr double half = 0.5;
    const double offset = (static_cast<double>(std::min(member.rank, member.processes - 1)) + half)
        / static_cast<double>(member.processes);
    const double earned = std::floor(offset + bound.share * bound.usedShare * requests);
    return earned + (member.startedLater ? 0 : slack.value());
}

double shareOf(rollout_phase phase)
{
    constexpr std::array<double, 4> shares { 0, 0.25, 0.5, 1 };
    return shares[static_cast<std::size_t>(phase)];
}

rollout_phase nextPhase(const shift_schedule& schedule, const shift_state& state)
{
    if (state.phase == rollout_phase::All)
        return state.phase;
    const auto next = static_cast<rollout_phase>(static_cast<int>(state.phase) + 1);
    const std::array<double, 4> begins { 0, schedule.quarterAt, schedule.halfAt, schedule.allAt };
    const bool isLate = state.age >= schedule.lateAt;
    if (state.age < begins[static_cast<std::size_t>(next)]
        || state.phaseAge < (isLate ? schedule.lateDwell : schedule.minDwell))
        return state.phase;
    if (state.answers < schedule.minAnswers && state.age < schedule.undecidedAt)
        return state.phase;
    if (state.candidateSlots <= 0 && (!isLate || state.answers == 0))
        return state.phase;
    // Targets that are still to come would otherwise be missed by the requests that they are to serve.
    const double needed = shareOf(next) * static_cast<double>(state.usualSlots);
    constexpr double enough = 0.9;
    if (!isLate && static_cast<double>(state.candidateSlots) < enough * needed)
        return state.phase;
    return next;
}

} // namespace marigold::relay
