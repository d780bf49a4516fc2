#pragma once

#include "settings_reader.h"

#include <chrono>
#include <cstddef>

namespace marigold::settings {

/// Settings of what callers and targets may make a process hold; section `memory`.
struct memory_settings {
    double machineMb = 0; ///< 0 for the memory of the machine as the system reports it.
    double budgetMb = 0; ///< 0 for half of what the program leaves of it.
    double descriptors = 0; ///< 0 for the limit of the system.
    double reservedDescriptors = 200;
    std::chrono::milliseconds stallTime { 500 };

    void registerSettings(settings_reader& reader);

    /// Returns the memory of the machine in bytes.
    std::size_t machineBytes() const;

    /// Returns the bytes that the process may hold for callers and targets. By default, this is half of what
    /// the program leaves of the machine's memory at its start; the other half is for what it knows of the
    /// fleet and for what the allocator cannot use.
    std::size_t budgetBytes() const;

    /// Returns the descriptors that the process may have open. Raises the soft limit of the system for them
    /// as far as its hard limit allows.
    std::size_t openableDescriptors() const;

    /// Returns how many of \a descriptors are for sockets.
    std::size_t sockets(std::size_t descriptors) const;
};

} // namespace marigold::settings
