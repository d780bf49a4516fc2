#pragma once

#include <base/base.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <numbers>
#include <unordered_map>
#include <vector>

namespace marigold::bench {

/// Number of a block in a trace; numbers start at 0 without gaps.
using block_number = std::uint32_t;

struct arrival {
    double seconds = 0;
    std::uint16_t team = 0;
    std::vector<block_number> chain;
    std::vector<double> nextUseSeconds; ///< Time of the next use of each block in seconds, or infinity.
};

struct trace {
    std::vector<arrival> arrivals; ///< In order of time.
    std::size_t blocks = 0;
    std::size_t contexts = 0;
};

/// Return behavior of the prompts of one team.
struct team_profile {
    double share = 0; ///< Share of the new contexts.
    double returnProbability = 0; ///< After each request.
    double medianGapSeconds = 0; ///< Log-normal.
    double gapSigma = 0;
};

/// Ten teams, a few of them large, with gaps of minutes to days, as described in docs/design.md.
inline constexpr std::array<team_profile, 10> teamProfiles { {
    { .share = 0.30, .returnProbability = 0.20, .medianGapSeconds = 300, .gapSigma = 1.0 },
    { .share = 0.20, .returnProbability = 0.85, .medianGapSeconds = 600, .gapSigma = 0.7 },
    { .share = 0.15, .returnProbability = 0.70, .medianGapSeconds = 7200, .gapSigma = 1.0 },
    { .share = 0.10, .returnProbability = 0.05, .medianGapSeconds = 3600, .gapSigma = 1.0 },
    { .share = 0.07, .returnProbability = 0.90, .medianGapSeconds = 1200, .gapSigma = 0.5 },
    { .share = 0.06, .returnProbability = 0.60, .medianGapSeconds = 43200, .gapSigma = 0.5 },
    { .share = 0.05, .returnProbability = 0.50, .medianGapSeconds = 86400, .gapSigma = 0.3 },
    { .share = 0.03, .returnProbability = 0.80, .medianGapSeconds = 120, .gapSigma = 1.2 },
    { .share = 0.02, .returnProbability = 0.30, .medianGapSeconds = 1800, .gapSigma = 1.5 },
    { .share = 0.02, .returnProbability = 0.75, .medianGapSeconds = 14400, .gapSigma = 0.8 },
} };

/// Returns a standard normal random number (Box and Muller 1958).
inline double standardNormal(base::random_source& random)
{
    return std::sqrt(-2 * std::log(1 - random.uniform())) * std::cos(2 * std::numbers::pi * random.uniform());
}

inline std::size_t chooseTeam(base::random_source& random)
{
    double draw = random.uniform();
    for (std::size_t team = 0; team < teamProfiles.size(); ++team) {
        draw -= teamProfiles[team].share;
        if (draw < 0)
            return team;
    }
    return 0;
}

/// Sets the next use of each block, iterating backwards from the end of the trace.
inline void setNextUse(trace& generated)
{
    std::vector<double> next(generated.blocks, std::numeric_limits<double>::infinity());
    for (auto it = generated.arrivals.rbegin(); it != generated.arrivals.rend(); ++it) {
        for (const block_number block : it->chain) {
            it->nextUseSeconds.push_back(next[block]);
            next[block] = it->seconds;
        }
    }
}

/// Only requests in this period are measured. The stores fill before it; after it, the end of the
/// trace would favor the oracle, since no uses follow it.
inline constexpr double measureFromSeconds = 1 * 86400.0;
inline constexpr double measureToSeconds = 3 * 86400.0;
inline constexpr double traceSeconds = 5 * 86400.0;

/// Generates the requests of \a contexts conversations that start at random times in the trace. Each begins
/// with the first block of its team, has about 12 blocks and grows by up to two blocks per request.
inline trace generateTrace(std::uint64_t seed, std::size_t contexts)
{
    base::random_source random(seed);
    trace generated { .arrivals = {}, .blocks = teamProfiles.size(), .contexts = contexts };
    for (std::size_t i = 0; i < contexts; ++i) {
        const std::size_t team = chooseTeam(random);
        const team_profile& profile = teamProfiles[team];
        std::vector<block_number> chain { static_cast<block_number>(team) };
        std::size_t length = 6 + random.below(10);
        for (double at = random.uniform() * traceSeconds; at < traceSeconds;) {
            while (chain.size() < length)
                chain.push_back(static_cast<block_number>(generated.blocks++));
            generated.arrivals.push_back({ .seconds = at,
                .team = static_cast<std::uint16_t>(team),
                .chain = chain,
                .nextUseSeconds = {} });
            if (random.uniform() >= profile.returnProbability)
                break;
            at += profile.medianGapSeconds * std::exp(profile.gapSigma * standardNormal(random));
            length += random.below(3);
        }
    }
    std::sort(generated.arrivals.begin(), generated.arrivals.end(),
        [](const arrival& a, const arrival& b) { return a.seconds < b.seconds; });
    setNextUse(generated);
    return generated;
}

} // namespace marigold::bench
