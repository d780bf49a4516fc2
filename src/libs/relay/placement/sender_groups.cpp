#include "sender_groups.h"

#include <algorithm>
#include <bit>

namespace marigold::relay {

namespace {

/// Seeds that keep the hashes for groups and for ranks independent of each other.
constexpr std::uint64_t groupSeed = 1;
constexpr std::uint64_t rankSeed = 2;

std::uint64_t score(std::uint64_t processHash, std::uint64_t key, std::uint64_t seed)
{
    const std::array<std::uint64_t, 2> values { processHash, key };
    return base::hash64({ reinterpret_cast<const char*>(values.data()), sizeof(values) }, seed);
}

} // namespace

sender_groups::sender_groups(options opts)
    : m_options(std::move(opts))
{
    setProcesses({});
}

sender_groups::membership sender_groups::choose(std::uint64_t processHash) const
{
    membership chosen {};
    std::array<std::uint64_t, groupsPerProcess> best {};
    for (std::size_t group = 0; group < m_groups; ++group) {
        const std::uint64_t value = score(processHash, group, groupSeed);
        if (group == 0 || value > best[0]) {
            chosen = { group, chosen[0] };
            best = { value, best[0] };
        } else if (group == 1 || value > best[1]) {
            chosen[1] = group;
            best[1] = value;
        }
    }
    return chosen;
}

void sender_groups::setProcesses(std::span<const std::string_view> processes)
{
    m_members.clear();
    m_members.emplace(m_options.process, membership {});
    for (const std::string_view process : processes)
        m_members.emplace(process, membership {});
    const std::size_t wanted
        = groupsPerProcess * m_members.size() / std::max<std::size_t>(m_options.minProcesses, 1);
    // With as many groups as a process may join, all processes would be in all groups.
    m_groups = wanted <= groupsPerProcess ? 1 : std::bit_floor(wanted);
    for (auto& [process, member] : m_members)
        member = choose(base::hash64(process));
    listMembers();
}

void sender_groups::listMembers()
{
    m_lists.clear();
    for (std::size_t groups = m_groups; groups > 0; groups /= 2) {
        auto& lists = m_lists[groups];
        lists.resize(groups);
        for (const auto& [process, member] : m_members)
            for (std::size_t group = 0; group < groups; ++group)
                if (contains(member, group, groups))
                    lists[group].push_back(base::hash64(process));
    }
}

std::size_t sender_groups::groupCount(std::size_t targets) const
{
    const std::size_t most = targets / std::max<std::size_t>(m_options.minTargets, 1);
    const std::size_t groups = std::min(m_groups, std::bit_floor(most));
    return groups <= groupsPerProcess ? 1 : groups;
}

std::size_t sender_groups::groupOf(std::uint64_t targetHash, std::size_t groups)
{
    return static_cast<std::size_t>(targetHash & (groups - 1));
}

bool sender_groups::contains(const membership& member, std::size_t group, std::size_t groups)
{
    // Fewer groups result from merging those whose numbers are equal in the lower bits.
    return std::ranges::any_of(member, [&](std::size_t own) { return (own & (groups - 1)) == group; });
}

bool sender_groups::isMember(std::size_t group, std::size_t groups) const
{
    return isMember(m_options.process, group, groups);
}

bool sender_groups::isMember(std::string_view process, std::size_t group, std::size_t groups) const
{
    const auto found = m_members.find(process);
    return found != m_members.end() && contains(found->second, group, groups);
}

bool sender_groups::sharesGroupWith(std::string_view process) const
{
    const auto found = m_members.find(process);
    if (found == m_members.end())
        return false;
    return std::ranges::any_of(found->second, [&](std::size_t group) { return isMember(group, m_groups); });
}

std::size_t sender_groups::memberCount(std::size_t group, std::size_t groups) const
{
    return m_lists.at(groups).at(group).size();
}

std::size_t sender_groups::rankOf(std::uint64_t key, std::size_t group, std::size_t groups) const
{
    const std::uint64_t own = score(base::hash64(m_options.process), key, rankSeed);
    return static_cast<std::size_t>(std::ranges::count_if(m_lists.at(groups).at(group),
        [&](std::uint64_t processHash) { return score(processHash, key, rankSeed) > own; }));
}

} // namespace marigold::relay
