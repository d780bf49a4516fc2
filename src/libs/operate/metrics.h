#pragma once

#include "team_labels.h"

#include <base/base.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::operate {

enum class link_tier {
    Engine,
    Memory,
    Disk,
};

enum class byte_direction {
    Sent,
    Received,
};

enum class control_channel {
    Membership,
    Configuration,
    Admin,
};

enum class kv_operation {
    Get,
    Put,
    Remove,
    Range,
    Lease,
    Watch,
};

enum class retry_kind {
    Retry, ///< Another attempt was made.
    Hedge, ///< A second attempt was started while the first one ran.
    Denied, ///< The retry budget did not permit another attempt.
};

std::string_view nameOf(link_tier tier);
std::string_view nameOf(byte_direction direction);
std::string_view nameOf(control_channel channel);
std::string_view nameOf(kv_operation operation);
std::string_view nameOf(retry_kind kind);

/// State of the ramp that limits a cold target.
struct ramp_state {
    int step = 0; ///< Current step, from 0.
    int steps = 0; ///< Number of steps; `step == steps` means warm.
    int limit = 0; ///< Requests in flight permitted by the step.
};

/// The metrics of one process, with fixed names. Label values are enumerators, except for team names, whose
/// number `team_labels` limits. The volume of a team is its prompt tokens plus one for each other count.
///
/// The time series of a team end when it loses its label, so sums over teams must be computed from rates.
class metrics {
public:
    explicit metrics(const base::clock& time, team_labels::options teams = {});
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Records the time from the arrival of a request to its first token.
    void timeToFirstToken(std::string_view team, base::duration elapsed);

    /// Records the time between two tokens of one answer.
    void interTokenTime(base::duration elapsed);

    /// Counts the tokens of a prompt and how many of them were recomputed.
    void promptTokens(std::string_view team, std::uint64_t total, std::uint64_t recomputed);

    /// Counts bytes transferred over the link to \a tier.
    void linkBytes(link_tier tier, byte_direction direction, std::uint64_t bytes);

    /// Counts a finished request; \a reason is empty if it succeeded.
    void outcome(base::verdict verdict, std::optional<base::error_reason> reason);

    void retry(retry_kind kind);

    /// Counts a request of \a team that was refused to limit the load.
    void shed(std::string_view team);

    void rampState(const ramp_state& state);

    /// Sets the version of the configuration in force.
    void configurationVersion(std::uint64_t version);

    /// Counts bytes of control plane messages.
    void controlBytes(control_channel channel, byte_direction direction, std::uint64_t bytes);

    /// Counts a call to the key-value service; \a reason is empty if it succeeded.
    void kvCall(kv_operation operation, std::optional<base::error_reason> reason);

    /// Counts a request refused or a connection closed for lack of memory or descriptors.
    void limited(std::string_view reason);

    /// Sets the memory that clients make the process hold, by kind.
    void heldBytes(std::string_view kind, std::uint64_t bytes);

    /// Returns all metrics in the Prometheus text format 0.0.4.
    std::string exposition();

private:
    struct families;

    std::string teamLabel(std::string_view team, std::uint64_t volume = 1);

    team_labels m_labels;
    std::unique_ptr<families> m_families;
};

} // namespace marigold::operate
