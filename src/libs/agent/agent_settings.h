#pragma once

#include <control/control.h>
#include <node/node.h>
#include <settings/settings.h>

#include <string>

namespace marigold::agent {

/// Settings of the process beside a target; sections `agent` and `store` besides those of every process.
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
    std::int64_t memoryBytes = 64 << 20; ///< Memory tier of a store.
    std::int64_t diskBytes = 256 << 20; ///< Disk tier of a store.
    double linkBytesPerSecond = 200e6; ///< First assumption about the link of a store.

    void registerSettings(settings::settings_reader& reader);

    /// Registers the settings of these sections alone, for the reference.
    void registerOwnSettings(settings::settings_reader& reader);
};

} // namespace marigold::agent
