#pragma once

#include "config_document.h"
#include "membership.h"

namespace marigold::control {

/// State of a target during a rolling swap of its model, from the view of one agent.
struct rollout_target {
    std::string id;
    bool inService = true; ///< Its failure domain is in service and it is not drained.
    bool available = true; ///< Its agent is alive and admits runs.
    bool done = false; ///< It serves the wanted version and its ramp is complete.
};

/// Returns true if the target \a self may swap weights now. Each agent evaluates this for its own target.
///
/// The targets in service are ordered by rendezvous score, highest first. Among those that are not done, the
/// first n - floor may swap at the same time, less one for each other target that is not available. Done is
/// final for a version, so that an agent with a stale table sees more targets ahead of its own and waits:
/// agents with different views together never swap more targets than the floor allows. \a targets must
/// contain \a self.
bool maySwapNow(const std::string& self, const std::string& model, const std::vector<rollout_target>& targets,
    double capacityFloor);

/// Evaluates `maySwapNow` from configuration and member table.
class rollout {
public:
    struct options {
        std::uint8_t fullRampStep = 4; ///< Step of the cold ramp at which a target counts as done.
        /// Time between a change of the wanted version and the first swap. It covers the propagation of the
        /// change and the swaps to the previous version that are still in progress.
        base::duration settleTime = std::chrono::seconds(5);
    };

    rollout(const base::clock& time, options opts)
        : m_clock(time)
        , m_options(opts)
    {
    }

    /// Returns true if the engine of target \a self may load the wanted version now.
    bool maySwap(const config_content& content, const std::string& self, const membership& members);

    /// Returns the state of the targets of \a model according to the member table.
    std::vector<rollout_target> targetsOf(
        const config_content& content, const std::string& model, const membership& members) const;

private:
    const base::clock& m_clock;
    options m_options;
    std::string m_wanted; ///< Wanted version at the last call.
    base::time_point m_wantedSince {};
};

} // namespace marigold::control
