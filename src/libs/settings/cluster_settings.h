#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::settings {

class settings_reader;

/// How a process finds and authenticates its peers; section `cluster`.
struct cluster_settings {
    std::vector<std::string> seedPeers = {}; ///< IP:PORT of the membership protocol.
    std::string vmList = {}; ///< http://IP:PORT of the platform's VM list; not read when empty.
    std::string messageKey = {}; ///< ID:SECRET; signs and verifies. Required.
    std::string previousMessageKey = {}; ///< ID:SECRET; verifies only, while the key is rotated.

    void registerSettings(settings_reader& reader);
};

} // namespace marigold::settings
