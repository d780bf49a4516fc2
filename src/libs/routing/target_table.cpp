#include "target_table.h"

#include <base/digest.h>

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::routing {

std::string_view nameOf(target_state state)
{
    constexpr std::array<std::string_view, 4> names { "serving", "draining", "leaving", "unreachable" };
    return names[static_cast<std::size_t>(state)];
}

target_table::target_table(options opts)
    : m_options(std::move(opts))
{
}

target_index target_table::put(const target_info& info)
{
    target_index index = find(info.id);
    if (index == noTarget) {
        index = static_cast<target_index>(m_records.size());
        m_records.emplace_back();
        m_blocked.push_back(0);
        m_byId.emplace(info.id, index);
    } else {
        unlink(index);
    }
    record& entry = m_records[index];
    entry.info = info;
    entry.near = proximity::OtherRegion;
    if (info.region == m_options.region)
        entry.near
            = info.failureDomain == m_options.failureDomain ? proximity::SameDomain : proximity::SameRegion;
    entry.domainExcluded = std::ranges::count(m_excludedDomains, info.failureDomain) > 0;
    link(index);
    updateBlocked(index);
    return index;
}

void target_table::remove(target_index target)
{
    record& entry = m_records[target];
    if (entry.removed)
        return;
    unlink(target);
    m_byId.erase(entry.info.id);
    entry = {};
    entry.removed = true;
    updateBlocked(target);
}

void target_table::setState(target_index target, target_state state)
{
    m_records[target].state = state;
    updateBlocked(target);
}

void target_table::setOutOfService(target_index target, bool outOfService)
{
    m_records[target].outOfService = outOfService;
    updateBlocked(target);
}

void target_table::setListed(target_index target, bool listed)
{
    record& entry = m_records[target];
    if (entry.removed || entry.listed == listed)
        return;
    if (entry.listed)
        unlink(target);
    entry.listed = listed;
    if (entry.listed)
        link(target);
    updateBlocked(target);
}

void target_table::setEjected(target_index target, bool ejected)
{
    m_records[target].ejected = ejected;
    updateBlocked(target);
}

void target_table::setExcludedDomains(std::span<const std::string> domains)
{
    m_excludedDomains.assign(domains.begin(), domains.end());
    for (target_index i = 0; i < m_records.size(); ++i) {
        m_records[i].domainExcluded = std::ranges::count(domains, m_records[i].info.failureDomain) > 0;
        updateBlocked(i);
    }
}

void target_table::report(target_index target, const load_report& load, base::time_point measuredAt)
{
    record& entry = m_records[target];
    if (entry.reported && measuredAt < entry.measuredAt)
        return;
    entry.load = load;
    entry.measuredAt = measuredAt;
    entry.reported = true;
    const base::time_point contained = measuredAt - m_options.reportMargin;
    std::erase_if(entry.unreportedChoices, [&](const choice& made) { return made.at <= contained; });
    std::erase_if(entry.endedRuns, [&](base::time_point at) { return at <= measuredAt; });
}

choice_ticket target_table::recordChoice(target_index target, int prefillTokens, base::time_point now)
{
    record& entry = m_records[target];
    dropExpired(entry, now);
    entry.unreportedChoices.push_back(
        { .sequence = ++m_lastSequence, .at = now, .prefillTokens = prefillTokens });
    return { .target = target, .sequence = m_lastSequence, .chosenAt = now };
}

void target_table::recordEnd(const choice_ticket& ticket, base::time_point now)
{
    if (ticket.target >= m_records.size() || m_records[ticket.target].removed)
        return;
    record& entry = m_records[ticket.target];
    if (std::erase_if(
            entry.unreportedChoices, [&](const choice& made) { return made.sequence == ticket.sequence; })
        > 0)
        return;
    // A choice that is not included in the report was dropped because of its age, so there is nothing to
    // subtract.
    if (entry.reported && ticket.chosenAt <= entry.measuredAt - m_options.reportMargin)
        entry.endedRuns.push_back(now);
    dropExpired(entry, now);
}

void target_table::dropExpired(record& entry, base::time_point now) const
{
    const base::time_point oldest = now - m_options.choiceLifetime;
    std::erase_if(entry.unreportedChoices, [&](const choice& made) { return made.at < oldest; });
    std::erase_if(entry.endedRuns, [&](base::time_point at) { return at < oldest; });
}

load_estimate target_table::estimate(target_index target, base::time_point now) const
{
    const record& entry = m_records[target];
    const load_report& load = entry.load;
    load_estimate out { .outstanding = load.running + load.queued,
        .slots = std::max(load.slots, 1),
        .prefillTokensPerSecond = load.prefillTokensPerSecond,
        .serviceSeconds = std::chrono::duration<double>(load.serviceTime).count(),
        .slowdownSeconds = std::chrono::duration<double>(load.slowdown).count(),
        .contextLifetime = load.contextLifetime,
        .age = entry.reported ? now - entry.measuredAt : base::duration::max() };
    const int correction
        = static_cast<int>(entry.unreportedChoices.size()) - static_cast<int>(entry.endedRuns.size());
    out.outstanding = std::max(out.outstanding + correction, 0);
    // Replays the backlog from the report until now: the target processes it, and each choice adds to it.
    double backlog = static_cast<double>(load.pendingPrefillTokens);
    base::time_point last = entry.reported || entry.unreportedChoices.empty()
        ? entry.measuredAt
        : entry.unreportedChoices.front().at;
    const auto advanceBacklog = [&](base::time_point until) {
        const double seconds
            = std::chrono::duration<double>(std::max(until - last, base::duration::zero())).count();
        backlog = std::max(backlog - seconds * load.prefillTokensPerSecond, 0.0);
        last = std::max(last, until);
    };
    for (const choice& made : entry.unreportedChoices) {
        advanceBacklog(made.at);
        backlog += made.prefillTokens;
    }
    advanceBacklog(now);
    out.pendingPrefillTokens = backlog;
    return out;
}

const target_group* target_table::group(target_kind kind, std::string_view model) const
{
    const auto found = m_groups.find(std::pair(kind, model));
    return found == m_groups.end() ? nullptr : &found->second;
}

target_index target_table::find(std::string_view id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? noTarget : found->second;
}

void target_table::updateBlocked(target_index target)
{
    const record& entry = m_records[target];
    const bool stopped = entry.state == target_state::Draining || entry.state == target_state::Leaving;
    // An unreachable target in another region receives no new work; in this region the results of requests
    // decide.
    const bool isRemoteUnreachable
        = entry.state == target_state::Unreachable && entry.near == proximity::OtherRegion;
    const bool out = entry.removed || !entry.listed || entry.outOfService || entry.domainExcluded || stopped
        || isRemoteUnreachable;
    m_blocked[target]
        = static_cast<std::uint8_t>((out ? outOfServiceBit : 0) | (entry.ejected ? ejectedBit : 0));
}

std::vector<target_group::member>& target_table::membersFor(const record& entry)
{
    target_group& group = m_groups[{ entry.info.kind, entry.info.model }];
    if (entry.near == proximity::SameDomain)
        return group.sameDomain;
    return entry.near == proximity::SameRegion ? group.sameRegion : group.otherRegions;
}

void target_table::link(target_index target)
{
    const record& entry = m_records[target];
    if (!entry.listed)
        return;
    membersFor(entry).push_back({ .seed = base::hash64(entry.info.id), .index = target });
}

void target_table::unlink(target_index target)
{
    std::erase_if(
        membersFor(m_records[target]), [&](const target_group::member& m) { return m.index == target; });
}

} // namespace marigold::routing
