#pragma once

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::control {

enum class member_kind : std::uint8_t {
    Entry,
    Agent,
};

/// State of a member. Within one incarnation a later value overrides an earlier one.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Answered no probe; removed after the suspicion timeout.
    Unreachable, ///< Suspect, but kept, since a network partition is the likelier cause.
    Leaving, ///< Stops in an orderly way and takes no new work.
    Dead, ///< Removed.
};

/// Returns the lower-case name of \a state.
std::string_view nameOf(member_state state);

/// Load of a target as far as other processes need it for their choice.
struct load_summary {
    std::uint16_t running = 0; ///< Runs in progress.
    std::uint16_t queued = 0;
    std::uint16_t bound = 0; ///< Runs that the agent admits at once; 0 while none.
    std::uint8_t rampStep = 0; ///< Step of the cold ramp.
    std::uint16_t weights = 0; ///< `weightTag` of the weight version that new runs use.

    bool operator==(const load_summary&) const = default;
};

/// Returns a short tag of a weight version, never 0; a swap compares it for equality with the wanted one's.
std::uint16_t weightTag(std::string_view version);

/// Returns the class of \a load. Only a change of class is spread, so that ordinary variation costs nothing.
int loadClass(const load_summary& load);

/// One process of the fleet as the others know it.
struct member {
    std::string id; ///< IP number and port: UDP for membership, TCP of the same number for the rest.
    std::string failureDomain;
    std::string region;
    member_kind kind = member_kind::Agent;
    std::uint64_t incarnation = 0; ///< Start time in microseconds plus a counter.
    member_state state = member_state::Alive;
    std::uint64_t configVersion = 0;
    load_summary load;
    std::uint32_t loadSequence
        = 0; ///< Number of the load within the incarnation; old gossip is recognised by it.
};

/// Returns the IP number in a member's id.
std::string_view ipOf(std::string_view id);

} // namespace marigold::control
