#pragma once

#include <base/base.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace marigold::settings {

class settings_reader;

/// Identity, addresses, logging and shutdown of a process; section `process`.
struct process_settings {
    std::string id = {}; ///< Unique in the fleet; required.
    std::string failureDomain = {}; ///< Required.
    std::string region = {}; ///< Required.
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 8080;
    std::string advertisedAddress = {}; ///< `listenAddress` if empty.
    base::log_level logLevel = base::log_level::Info;
    base::log_format logFormat = base::log_format::KeyValue;
    std::chrono::milliseconds shutdownLimit { 30'000 };

    void registerSettings(settings_reader& reader);

    /// Returns the address that other processes connect to.
    const std::string& peerAddress() const
    {
        return advertisedAddress.empty() ? listenAddress : advertisedAddress;
    }

    /// Returns the options for the event log of the process.
    base::event_log::options logOptions() const
    {
        return { .minimum = logLevel, .format = logFormat, .process = id };
    }
};

} // namespace marigold::settings
