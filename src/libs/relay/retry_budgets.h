#pragma once

#include <routing/routing.h>

#include <map>
#include <string>
#include <string_view>

namespace marigold::relay {

/// The retry budget of each service, as a share of what all processes together may send once more.
class retry_budgets {
public:
    struct options {
        double share = 0.2; ///< Of the requests of a service that may be sent once more.
        int slack = 50; ///< Sends beyond that share within the window, of all processes.
        /// Part of both that is used; the rest covers requests and processes that are counted differently.
        double usedPart = 0.75;
    };

    explicit retry_budgets(options opts);

    /// Takes the number of processes that share the slack.
    void setProcesses(int processes);

    routing::retry_budget& of(std::string_view service);

private:
    int capacity() const;

    options m_options;
    int m_processes = 1;
    std::map<std::string, routing::retry_budget, std::less<>> m_budgets;
};

} // namespace marigold::relay
