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

/// State of a member. Within one incarnation, a later value overrides an earlier one.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Responded neither to direct nor to indirect probes; removed after the suspicion timeout.
    Unreachable, ///< Suspect, but kept, since a network partition is more likely.
    Leaving, ///< Shuts down in an orderly way and accepts no new work.
    Dead, ///< Removed.
};

/// Returns the lower-case name of \a state.
std::string_view nameOf(member_state state);

/// Load of a target, as needed by other processes to choose a target.
struct load_summary {
    std::uint16_t running = 0; ///< Runs in progress.
    std::uint16_t queued = 0;
    std::uint16_t bound = 0; ///< Concurrent runs that the agent admits; 0 if it admits none.
    std::uint8_t rampStep = 0; ///< Step of the cold ramp.
    std::uint16_t weightTag = 0; ///< `weightTag` of the weight version that new runs use.

    bool operator==(const load_summary&) const = default;
};

/// Returns a short tag of a weight version, never 0. A rolling swap compares it with the tag of the wanted
/// version.
std::uint16_t weightTag(std::string_view version);

/// Returns the class of \a load. Only a change of class is announced, so that ordinary variation causes no
/// traffic.
int loadClass(const load_summary& load);

/// Membership record of a process.
struct member {
    std::string id; ///< IP address and port: UDP for membership, TCP on the same port for the rest.
    std::string failureDomain;
    std::string region;
    member_kind kind = member_kind::Agent;
    std::uint64_t incarnation = 0; ///< Start time in microseconds plus a counter.
    member_state state = member_state::Alive;
    std::uint64_t configVersion = 0;
    load_summary load;
    std::uint32_t loadSequence = 0; ///< Number of the load within the incarnation; identifies stale gossip.
};

/// Returns the IP address in a member's id.
std::string_view ipOf(std::string_view id);

} // namespace marigold::control
