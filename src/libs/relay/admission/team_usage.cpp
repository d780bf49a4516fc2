#include "team_usage.h"

#include <base/digest.h>

#include <algorithm>

namespace marigold::relay {

namespace {

/// Less capacity time within the window, in ms, is forgotten.
constexpr double negligible = 0.01;

} // namespace

team_usage::team_usage(options opts)
    : m_options(opts)
{
}

std::uint32_t team_usage::idOf(std::string_view service, std::string_view team)
{
    return static_cast<std::uint32_t>(base::hash64(team, base::hash64(service)));
}

void team_usage::charge(
    std::string_view service, std::string_view team, double weight, double cost, base::time_point now)
{
    const auto [known, isNew] = m_teams.try_emplace(idOf(service, team),
        record { .service = std::string(service),
            .team = std::string(team),
            .own = decayed_sum(m_options.window) });
    known->second.weight = weight;
    known->second.own.add(cost, now);
}

double team_usage::usedByWeight(
    std::string_view service, std::string_view team, double weight, base::time_point now) const
{
    const std::uint32_t id = idOf(service, team);
    const auto own = m_teams.find(id);
    const auto peers = m_peerSums.find(id);
    const double used = (own == m_teams.end() ? 0 : own->second.own.value(now))
        + (peers == m_peerSums.end() ? 0 : std::max(peers->second.value(now), 0.0));
    return used / weight;
}

std::vector<team_usage::entry> team_usage::own(
    base::time_point now, const std::function<bool(std::string_view service)>& isWanted) const
{
    std::vector<entry> entries;
    for (const auto& [id, team] : m_teams)
        if (isWanted(team.service))
            entries.push_back({ .id = id, .used = team.own.value(now) });
    std::ranges::sort(entries, std::greater<> {}, &entry::used);
    return entries;
}

void team_usage::addPeer(const peer_report& report, double sign, base::time_point now)
{
    for (const entry& item : report.entries) {
        // A report counts from its arrival and decays like the sums.
        decayed_sum reported(m_options.window);
        reported.add(item.used, report.at);
        m_peerSums.try_emplace(item.id, m_options.window).first->second.add(sign * reported.value(now), now);
    }
}

void team_usage::setPeer(std::string_view process, std::vector<entry> entries, base::time_point now)
{
    peer_report& report = m_peers[std::string(process)];
    addPeer(report, -1, now);
    report = { .at = now, .entries = std::move(entries) };
    addPeer(report, 1, now);
}

void team_usage::removeExpired(base::time_point now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.at <= m_options.peerTimeout) {
            ++peer;
            continue;
        }
        addPeer(peer->second, -1, now);
        peer = m_peers.erase(peer);
    }
    std::erase_if(m_peerSums, [&](const auto& sum) { return sum.second.value(now) < negligible; });
    std::erase_if(m_teams, [&](const auto& team) { return team.second.own.value(now) < negligible; });
}

std::vector<team_usage::share> team_usage::shares(base::time_point now) const
{
    std::vector<share> list;
    for (const auto& [id, team] : m_teams)
        list.push_back({ .service = team.service,
            .team = team.team,
            .weight = team.weight,
            .own = team.own.value(now),
            .all = usedByWeight(team.service, team.team, team.weight, now) * team.weight });
    std::ranges::sort(list, [](const share& a, const share& b) {
        return std::pair(std::string_view(a.service), -a.all)
            < std::pair(std::string_view(b.service), -b.all);
    });
    return list;
}

} // namespace marigold::relay
