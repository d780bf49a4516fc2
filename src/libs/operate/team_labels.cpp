#include "team_labels.h"

#include <algorithm>

namespace marigold::operate {

namespace {

// A team below this volume, which is less than one request in the last refresh intervals, is dropped. A named
// team retains its label until another team needs it.
constexpr double idleVolume = 0.5;

} // namespace

team_labels::team_labels(options opts, const base::clock& time)
    : m_options(opts)
    , m_clock(time)
    , m_lastRefresh(time.now())
{
}

std::string_view team_labels::label(std::string_view team, std::uint64_t volume)
{
    if (team.empty() || team == otherLabel)
        return otherLabel;
    auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        if (m_teams.size() >= m_options.tracked)
            return otherLabel;
        const bool named = m_named < m_options.named;
        m_named += named ? 1 : 0;
        found = m_teams.emplace(std::string(team), team_volume { .volume = 0, .named = named }).first;
    }
    found->second.volume += static_cast<double>(volume);
    return found->second.named ? std::string_view(found->first) : otherLabel;
}

std::vector<std::string> team_labels::refresh()
{
    if (m_clock.now() - m_lastRefresh < m_options.refreshInterval)
        return {};
    m_lastRefresh = m_clock.now();
    std::vector<std::string> lost = replaceSmallTeams();
    for (auto& [name, team] : m_teams)
        team.volume /= 2;
    dropIdleTeams();
    return lost;
}

std::vector<std::string> team_labels::replaceSmallTeams()
{
    std::vector<table::iterator> named;
    std::vector<table::iterator> others;
    for (auto it = m_teams.begin(); it != m_teams.end(); ++it)
        (it->second.named ? named : others).push_back(it);
    const auto larger = [](const auto& a, const auto& b) { return a->second.volume > b->second.volume; };
    std::sort(others.begin(), others.end(), larger);
    std::sort(named.begin(), named.end(), [&](const auto& a, const auto& b) { return larger(b, a); });
    std::vector<std::string> lost;
    for (std::size_t i = 0; i < others.size(); ++i) {
        team_volume& candidate = others[i]->second;
        if (m_named < m_options.named) {
            candidate.named = true;
            ++m_named;
            continue;
        }
        // A volume equal to the limit does not suffice, so that a team without volume does not replace a
        // smallest team with volume 0.
        if (lost.size() >= named.size()
            || candidate.volume <= named[lost.size()]->second.volume * m_options.replaceFactor)
            break;
        auto& smallest = named[lost.size()];
        smallest->second.named = false;
        candidate.named = true;
        lost.push_back(smallest->first);
    }
    return lost;
}

void team_labels::dropIdleTeams()
{
    std::erase_if(
        m_teams, [](const auto& entry) { return !entry.second.named && entry.second.volume < idleVolume; });
}

} // namespace marigold::operate
