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
    HomeCall, ///< Non-idempotent call: only the given home target.
};

/// Returns the snake-case name of \a policy.
std::string_view nameOf(routing_policy policy);

/// Last known number of tokens of the prompt's prefix in the engine of a target.
struct prefix_hint {
    target_index target = noTarget;
    int tokens = 0;
    base::duration age { 0 }; ///< Since the last use by the target known to this entry; zero if unknown.
};

/// Stored blocks of the prefix; the caller estimates the transfer time.
struct stored_context {
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
    stored_context storedContext = {};
    /// Time since the last use of the prefix at any target, reported by the store; zero if unknown.
    base::duration idleTime { 0 };
    target_index home = noTarget; ///< For `HomeCall`.
    std::span<const target_index> triedTargets = {}; ///< Targets that have already refused this request.
    /// Candidates whose score exceeds the best one by less than this share of the prompt's own time to first
    /// token count as equal, and the one with the smallest backlog goes first; zero for none.
    double equalScoreShare = 0;
};

/// Why a target is among the candidates; bits of `candidate::reasons`.
enum class route_reason : std::uint16_t {
    PrefixHint = 1, ///< Its engine was last known to hold the prefix.
    PrefixHome = 2, ///< First by rendezvous hashing of the prefix.
    Sampled = 4,
    Fallback = 8, ///< Added only as an alternative after a refusal.
    SameDomain = 16,
    OtherRegion = 32,
    LastResort = 64, ///< Membership cannot determine whether it runs; used only if no serving target is left.
    Probe = 128, ///< Ejected; this request tests whether it is healthy again.
    Home = 256,
    SecondHome = 512, ///< Second by rendezvous hashing; used for the prefix if the first home is busy.
};

struct candidate {
    target_index target = noTarget;
    std::uint16_t reasons = 0;
    cost_estimate cost = {};
    /// Wait at this target above which the next candidate is expected to be better. The entry passes it to
    /// the agent, which refuses the request if the actual wait is longer, since the load report used for
    /// routing may be stale.
    base::duration waitLimit = base::duration::max();

    bool has(route_reason reason) const { return (reasons & static_cast<std::uint16_t>(reason)) != 0; }
};

/// Candidates for one request, best first. Allocates no heap memory.
class route_decision {
public:
    static constexpr std::size_t capacity = 32;

    /// Default number of candidates, and thus of targets at which a request is tried.
    static constexpr std::size_t defaultCandidates = 4;

    std::span<const candidate> candidates() const { return { m_items.data(), m_count }; }
    bool empty() const { return m_count == 0; }

private:
    friend class router;
    std::array<candidate, capacity> m_items {};
    std::size_t m_count = 0;
};

/// Orders the candidates for a request.
///
/// The best candidate is selected from the targets that may hold the prefix and from two sampled targets each
/// in this failure domain and in the rest of the region (power of two choices, Mitzenmacher 2001). Sampling,
/// rather than taking the minimum over all targets, prevents many entries with the same stale reports from
/// choosing the same target.
class router {
public:
    struct options {
        /// Number of candidates of a decision, at most `route_decision::capacity`.
        std::size_t candidates = route_decision::defaultCandidates;
        /// Number of sampled targets in this failure domain, and again in the rest of the region.
        std::size_t samples = 2;
        /// A target in another failure domain is preferred only if it saves more than this.
        base::duration domainPreference { 5'000 };
        /// Share of the prompt's prefill time by which the prefix home may be slower than another target and
        /// is still preferred, since later requests with the same prefix will be sent there.
        double homePreference = 0.1;
        /// Share of the prefix that is assumed to be cached at its first home, if the prefix was idle for
        /// less than the context lifetime there. Used only if there is no hint for the target, since most
        /// hints are known only to the entry that served the previous request.
        double homeHitShare = 0.8;
        /// Additional wait that is accepted compared with the next candidate, since a refusal costs a message
        /// and a round trip.
        base::duration refusalMargin { 100'000 };
    };

    /// If \a probes is null, ejected targets are never probed.
    router(const target_table& table, base::random_source& random, options opts,
        outlier_detector* probes = nullptr);

    /// Returns the candidates for \a request; empty if no target is usable.
    route_decision route(const route_request& request, base::time_point now);

    /// Returns a one-line description of a candidate for an explanation.
    std::string explain(const candidate& item) const;

private:
    struct candidate_pool;

    bool isUsable(target_index target, const route_request& request) const;
    void add(candidate_pool& pool, target_index target, std::uint16_t reasons) const;
    void addHomes(candidate_pool& pool, const target_group& group) const;
    void addSamples(candidate_pool& pool, std::span<const target_group::member> members, std::size_t wanted,
        std::uint16_t reasons);
    void addFallbacks(candidate_pool& pool, const target_group& group);
    void addProbe(candidate_pool& pool, base::time_point now);
    int expectedCachedTokens(
        const route_request& request, const candidate& item, const load_estimate& load) const;
    void setWaitLimits(std::span<candidate> items) const;
    void preferSmallestBacklog(std::span<candidate> items, double equalScoreShare, base::time_point now);
    void scoreCandidates(candidate_pool& pool, base::time_point now) const;

    const target_table& m_table;
    base::random_source& m_random;
    options m_options;
    outlier_detector* m_probes;
};

} // namespace marigold::routing
