/// \brief Load imbalance of 1,200 targets if 2, 20 or 370 entries use the same reports of 1 s ago.

#include "support/fake_fleet.h"
#include "support/measure.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::bench;

namespace {

constexpr int targets = 1'200;
constexpr double requestsPerSecond = 3'400; // peak of the target size
constexpr int meanPromptTokens = 2'000; // 0.25 s of prefill, which keeps the targets busy 71% of the time
constexpr int outputTokens = 50;
constexpr double warmUpSeconds = 5;

struct measurements {
    double peakToMean = 0; ///< Highest number of outstanding runs at one target divided by the mean of all
                           ///< targets, averaged over time.
    double p99ToMean = 0;
    std::vector<double> firstTokenSeconds;
    std::size_t refused = 0;
    std::size_t refusals = 0;
};

measurements run(int entries, routing_strategy strategy, std::uint64_t seed, double seconds)
{
    measurements out;
    bool measuring = false;
    fake_fleet fleet({ .entries = entries,
        .targets = targets,
        .domains = 20,
        .strategy = strategy,
        .seed = seed,
        .onServed =
            [&](double time) {
                if (measuring)
                    out.firstTokenSeconds.push_back(time);
            },
        .onRefused = [&] { out.refused += measuring ? 1 : 0; } });
    base::random_source random(seed); // the same arrivals for every strategy
    double at = 0;
    double nextSample = warmUpSeconds;
    int samples = 0;
    while (at < warmUpSeconds + seconds) {
        const double gap = random.exponential(1 / requestsPerSecond);
        at += gap;
        fleet.timers.advance(base::duration(static_cast<std::int64_t>(gap * 1e6)));
        measuring = at >= warmUpSeconds;
        fleet.arrive(
            { .promptTokens = meanPromptTokens / 2 + static_cast<int>(random.below(meanPromptTokens)),
                .outputTokens = outputTokens });
        if (at < nextSample)
            continue;
        nextSample += 0.1;
        std::vector<double> load;
        double sum = 0;
        for (const auto& target : fleet.targets) {
            load.push_back(target->outstanding());
            sum += load.back();
        }
        const double mean = std::max(sum / targets, 1e-9);
        out.peakToMean += *std::ranges::max_element(load) / mean;
        out.p99ToMean += percentile(load, 0.99) / mean;
        ++samples;
    }
    out.peakToMean /= samples;
    out.p99ToMean /= samples;
    out.refusals = fleet.refusals;
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const arguments args = parse(argc, argv);
    const double seconds = args.isLong ? 60 : 10;
    bool held = true;
    std::string resultLine = "result:";
    for (const int entries : { 2, 20, 370 }) {
        std::printf("%d entries, %d targets, %.0f requests/s\n", entries, targets, requestsPerSecond);
        measurements ours;
        measurements randomChoice;
        for (const routing_strategy strategy : { routing_strategy::Ours, routing_strategy::OursWithoutLimit,
                 routing_strategy::Random, routing_strategy::RoundRobin, routing_strategy::LeastLoad }) {
            const measurements f = run(entries, strategy, args.seed, seconds);
            std::printf("  %-14s peak/mean=%5.2f p99/mean=%5.2f  ttft p50=%5.0f p95=%5.0f p99=%6.0f ms  "
                        "refusals=%zu unserved=%zu of %zu\n",
                std::string(nameOf(strategy)).c_str(), f.peakToMean, f.p99ToMean,
                1e3 * percentile(f.firstTokenSeconds, 0.5), 1e3 * percentile(f.firstTokenSeconds, 0.95),
                1e3 * percentile(f.firstTokenSeconds, 0.99), f.refusals, f.refused,
                f.firstTokenSeconds.size());
            if (strategy == routing_strategy::Ours)
                ours = f;
            if (strategy == routing_strategy::Random)
                randomChoice = f;
        }
        // Stale reports must not make routing worse than a choice without reports.
        held &= promise(ours.peakToMean <= randomChoice.peakToMean,
            "peak-to-mean load is at most that of a random choice");
        held &= promise(
            percentile(ours.firstTokenSeconds, 0.99) <= percentile(randomChoice.firstTokenSeconds, 0.99),
            "time to first token p99 no longer than under a random choice");
        held &= promise(ours.refused == 0, "every request is served");
        const std::string prefix = " entries_" + std::to_string(entries) + "_";
        resultLine += prefix + "peak_to_mean_ratio=" + std::to_string(ours.peakToMean);
        resultLine
            += prefix + "ttft_p95_ms=" + std::to_string(1e3 * percentile(ours.firstTokenSeconds, 0.95));
    }
    std::printf("%s\n", resultLine.c_str());
    return held ? 0 : 1;
}
