#include "retry_budgets.h"

#include <algorithm>

namespace marigold::relay {

retry_budgets::retry_budgets(options opts)
    : m_options(opts)
{
}

int retry_budgets::capacity() const
{
    // Reserves a share for one more process than is known, since a partitioned one may still be sending.
    return std::max(1, static_cast<int>(m_options.usedShare * m_options.slack / (m_processes + 1)));
}

void retry_budgets::setProcesses(int processes)
{
    m_processes = std::max(processes, 1);
    for (auto& [service, budget] : m_budgets)
        budget.setCapacity(capacity());
}

routing::retry_budget& retry_budgets::budgetFor(std::string_view service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    constexpr double percent = 100;
    const routing::retry_budget budget(
        { .percent = static_cast<int>(m_options.share * m_options.usedShare * percent),
            .initial = capacity(),
            .capacity = capacity(),
            .reservedForRetries = 0 });
    return m_budgets.emplace(std::string(service), budget).first->second;
}

} // namespace marigold::relay
