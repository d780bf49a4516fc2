#pragma once

#include "cost_model.h"
#include "outlier_detector.h"
#include "target_table.h"

#include <base/random_source.h>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace marigold::routing {

/// How candidates for a request are chosen.
enum class routing_policy {
    Prompt, ///< By expected cost, with prefix affinity.
    IdempotentCall, ///< By load.
    HomeCall, ///< Non-idempotent: the given home target alone.
};

/// Returns the snake-case name of \a policy.
std::string_view nameOf(routing_policy policy);

/// Tokens of the prompt's prefix that a target's engine was last known to hold.
struct prefix_hint {
    target_index target = noTarget;
    int tokens = 0;
    base::duration age { 0 }; ///< Since the target last used it, as far as this entry knows; zero if unknown.
};

/// Kept blocks of the prefix; the caller estimates the transfer times.
struct kept_context {
    int tokens = 0;
    base::duration transferTime { 0 }; ///< To move all `tokens` over the store's link.
};

struct route_request {
    routing_policy policy = routing_policy::Prompt;
    target_kind kind = target_kind::Engine;
    std::string_view model; ///< Model or service name.
    std::string_view version = {}; ///< Only targets with this version, unless empty.
    serving_goal goal = serving_goal::FirstToken;
    prompt_size size = {};
    std::uint64_t prefixKey = 0; ///< Hash of the key of the first block; 0 for none.
    std::span<const prefix_hint> hints = {};
    kept_context kept = {};
    /// Time since the prefix was last used anywhere, as the store tells; zero if unknown.
    base::duration idleTime { 0 };
    target_index home = noTarget; ///< For `HomeCall`.
    std::span<const target_index> tried = {}; ///< Targets that refused this request already.
};

/// Why a target is among the candidates; bits of `candidate::reasons`.
enum class route_reason : std::uint16_t {
    PrefixHint = 1, ///< Its engine is known to hold the prefix.
    PrefixHome = 2, ///< First by rendezvous hashing of the prefix.
    Sampled = 4,
    Fallback = 8, ///< Drawn only to be tried after a refusal.
    SameDomain = 16,
    OtherRegion = 32,
    LastResort = 64, ///< Membership cannot reach it.
    Probe = 128, ///< Ejected; this request tests whether it is healthy again.
    Home = 256,
    SecondHome = 512, ///< Second by rendezvous hashing; takes the prefix when the first is busy.
};

struct candidate {
    target_index target = noTarget;
    std::uint16_t reasons = 0;
    cost_estimate cost = {};
    /// The wait at this target above which the next candidate is expected to be better. The entry passes it
    /// to the agent, which knows the true wait and refuses above it; the report that led here may be stale.
    base::duration waitLimit = base::duration::max();

    bool has(route_reason reason) const { return (reasons & static_cast<std::uint16_t>(reason)) != 0; }
};

/// Candidates for one request, best first, without heap memory.
class route_decision {
public:
    static constexpr std::size_t capacity = 32;

    /// Candidates unless the router's options say otherwise; a request is not tried at more.
    static constexpr std::size_t usualCandidates = 4;

    std::span<const candidate> candidates() const { return { m_items.data(), m_count }; }
    bool empty() const { return m_count == 0; }

private:
    friend class router;
    std::array<candidate, capacity> m_items {};
    std::size_t m_count = 0;
};

/// Orders the candidates for a request.
///
/// The first place is contested by the targets that may hold the prefix and by two sampled ones for each
/// scope (power of two choices, Mitzenmacher 2001). Sampling instead of taking the minimum over all targets
/// keeps many entries with the same stale reports from choosing the same target.
class router {
public:
    struct options {
        /// Candidates of a decision, at most `route_decision::capacity`.
        std::size_t candidates = route_decision::usualCandidates;
        /// Sampled targets that contest the first place, in this domain and in the rest of the region each.
        std::size_t samples = 2;
        /// A target in another failure domain is preferred only if it saves more than this.
        base::duration domainPreference { 5'000 };
        /// Share of the prompt's prefill time by which a prefix home may be slower than another target; a
        /// later return of the prompt finds its prefix there.
        double homePreference = 0.1;
        /// Share of the prefix that its first home is presumed to hold, while the prefix was idle for less
        /// than the home keeps context; most hints are at the entry that served the last turn.
        double homeHitShare = 0.8;
        /// Wait beyond the next candidate's that is accepted, since a refusal costs a message and a round
        /// trip.
        base::duration refusalMargin { 100'000 };
    };

    /// \a probes may be null; then ejected targets are never probed.
    router(const target_table& table, base::random_source& random, options opts,
        outlier_detector* probes = nullptr);

    /// Returns the candidates for \a request; empty when no target may take it.
    route_decision route(const route_request& request, base::time_point now);

    /// Describes one candidate for an explain view, in one line.
    std::string explain(const candidate& item) const;

private:
    struct draft;

    bool isUsable(target_index target, const route_request& request) const;
    void add(draft& pool, target_index target, std::uint16_t reasons) const;
    void addHomes(draft& pool, const target_group& group) const;
    void addSamples(draft& pool, std::span<const target_group::member> members, std::size_t wanted,
        std::uint16_t reasons);
    void addFallbacks(draft& pool, const target_group& group);
    void addProbe(draft& pool, base::time_point now);
    int expectedInEngine(
        const route_request& request, const candidate& item, const load_estimate& load) const;
    void limitWaits(std::span<candidate> items) const;
    void weigh(draft& pool, base::time_point now) const;

    const target_table& m_table;
    base::random_source& m_random;
    options m_options;
    outlier_detector* m_probes;
};

} // namespace marigold::routing
