#pragma once

#include "config_document.h"
#include "membership.h"

namespace marigold::control {

/// What one agent knows of a target of the model whose weights are swapped.
struct rollout_target {
    std::string id;
    bool inService = true; ///< Its failure domain is in service and it is not drained.
    bool available = true; ///< Its agent is alive and admits runs.
    bool done = false; ///< It serves the wanted version at the full step of its ramp.
};

/// Rule by which each agent decides whether its own target swaps weights now.
///
/// The targets in service are ordered by rendezvous hash. Among those that are not done, the first n - floor
/// may swap at once, less one for each other target that is not available. Done is final for a version, so
/// that an agent with an old table sees more targets before its own and waits: no two views together let more
/// swap than the floor allows. \a targets has to contain \a self.
bool maySwapNow(const std::string& self, const std::string& model, const std::vector<rollout_target>& targets,
    double floor);

/// Evaluates that rule from configuration and member table.
class rollout {
public:
    struct options {
        std::uint8_t fullRampStep = 4; ///< Step of the cold ramp at which a target counts as done.
        /// Time after a change of the wanted version before the first swap: it covers the spread of the
        /// change and the swaps towards the former version that are still in progress.
        base::duration settle = std::chrono::seconds(5);
    };

    rollout(const base::clock& time, options opts)
        : m_clock(time)
        , m_options(opts)
    {
    }

    /// Says whether the engine of target \a self shall load the wanted version now.
    bool maySwap(const config_content& content, const std::string& self, const membership& members);

    /// Returns the targets of \a model as the member table shows them.
    std::vector<rollout_target> targetsOf(
        const config_content& content, const std::string& model, const membership& members) const;

private:
    const base::clock& m_clock;
    options m_options;
    std::string m_wanted; ///< Wanted version that was seen last.
    base::time_point m_since {};
};

} // namespace marigold::control
