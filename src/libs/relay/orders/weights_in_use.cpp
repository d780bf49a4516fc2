#include "weights_in_use.h"

#include <algorithm>

namespace marigold::relay {

void weights_in_use::raise(std::string_view model, int version)
{
    int& oldest = m_own[base::hash64(model)];
    oldest = std::max(oldest, version);
}

int weights_in_use::oldest(std::string_view model) const
{
    const auto found = m_own.find(base::hash64(model));
    return found == m_own.end() ? 0 : found->second;
}

void weights_in_use::reported(const std::string& process, const std::map<std::uint64_t, int>& versions)
{
    m_reports[process] = versions;
}

int weights_in_use::reportOf(std::string_view process, std::string_view model) const
{
    const auto report = m_reports.find(process);
    if (report == m_reports.end())
        return 0;
    const auto found = report->second.find(base::hash64(model));
    return found == report->second.end() ? 0 : found->second;
}

void weights_in_use::setProcesses(std::vector<std::string> processes)
{
    const base::time_point now = m_clock.now();
    for (std::string& process : m_processes)
        m_lapsed.insert_or_assign(std::move(process), now);
    m_processes = std::move(processes);
    std::erase_if(m_lapsed, [&](const auto& entry) {
        return now - entry.second >= lapseGrace
            || std::ranges::find(m_processes, entry.first) != m_processes.end();
    });
    std::erase_if(m_reports, [&](const auto& entry) {
        return !m_lapsed.contains(entry.first)
            && std::ranges::find(m_processes, entry.first) == m_processes.end();
    });
}

int weights_in_use::oldestOfAll(std::string_view model) const
{
    int oldest = this->oldest(model);
    for (const std::string& process : m_processes)
        oldest = std::min(oldest, reportOf(process, model));
    for (const auto& [process, since] : m_lapsed)
        if (m_clock.now() - since < lapseGrace)
            oldest = std::min(oldest, reportOf(process, model));
    return oldest;
}

} // namespace marigold::relay
