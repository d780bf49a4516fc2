#pragma once

#include "block_key.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace marigold::context {

/// Index of a team in the caller's team table.
using team_number = std::uint16_t;

/// Estimates when contexts are used again (return), by team and by the time since their last use.
///
/// Tracks a bounded sample of contexts, selected by key and independent of whether their blocks are cached,
/// so that eviction does not bias the estimate. The hazard of each age class is a life-table estimate (Cutler
/// and Ederer 1958): contexts that have not returned yet are censored at their present age.
class reuse_estimator {
public:
    struct options {
        std::size_t maximumTeams = 4096; ///< Further teams share one table.
        /// Tracked at the same time; the sampling rate is halved when exceeded.
        std::size_t maximumContexts = 16384;
        base::duration maximumAge = std::chrono::hours(72); ///< Older contexts are no longer tracked.
        /// All counts are halved at this number, so that the estimate adapts to changes.
        float maximumObservations = 65536;
    };

    explicit reuse_estimator(options opts);

    /// Records a request whose prompt has the block keys \a chain. Counts as a return of each tracked context
    /// that the prompt extends; the last key becomes a tracked context itself.
    void recordUse(team_number team, std::span<const block_key> chain, base::time_point now);

    /// Returns the expected returns per second of keeping a context cached that was last used \a age ago.
    /// This is the maximum, over all ages at which it could be evicted, of the probability of a return
    /// divided by the expected time in the cache (Gittins index; hit density in Beckmann, Chen and Cidon
    /// 2018).
    double returnsPerSecond(team_number team, base::duration age);

    /// Returns the probability that a context returns within the maximum age.
    double returnProbability(team_number team, base::duration age);

    std::size_t trackedContexts() const { return m_contexts.size(); }

    /// Allocated bytes; those of the hash table nodes are estimated.
    std::size_t memoryBytes() const;

private:
    /// Two classes per doubling of the age, from one second to 12 days.
    static constexpr std::size_t ageClasses = 40;

    template <typename T> using by_age = std::array<T, ageClasses>;

    struct tracked_context {
        team_number team = 0;
        std::uint16_t halvings = 0; ///< Number of times that all counts had been halved when tracking began.
        base::time_point lastUse;
    };

    struct team_table {
        by_age<float> returned {};
        by_age<float> expired {}; ///< Tracking ended without a return.
        by_age<float> pending {}; ///< Not returned yet at the last recount.
        by_age<float> density {};
        by_age<float> probability {};
        float observations = 0;
        float newObservations = 0; ///< Since the last computation of the density.
        bool computed = false;
    };

    static std::size_t ageClass(base::duration age);
    static double classStart(std::size_t index);
    team_table& tableOf(team_number team);
    void add(const tracked_context& context, by_age<float> team_table::*counts, std::size_t index);
    float weightOf(const tracked_context& context) const;
    void halveCounts();
    bool isSampled(const block_key& key) const { return (key.low() & m_sampleMask) == 0; }
    void recount(base::time_point now);
    void halveSample();
    by_age<double> hazards(const team_table& table) const;
    void compute(team_table& table) const;
    const team_table& current(team_number team);

    options m_options;
    std::vector<team_table> m_teams; ///< By team number; further teams share the last one.
    team_table m_allTeams;
    std::unordered_map<std::uint64_t, tracked_context> m_contexts; ///< By the low half of the last key.
    std::uint64_t m_sampleMask = 0;
    std::size_t m_usesSinceRecount = 0;
    std::uint16_t m_halvings = 0;
};

} // namespace marigold::context
