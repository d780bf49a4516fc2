#pragma once

#include <control/control.h>
#include <node/node.h>
#include <settings/settings.h>

#include <string>

namespace marigold::agent {

/// Settings of an agent: sections `agent` and `store` and the settings common to all processes.
struct agent_settings {
    node::node_settings node;
    control::target_kind kind = control::target_kind::Engine;
    std::string target = {}; ///< `http://ADDRESS:PORT` of the engine or service.
    std::string weightStore = {}; ///< Name of the weight store in the configuration.
    std::int32_t slots = 8; ///< Concurrent runs of a warm target.
    std::int32_t firstSlots = 2; ///< Concurrent runs of a cold target.
    std::int32_t queueCapacity = 64;
    double prefillTokensPerSecond = 100'000;
    base::duration tokenTime = std::chrono::milliseconds(10);
    std::int64_t memoryBytes = 64 << 20; ///< Capacity of the memory tier of a store.
    std::int64_t diskBytes = 256 << 20; ///< Capacity of the disk tier of a store.
    double linkBytesPerSecond = 200e6; ///< Assumed bandwidth of the link of a store until it is measured.

    void registerSettings(settings::settings_reader& reader);

    /// Registers only the settings of these sections, for the settings reference.
    void registerOwnSettings(settings::settings_reader& reader);
};

} // namespace marigold::agent
