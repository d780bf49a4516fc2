#include "member_table.h"

#include <algorithm>

namespace marigold::control {

namespace {

constexpr std::size_t delegatesPerDomain = 2;

} // namespace

table_change member_table::merge(const member& record, bool direct, base::time_point now)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end()) {
        // A tombstone of an unknown member is ignored: if it were passed on, tombstones would never expire.
        if (record.state == member_state::Dead)
            return table_change::None;
        auto& added = m_members[record.id];
        added.info = record;
        added.removedAt = now;
        added.change = added.loadChange = ++m_change;
        m_byDomain[record.failureDomain].push_back(&added);
        return table_change::State;
    }
    auto& known = found->second;
    auto& info = known.info;
    const bool incarnationIsNewer = record.incarnation > info.incarnation;
    if (record.incarnation < info.incarnation
        || (!incarnationIsNewer && record.state < info.state && !direct))
        return table_change::None;
    const bool stateChanged = incarnationIsNewer || record.state > info.state;
    const bool loadIsNewer = record.loadSequence > info.loadSequence;
    const bool mergeLoad = loadIsNewer || (direct && record.loadSequence == info.loadSequence);
    const bool swapChanged = mergeLoad
        && (record.load.rampStep != info.load.rampStep || record.load.weightTag != info.load.weightTag);
    const bool versionRaised = record.configVersion > info.configVersion;
    if (incarnationIsNewer) {
        if (info.failureDomain != record.failureDomain) {
            std::erase(m_byDomain[info.failureDomain], &known);
            m_byDomain[record.failureDomain].push_back(&known);
        }
        info = record;
        known.requestFailures = 0;
    } else {
        info.state = std::max(info.state, record.state);
        if (mergeLoad)
            info.load = record.load;
        info.loadSequence = std::max(info.loadSequence, record.loadSequence);
        info.configVersion = std::max(info.configVersion, record.configVersion);
    }
    if (stateChanged && info.state == member_state::Dead)
        known.removedAt = now;
    if (stateChanged || loadIsNewer || swapChanged)
        known.loadChange = ++m_change;
    if (stateChanged || swapChanged)
        known.change = known.loadChange;
    if (stateChanged)
        return table_change::State;
    return loadIsNewer ? table_change::Load : versionRaised ? table_change::Minor : table_change::None;
}

table_change member_table::setState(const std::string& id, member_state state, base::time_point now)
{
    auto* known = find(id);
    if (!known || known->info.state == state)
        return table_change::None;
    known->info.state = state;
    known->change = known->loadChange = ++m_change;
    if (state == member_state::Dead)
        known->removedAt = now;
    return table_change::State;
}

tracked_member* member_table::find(std::string_view id)
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const tracked_member* member_table::find(std::string_view id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

void member_table::expireTombstones(base::time_point before)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        auto& known = entry->second;
        if (known.info.state != member_state::Dead || known.removedAt >= before) {
            ++entry;
            continue;
        }
        std::erase(m_byDomain[known.info.failureDomain], &known);
        entry = m_members.erase(entry);
    }
}

const std::vector<tracked_member*>& member_table::trackedIn(std::string_view domain) const
{
    static const std::vector<tracked_member*> none;
    const auto found = m_byDomain.find(domain);
    return found == m_byDomain.end() ? none : found->second;
}

std::vector<std::string> member_table::domains() const
{
    std::vector<std::string> names;
    for (const auto& [name, members] : m_byDomain)
        if (!members.empty())
            names.push_back(name);
    return names;
}

std::vector<const tracked_member*> member_table::membersOf(std::string_view domain) const
{
    const auto& members = trackedIn(domain);
    return { members.begin(), members.end() };
}

std::uint64_t member_table::hashOf(std::string_view domain) const
{
    std::uint64_t sum = 0;
    for (const auto* known : trackedIn(domain)) {
        if (known->info.state == member_state::Dead)
            continue;
        const std::uint64_t seed
            = known->info.incarnation * 2 + (known->info.state == member_state::Leaving ? 1 : 0);
        sum += base::hash64(known->info.id, seed);
    }
    return sum;
}

std::size_t member_table::countLive(std::string_view domain) const
{
    const auto& members = trackedIn(domain);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [](const tracked_member* known) { return known->info.state < member_state::Leaving; }));
}

std::vector<const tracked_member*> member_table::liveMembersOf(std::string_view domain) const
{
    auto out = membersOf(domain);
    std::erase_if(
        out, [](const tracked_member* known) { return known->info.state >= member_state::Leaving; });
    return out;
}

std::vector<std::string> member_table::delegatesOf(std::string_view domain) const
{
    std::vector<std::pair<std::uint64_t, std::string_view>> byScore;
    for (const auto* known : liveMembersOf(domain))
        if (known->info.state == member_state::Alive)
            byScore.emplace_back(base::rendezvousScore(domain, known->info.id), known->info.id);
    std::sort(byScore.begin(), byScore.end());
    byScore.resize(std::min(byScore.size(), delegatesPerDomain));
    std::vector<std::string> out;
    out.reserve(byScore.size());
    for (const auto& [score, id] : byScore)
        out.emplace_back(id);
    return out;
}

} // namespace marigold::control
