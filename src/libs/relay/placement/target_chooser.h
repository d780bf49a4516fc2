#pragma once

#include <relay/orders/weights_changeover.h>
#include <relay/targets/target_registry.h>

#include <span>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Properties of a request that the choice of its target depends on.
struct placement_request {
    std::string_view service = {};
    std::string_view model = {}; ///< Empty for a plain service.
    int promptTokens = 0;
    target_load work = {}; ///< Load that the request adds to its target.
    int sharedTokens = 0; ///< Tokens of the parts that later prompts share.
    /// Id of the last shared part; prompts with the same part are preferably sent to the same target.
    std::string_view sharedPart = {};
    int cachedTokens = 0; ///< Tokens of the shared parts that a context store holds.
    base::duration transferTime { 0 }; ///< Time to fetch the cached tokens.
    int outputTokens = 0; ///< Most tokens that the answer may have.
    std::span<const routing::target_index> triedTargets = {};
    /// Software version of the target while a roll-out runs.
    version_lane lane = version_lane::Usual;
};

/// What a process knows of the time at which a weight version was named.
enum class named_at {
    Now,
    Unknown, ///< It was named before the start of the process.
};

/// A weight version that the operator wants for a model.
struct wanted_version {
    int version = 0;
    base::time_point since {}; ///< When this process was notified, or earlier by the report of a peer.
    bool isAgeKnown = true; ///< A process saw it come.
};

enum class placement_outcome {
    Chosen,
    Busy, ///< All targets are at their limits; one of them will have capacity within a second.
    ContextBusy, ///< The stores of its context are at their transfer limits; the request may wait for them.
    NoTarget, ///< No target is available for the service.
};

struct placement {
    placement_outcome outcome = placement_outcome::NoTarget;
    target_record* target = nullptr;
    double firstTokenSeconds = 0; ///< Expected time to the first token.
    /// If there is no target: when the first untried one that has asked for a pause is available again.
    base::time_point pauseEnd = base::time_point::max();
};

/// Chooses the target of a request by expected cost, within the request rate and capacity limits of each
/// target.
class target_chooser {
public:
    struct options {
        /// Limits of a change to new weights; `versionLimit` is the time in which requests may still start on
        /// older ones.
        weights_changeover::options changeover = {};
        /// Time after the start of a process in which it is not bound to that limit. The same share of it is
        /// the limit for a version that was named before the start, as long as no peer tells its age.
        base::duration startGrace = std::chrono::seconds(3);
        /// While choices are spread: share of a prompt's own time to first token by which targets may differ
        /// and count as equal. Their speeds are known with an error of this order.
        double equalScoreShare = 0.5;
    };

    target_chooser(const base::clock& time, target_registry& targets, options opts);

    placement choose(const placement_request& request);

    /// Records that \a version is the wanted version of \a model.
    void setWantedVersion(std::string_view model, int version, named_at time = named_at::Now);

    /// Records the ages that a peer has sent. The greatest one of a version counts.
    void agesReported(std::span<const version_age> ages);

    /// Returns the ages of the versions for which a restarted process may still need them.
    std::vector<version_age> ages() const;

private:
    using wanted_versions = std::vector<wanted_version>;

    base::duration oldWeightsLimit(bool isAgeKnown) const;
    bool isOverdue(const wanted_version& item) const;
    /// Returns the newest version in \a wanted that has been wanted for longer than old weights may be used;
    /// 0 if there is none.
    int overdueVersion(const wanted_versions& wanted) const;
    /// Returns the version that \a request must run on; empty if all versions in use may serve it.
    std::string requiredVersion(const placement_request& request);
    /// Returns the sorted hashes of the targets of the request's service that load newer weights soon.
    std::span<const std::uint64_t> loadingSoon(const placement_request& request);
    bool isLongRun(const placement_request& request) const;

    const base::clock& m_clock;
    target_registry& m_targets;
    options m_options;
    weights_changeover m_changeover;
    struct soon_loading {
        base::time_point computedAt {};
        std::vector<std::uint64_t> targets;
    };
    std::map<std::string, soon_loading, std::less<>> m_loadingSoon; ///< By service.
    /// By hash of the model, oldest first: all whose time limit has not passed, and the last one before them.
    std::map<std::uint64_t, wanted_versions> m_wantedVersions;
};

} // namespace marigold::relay
