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

} // namespace marigold::relay
