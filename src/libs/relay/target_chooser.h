#pragma once

#include "target_registry.h"

#include <span>
#include <string_view>

namespace marigold::relay {

/// What matters of a request for the choice of its target.
struct placement_request {
    std::string_view service = {};
    std::string_view model = {}; ///< Empty for a plain service.
    int promptTokens = 0;
    target_load work = {}; ///< That the request brings to its target.
    int sharedTokens = 0; ///< Of the parts that later prompts share.
    std::string_view sharedPart = {}; ///< Id of the last shared part; attracts its prompts to one target.
    int keptTokens = 0; ///< Of the shared parts that a store holds.
    base::duration transferTime { 0 }; ///< To move them.
    std::span<const routing::target_index> tried = {};
};

/// Newest weights that the operator named for a model.
struct named_version {
    int version = 0;
    base::time_point since {}; ///< When this process learned of it.
};

enum class placement_outcome {
    Chosen,
    Busy, ///< Every target has its share for the moment; a place comes within a second.
    ContextBusy, ///< The stores of its context have enough transfers under way; it may wait for them.
    NoTarget, ///< No target serves this now.
};

struct placement {
    placement_outcome outcome = placement_outcome::NoTarget;
    target_record* target = nullptr;
    double firstTokenSeconds = 0; ///< Expected.
};

/// Chooses the target of a request by expected cost, within the bounds on the intake of each target.
class target_chooser {
public:
    struct options {
        /// Once this share of a service's targets has the newest weights, only these are chosen.
        double newWeightsShare = 0.5;
        /// Requests that begin on older weights after this time from the naming are a broken promise.
        base::duration versionLimit = std::chrono::seconds(6);
        /// Share of that time after which none is sent to older weights: it may wait at its target for
        /// seconds before it begins.
        double oldWeightsShare = 0.5;
    };

    target_chooser(const base::clock& time, target_registry& targets, options opts);

    placement choose(const placement_request& request);

    /// Records that \a version of \a model was named.
    void setNamedVersion(std::string_view model, int version);

    const std::map<std::string, named_version, std::less<>>& namedVersions() const { return m_named; }

private:
    base::duration oldWeightsLimit() const;
    std::string requiredVersion(const placement_request& request) const;

    const base::clock& m_clock;
    target_registry& m_targets;
    options m_options;
    std::map<std::string, named_version, std::less<>> m_named;
};

} // namespace marigold::relay
