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

/// Shape of a user's load (design 1.1).
struct user_shape {
    std::string_view name;
    routing::serving_goal goal = routing::serving_goal::FirstToken;
    int targets = 0;
    int domains = 0;
    int entries = 3;
    int sessions = 0;
    int firstTokens = 0; ///< Mean context of a new session, in tokens.
    int addedTokens = 0; ///< New prompt tokens with each return.
    int outputTokens = 0;
    double shortestGapSeconds = 0; ///< Gaps between returns are distributed evenly on a logarithmic scale.
    double longestGapSeconds = 0;
    double draftShare = 0; ///< Sessions of batch priority with long prompts and answers.
    double linkBytesPerSecond = 0; ///< Of each of the two stores.
    std::int64_t storeTokens = 0; ///< Capacity of both stores together.
};

/// Both users as they are today; the rates are chosen so that recomputing all context nearly fills the
/// targets.
inline constexpr std::array<user_shape, 2> users { {
    { .name = "bergvik",
        .goal = routing::serving_goal::LeastRecomputation,
        .targets = 20,
        .domains = 3,
        .sessions = 10'000,
        .firstTokens = 8'000,
        .addedTokens = 300,
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
        .firstTokens = 2'000,
        .addedTokens = 100,
        .outputTokens = 16,
        .shortestGapSeconds = 10,
        .longestGapSeconds = 1'800,
        .draftShare = 0.1,
        .linkBytesPerSecond = 3e9,
        .storeTokens = 24'000'000 },
} };

inline constexpr double bytesPerToken = 40'000;
inline constexpr int stores = 2;

/// One request of the arrival list.
struct arrival {
    double seconds = 0;
    std::uint64_t session = 0;
    int promptTokens = 0;
    int prefixTokens = 0;
    int outputTokens = 0;
    int entry = 0;
    bool draft = false;
};

/// Draws the arrival list of \a shape for \a seconds, in order of time.
inline std::vector<arrival> drawArrivals(const user_shape& shape, double seconds, std::uint64_t seed)
{
    base::random_source random(seed);
    std::vector<arrival> out;
    const double logGap = std::log(shape.longestGapSeconds / shape.shortestGapSeconds);
    for (int s = 0; s < shape.sessions; ++s) {
        const bool draft = random.uniform() < shape.draftShare;
        const int scale = draft ? 3 : 1;
        const std::uint64_t key = random.next() | 1;
        int known = 0;
        int context = static_cast<int>(scale * shape.firstTokens * (0.5 + random.uniform()));
        const int most = 3 * context;
        // A gap that covers a given moment is drawn by its length, which makes it uniform for this
        // distribution.
        double at = random.uniform()
            * (shape.shortestGapSeconds
                + random.uniform() * (shape.longestGapSeconds - shape.shortestGapSeconds));
        while (at < seconds) {
            const int output = scale * shape.outputTokens;
            out.push_back({ .seconds = at,
                .session = key,
                .promptTokens = context,
                .prefixTokens = known,
                .outputTokens = output,
                .entry = static_cast<int>(random.below(static_cast<std::uint64_t>(shape.entries))),
                .draft = draft });
            known = std::min(context + output, most);
            context = known + shape.addedTokens;
            at += shape.shortestGapSeconds * std::exp(random.uniform() * logGap);
        }
    }
    std::ranges::sort(out, {}, &arrival::seconds);
    return out;
}

/// What one run of an arrival list yielded, after the warm-up.
struct outcome {
    std::vector<double> firstToken; ///< Seconds, of requests that are not drafts.
    double prefixTokens = 0;
    double recomputedTokens = 0;
    double bytes = 0;
    double linkBusySeconds = 0;
    int shed = 0;
    int refusals = 0;
    int requests = 0;

    double recomputedShare() const { return recomputedTokens / std::max(prefixTokens, 1.0); }
    double ttft(double share) const { return percentile(firstToken, share); }
};

} // namespace marigold::bench
