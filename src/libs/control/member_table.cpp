#include "member_table.h"

#include <algorithm>
#include <set>

namespace marigold::control {

namespace {

constexpr std::size_t delegatesPerDomain = 2;

} // namespace

table_change member_table::merge(const member& record, bool direct, base::time_point now)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end()) {
        // Tombstones are not passed on to processes that never knew the member, or they would never expire.
        if (record.state == member_state::Dead)
            return table_change::None;
        auto& added = m_members[record.id];
        added.info = record;
        added.removedAt = now;
        added.change = ++m_change;
        return table_change::State;
    }
    auto& known = found->second;
    auto& info = known.info;
    const bool newer = record.incarnation > info.incarnation;
    if (record.incarnation < info.incarnation || (!newer && record.state < info.state && !direct))
        return table_change::None;
    const bool stateChanged = newer || record.state > info.state;
    const bool loadNewer = record.loadSequence > info.loadSequence;
    const bool versionUp = record.configVersion > info.configVersion;
    if (newer) {
        info = record;
        known.requestFailures = 0;
    } else {
        info.state = std::max(info.state, record.state);
        if (loadNewer || (direct && record.loadSequence == info.loadSequence))
            info.load = record.load;
        info.loadSequence = std::max(info.loadSequence, record.loadSequence);
        info.configVersion = std::max(info.configVersion, record.configVersion);
    }
    if (stateChanged && info.state == member_state::Dead)
        known.removedAt = now;
    if (stateChanged || loadNewer)
        known.change = ++m_change;
    if (stateChanged)
        return table_change::State;
    return loadNewer ? table_change::Load : versionUp ? table_change::Minor : table_change::None;
}

table_change member_table::setState(const std::string& id, member_state state, base::time_point now)
{
    auto* known = find(id);
    if (!known || known->info.state == state)
        return table_change::None;
    known->info.state = state;
    known->change = ++m_change;
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

void member_table::forgetRemoved(base::time_point before)
{
    std::erase_if(m_members, [&](const auto& entry) {
        return entry.second.info.state == member_state::Dead && entry.second.removedAt < before;
    });
}

std::vector<std::string> member_table::domains() const
{
    std::set<std::string_view> names;
    for (const auto& [id, known] : m_members)
        names.insert(known.info.failureDomain);
    return { names.begin(), names.end() };
}

std::uint64_t member_table::hashOf(std::string_view domain) const
{
    std::uint64_t sum = 0;
    for (const auto& [id, known] : m_members) {
        if (known.info.failureDomain != domain || known.info.state == member_state::Dead)
            continue;
        const std::uint64_t seed
            = known.info.incarnation * 2 + (known.info.state == member_state::Leaving ? 1 : 0);
        sum += base::hash64(id, seed);
    }
    return sum;
}

std::vector<const tracked_member*> member_table::liveIn(std::string_view domain) const
{
    std::vector<const tracked_member*> out;
    for (const auto& [id, known] : m_members)
        if (known.info.failureDomain == domain && known.info.state < member_state::Leaving)
            out.push_back(&known);
    return out;
}

std::vector<std::string> member_table::delegatesOf(std::string_view domain) const
{
    std::vector<std::pair<std::uint64_t, std::string_view>> scored;
    for (const auto* known : liveIn(domain))
        if (known->info.state == member_state::Alive)
            scored.emplace_back(base::rendezvousScore(domain, known->info.id), known->info.id);
    std::sort(scored.begin(), scored.end());
    scored.resize(std::min(scored.size(), delegatesPerDomain));
    std::vector<std::string> out;
    for (const auto& [score, id] : scored)
        out.emplace_back(id);
    return out;
}

} // namespace marigold::control
