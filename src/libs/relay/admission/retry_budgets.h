#pragma once

#include <routing/routing.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Holds the retry budget of each service: this process's share of the retries that all processes may make.
class retry_budgets {
public:
    struct options {
        std::string process = {};
        double share = 0.2; ///< Share of a service's requests that may be retried.
        /// Retries beyond that share that all processes together may make within the budget window.
        double slack = 50;
        /// Share of both limits that is used. The rest covers requests and processes that are counted
        /// differently.
        double usedShare = 0.75;
    };

    explicit retry_budgets(options opts);

    /// Sets the registered processes by id, which divide the slack among them.
    void setProcesses(std::span<const std::string_view> processes);

    routing::retry_budget& budgetFor(std::string_view service);

private:
    int initial(std::string_view service) const;
    int capacity(std::string_view service) const;

    options m_options;
    std::vector<std::string> m_others; ///< Ids of the other registered processes.
    std::map<std::string, routing::retry_budget, std::less<>> m_budgets;
};

} // namespace marigold::relay
