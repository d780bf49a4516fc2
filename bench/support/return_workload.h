#pragma once

#include "measure.h"

#include <base/base.h>
#include <routing/routing.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <vector>

namespace marigold::bench {

/// Workload of a user (docs/design.md, section 1.1).
struct workload_shape {
    std::string_view name;
    routing::serving_goal goal = routing::serving_goal::FirstToken;
    int targets = 0;
    int domains = 0;
    int entries = 3;
    int sessions = 0;
    int newSessionTokens = 0; ///< Mean context of a new session, in tokens.
    int addedPromptTokens = 0; ///< New prompt tokens in each request that returns to a session.
    int outputTokens = 0;
    double shortestGapSeconds = 0; ///< Shortest gap between the requests of a session; gaps are log-uniform
                                   ///< up to `longestGapSeconds`.
    double longestGapSeconds = 0;
    double batchShare = 0; ///< Fraction of sessions with batch priority and long prompts and replies.
    double linkBytesPerSecond = 0; ///< Link speed of each of the two stores.
    std::int64_t storeTokens = 0; ///< Capacity of both stores together.
};

/// The two current workloads. The rates are such that recomputing all context would use nearly the full
/// capacity of the targets.
inline constexpr std::array<workload_shape, 2> workloads { {
    { .name = "bergvik",
        .goal = routing::serving_goal::LeastRecomputation,
        .targets = 20,
        .domains = 3,
        .sessions = 10'000,
        .newSessionTokens = 8'000,
        .addedPromptTokens = 300,
        .outputTokens = 200,
        .shortestGapSeconds = 60,
        .longestGapSeconds = 3'600,
        .linkBytesPerSecond = 3e9,
        .storeTokens = 80'000'000 },
    { .name = "kodakivi",
        .goal = routing::serving_goal::FirstToken,
        .targets = 12,
        .domains = 4,
        .sessions = 7'000,
        .newSessionTokens = 2'000,
        .addedPromptTokens = 100,
        .outputTokens = 16,
        .shortestGapSeconds = 10,
        .longestGapSeconds = 1'800,
        .batchShare = 0.1,
        .linkBytesPerSecond = 3e9,
        .storeTokens = 24'000'000 },
} };

inline constexpr double bytesPerToken = 40'000;
inline constexpr int storeCount = 2;

/// One request of the arrival list.
struct arrival {
    double seconds = 0;
    std::uint64_t session = 0;
    int promptTokens = 0;
    int prefixTokens = 0;
    int outputTokens = 0;
    int entry = 0;
    bool isBatch = false;
};

/// Generates the arrivals of \a shape during \a seconds, in order of time.
inline std::vector<arrival> generateArrivals(const workload_shape& shape, double seconds, std::uint64_t seed)
{
    base::random_source random(seed);
    std::vector<arrival> out;
    const double logGap = std::log(shape.longestGapSeconds / shape.shortestGapSeconds);
    for (int s = 0; s < shape.sessions; ++s) {
        const bool isBatch = random.uniform() < shape.batchShare;
        const int scale = isBatch ? 3 : 1;
        const std::uint64_t key = random.next() | 1;
        int computedTokens = 0;
        int contextTokens = static_cast<int>(scale * shape.newSessionTokens * (0.5 + random.uniform()));
        const int maxContextTokens = 3 * contextTokens;
        // The gap in progress at the start is length-biased: its length is drawn with a probability
        // proportional to the length, which for log-uniform gaps makes it uniform.
        double at = random.uniform()
            * (shape.shortestGapSeconds
                + random.uniform() * (shape.longestGapSeconds - shape.shortestGapSeconds));
        while (at < seconds) {
            const int output = scale * shape.outputTokens;
            out.push_back({ .seconds = at,
                .session = key,
                .promptTokens = contextTokens,
                .prefixTokens = computedTokens,
                .outputTokens = output,
                .entry = static_cast<int>(random.below(static_cast<std::uint64_t>(shape.entries))),
                .isBatch = isBatch });
            computedTokens = std::min(contextTokens + output, maxContextTokens);
            contextTokens = computedTokens + shape.addedPromptTokens;
            at += shape.shortestGapSeconds * std::exp(random.uniform() * logGap);
        }
    }
    std::ranges::sort(out, {}, &arrival::seconds);
    return out;
}

/// Results of one run of an arrival list after the warm-up.
struct run_results {
    std::vector<double> firstTokenSeconds; ///< Time to first token of interactive requests.
    double prefixTokens = 0;
    double recomputedTokens = 0;
    double transferredBytes = 0;
    double linkBusySeconds = 0;
    int shed = 0;
    int refusals = 0;
    int requests = 0;

    double recomputedShare() const { return recomputedTokens / std::max(prefixTokens, 1.0); }
    double ttft(double share) const { return percentile(firstTokenSeconds, share); }
};

} // namespace marigold::bench
