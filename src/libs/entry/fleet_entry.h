#pragma once

#include "admin_api.h"
#include "caller_api.h"
#include "entry_services.h"
#include "entry_settings.h"

#include <memory>
#include <string>

namespace marigold::entry {

/// The entry process: accepts requests from callers and forwards them to targets.
class fleet_entry {
public:
    fleet_entry(entry_settings settings, std::string version);

    /// Binds both ports and joins the fleet.
    base::result<void> start();

    /// Runs until the shutdown is complete; returns the exit code.
    int run() { return m_node.run(); }

private:
    void addPublicRoutes();
    void configChanged(const control::config_content& content);
    void updateBound();

    std::pair<std::uint64_t, int> m_limitsBasis { 0,
        0 }; ///< Configuration version and number of entries from which the team limits were computed.
    entry_settings m_settings;
    node::fleet_node m_node;
    entry_services m_services { m_node, m_settings };
    caller_api m_callers { m_services };
    admin_api m_admin { m_services };
    node::http_router m_router;
    net::http_server m_server;
};

} // namespace marigold::entry
