#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::settings {

class settings_reader;

/// Settings for finding and authenticating peers; section `cluster`.
struct cluster_settings {
    std::vector<std::string> seedPeers = {}; ///< Membership endpoints, IP:PORT.
    std::string vmList = {}; ///< http://IP:PORT of the platform's VM list; not read if empty.
    std::string messageKey = {}; ///< ID:SECRET; for signing and verification. Required.
    std::string previousMessageKey = {}; ///< ID:SECRET; for verification only, during key rotation.

    void registerSettings(settings_reader& reader);
};

} // namespace marigold::settings
