#pragma once

#include <node/node.h>
#include <settings/settings.h>

#include <string>

namespace marigold::entry {

/// Settings of an entry: section `entry` and the settings common to all processes.
struct entry_settings {
    node::node_settings node;
    std::string publicAddress = "127.0.0.1";
    std::uint16_t publicPort = 8000; ///< For callers and operators; `process.listen_port` is for the fleet.
    std::string firstConfigFile = {}; ///< JSON document proposed if the configuration log is empty.
    std::int64_t maxBodyBytes = 8 << 20;
    std::int32_t blockBytes = 4096; ///< Prompt bytes of one cached block; must be equal in the whole fleet.
    std::int64_t hintBytes = 16 << 20;
    base::duration defaultDeadline = std::chrono::seconds(60);
    std::int32_t queueCapacity = 10'000;
    double linkBytesPerSecond = 200e6; ///< Assumed bandwidth of the link of a store, used to estimate the
                                       ///< transfer time if the lookup reply of the store contains none.
    std::int64_t blockContentBytes = 16384; ///< Assumed size of a cached block, for the same estimate.

    void registerSettings(settings::settings_reader& reader);

    /// Registers only the settings of these sections, for the settings reference.
    void registerOwnSettings(settings::settings_reader& reader);
};

} // namespace marigold::entry
