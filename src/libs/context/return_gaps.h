#pragma once

#include "block_key.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace marigold::context {

/// Number of a team in the table of the caller.
using team_number = std::uint16_t;

/// Learns when contexts return, by team and by the time since their last use.
///
/// A bounded sample of contexts is followed, chosen by key, whether or not their blocks are kept, so that the
/// policy does not bias what it learns from. The hazard of each age class is a life-table estimate (Cutler
/// and Ederer 1958): contexts that have not returned yet count as censored at their present age.
class return_gaps {
public:
    struct options {
        std::size_t maximumTeams = 4096; ///< Teams beyond share one table.
        std::size_t maximumContexts = 16384; ///< Followed at once; more of them halve the sampling rate.
        base::duration maximumAge = std::chrono::hours(72); ///< A context this old is no longer followed.
        float maximumObservations
            = 65536; ///< Then all counts are halved, so that the estimate follows changes.
    };

    explicit return_gaps(options opts);

    /// Records a request whose prompt has the keys \a chain. It is a return of each followed context that it
    /// extends, and its own last key is a context to follow.
    void recordUse(team_number team, std::span<const block_key> chain, base::time_point now);

    /// Returns how many returns a second of keeping a context earns that was last used \a age ago: the best
    /// ratio, over all times until which it might be kept, of the probability of return to the expected time
    /// that it is kept (the index of Gittins; hit density in Beckmann, Chen and Cidon 2018).
    double returnsPerSecond(team_number team, base::duration age);

    /// Returns the probability that a context returns within the maximum age.
    double returnProbability(team_number team, base::duration age);

    std::size_t followedContexts() const { return m_contexts.size(); }

    /// Bytes held, with an estimate for the nodes of the hash table.
    std::size_t memoryBytes() const;

private:
    /// Two classes for each doubling of the age, from one second to 12 days.
    static constexpr std::size_t ageClasses = 40;

    template <typename T> using by_age = std::array<T, ageClasses>;

    struct followed_context {
        team_number team = 0;
        std::uint16_t halvings = 0; ///< Of all counts, before this context was followed.
        base::time_point lastUse;
    };

    struct team_table {
        by_age<float> returned {};
        by_age<float> lost {}; ///< No longer followed without a return.
        by_age<float> open {}; ///< Without a return yet, at the last count.
        by_age<float> density {};
        by_age<float> probability {};
        float observations = 0;
        float unusedObservations = 0; ///< Since the density was computed.
        bool computed = false;
    };

    static std::size_t ageClass(base::duration age);
    static double classStart(std::size_t index);
    team_table& tableOf(team_number team);
    void add(const followed_context& context, by_age<float> team_table::*counts, std::size_t index);
    float weightOf(const followed_context& context) const;
    void halveCounts();
    bool isSampled(const block_key& key) const { return (key.low() & m_sampleMask) == 0; }
    void recount(base::time_point now);
    void halveSample();
    by_age<double> hazards(const team_table& table) const;
    void compute(team_table& table) const;
    const team_table& current(team_number team);

    options m_options;
    std::vector<team_table> m_teams; ///< By team number; the last one is shared.
    team_table m_all;
    std::unordered_map<std::uint64_t, followed_context> m_contexts; ///< By the low half of the last key.
    std::uint64_t m_sampleMask = 0;
    std::size_t m_sinceCount = 0;
    std::uint16_t m_halvings = 0;
};

} // namespace marigold::context
