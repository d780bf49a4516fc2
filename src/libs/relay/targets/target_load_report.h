#pragma once

#include <optional>

namespace marigold::relay {

/// What a target reports of its load with an answer. The values are in range but may be false.
struct target_load_report {
    int running = 0;
    int waiting = 0;
    int slots = 1;
    /// How long work currently takes on the target's machine, in percent of the usual time.
    std::optional<int> pace = {};

    bool operator==(const target_load_report&) const = default;
};

} // namespace marigold::relay
