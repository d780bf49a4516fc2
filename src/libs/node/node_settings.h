#pragma once

#include <settings/settings.h>

namespace marigold::node {

/// Settings common to all processes of the fleet.
struct node_settings {
    settings::process_settings process;
    settings::cluster_settings cluster;
    settings::kv_settings kv;
    settings::tls_settings tls;
    settings::memory_settings memory;

    void registerSettings(settings::settings_reader& reader);

    /// Returns the member id of the process in the fleet, `ADDRESS:PORT`.
    std::string memberId() const;
};

} // namespace marigold::node
