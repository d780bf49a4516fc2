#include "retry_budgets.h"

#include "send_rate_limiter.h"

#include <base/digest.h>

#include <algorithm>

namespace marigold::relay {

retry_budgets::retry_budgets(options opts)
    : m_options(opts)
{
}

int retry_budgets::initial(std::string_view service) const
{
    const std::uint64_t own = base::rendezvousScore(service, m_options.process);
    const auto rank = std::ranges::count_if(
        m_others, [&](const std::string& other) { return base::rendezvousScore(service, other) > own; });
    const bounded_share share { .bound = m_options.slack,
        .usedShare = m_options.usedShare,
        .processes = m_others.size() + 1,
        .rank = static_cast<std::size_t>(rank) };
    constexpr double most = 1'000'000; // More retries than any service gets within the budget window.
    return static_cast<int>(std::min(share.value(), most));
}

int retry_budgets::capacity(std::string_view service) const
{
    // A process without a part of the slack may still save what its requests have earned.
    return std::max(1, initial(service));
}

void retry_budgets::setProcesses(std::span<const std::string_view> processes)
{
    m_others.assign(processes.begin(), processes.end());
    std::erase(m_others, m_options.process);
    for (auto& [service, budget] : m_budgets)
        budget.setCapacity(capacity(service));
}

routing::retry_budget& retry_budgets::budgetFor(std::string_view service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    constexpr double percent = 100;
    const double share = std::min(m_options.share, 1.0);
    const routing::retry_budget budget({ .percent = static_cast<int>(share * m_options.usedShare * percent),
        .initial = initial(service),
        .capacity = capacity(service),
        .reservedForRetries = 0 });
    return m_budgets.emplace(std::string(service), budget).first->second;
}

} // namespace marigold::relay
