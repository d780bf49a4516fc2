#pragma once

#include <base/clock.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::relay {

/// Request of an operator to move a service to another version of its software.
struct rollout_request {
    std::string service;
    std::string to = {}; ///< Version; empty if the request has been removed.
    base::duration limit { 0 }; ///< Time from the request within which it must be decided.
    std::uint64_t revision = 0; ///< Of the platform's store; identifies the request.
};

enum class rollout_state { Running, Completed, RolledBack };

/// Returns the snake-case name of \a state.
std::string_view nameOf(rollout_state state);

/// State of a roll-out as the relays have published it.
struct rollout_status {
    std::string service;
    rollout_state state = rollout_state::Running;
    std::string to = {}; ///< Version; empty if the entry has been removed.
    std::uint64_t revision = 0; ///< Of the platform's store; 0 if absent.
};

} // namespace marigold::relay
