/// \brief Load on cold targets, and goodput while the fleet starts and a failure domain leaves and returns.

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

// Bergvik's fleet at peak load.
constexpr int targets = 20;
constexpr int domains = 3;
constexpr int entries = 3;
constexpr double requestsPerSecond = 60;
constexpr int meanPromptTokens = 2'000;
constexpr int outputTokens = 50;
constexpr double targetRequestsPerSecond = 4; // 8,000 tokens of prefill a second
constexpr double limitSeconds = 2; // requests with a later first token do not count as goodput
constexpr double fullLoadShare = 0.95; // share of the offered load at which the fleet counts as started

enum class phase { Start, DomainOut, DomainBack, SilentlyCold };

struct phase_entry {
    const char* name;
    double seconds;
    double targetsInService;
};

constexpr std::array<phase_entry, 4> phases { {
    { "start", 120, 20 },
    { "domain_out", 60, 13 }, // seven of twenty targets are in the first domain
    { "domain_back", 120, 20 },
    { "silently_cold", 60, 20 },
} };

struct measurements {
    std::array<double, phases.size()> goodputShare {}; ///< Fraction of the best possible goodput.
    std::array<double, phases.size()> worst10sShare {}; ///< The same for the worst ten seconds.
    double startedAfterSeconds = -1; ///< Start of the first ten seconds at full load.
    int startsAboveBound = 0;
    int lowestRampBoundWhenSilentlyCold = 1000;
    std::size_t refused = 0;
};

/// Returns the best possible goodput: the offered load, limited to the capacity of the targets in service if
/// all of them are warm.
double bestPossible(std::size_t index)
{
    return std::min(requestsPerSecond, phases[index].targetsInService * targetRequestsPerSecond);
}

measurements run(routing_strategy strategy, bool ramped, std::uint64_t seed, double scale)
{
    measurements out;
    std::vector<int> good; // first tokens in time, by the second in which the request arrived
    fake_fleet* runningFleet = nullptr;
    const base::time_point begin = base::manual_clock().now();
    fake_fleet fleet({ .entries = entries,
        .targets = targets,
        .domains = domains,
        .strategy = strategy,
        .seed = seed,
        .target = { .warmUpRuns = 20, .coldSlowdown = 3, .followsRamp = ramped },
        .onServed =
            [&](double took) {
                if (took > limitSeconds)
                    return;
                const double now = std::chrono::duration<double>(runningFleet->time.now() - begin).count();
                const auto second = static_cast<std::size_t>(std::max(now - took, 0.0));
                good.resize(std::max(good.size(), second + 1));
                ++good[second];
            },
        .onRefused = [&] { ++out.refused; } });
    runningFleet = &fleet;
    base::random_source random(seed);
    double phaseStart = 0;
    double at = 0;
    for (std::size_t p = 0; p < phases.size(); ++p) {
        const double phaseEnd = phaseStart + phases[p].seconds * scale;
        if (static_cast<phase>(p) == phase::DomainOut)
            fleet.exclude({ "d0" });
        if (static_cast<phase>(p) == phase::DomainBack) {
            for (int t = 0; t < targets; t += domains)
                fleet.targets[static_cast<std::size_t>(t)]->makeCold(true);
            fleet.exclude({});
        }
        if (static_cast<phase>(p) == phase::SilentlyCold)
            fleet.targets[1]->makeCold(false);
        while (at < phaseEnd) {
            const double gap = random.exponential(1 / requestsPerSecond);
            at += gap;
            fleet.timers.advance(base::duration(static_cast<std::int64_t>(gap * 1e6)));
            fleet.arrive(
                { .promptTokens = meanPromptTokens / 2 + static_cast<int>(random.below(meanPromptTokens)),
                    .outputTokens = outputTokens,
                    .deadline
                    = fleet.time.now() + base::duration(static_cast<std::int64_t>(limitSeconds * 1e6)) });
            if (static_cast<phase>(p) == phase::SilentlyCold)
                out.lowestRampBoundWhenSilentlyCold
                    = std::min(out.lowestRampBoundWhenSilentlyCold, fleet.targets[1]->rampBound());
        }
        phaseStart = phaseEnd;
    }
    fleet.timers.advance(base::duration(30'000'000));
    good.resize(static_cast<std::size_t>(phaseStart) + 1);

    const auto windowRate = [&](std::size_t from, std::size_t seconds) {
        int sum = 0;
        for (std::size_t s = from; s < from + seconds; ++s)
            sum += good[s];
        return static_cast<double>(sum) / static_cast<double>(seconds);
    };
    std::size_t from = 0;
    for (std::size_t p = 0; p < phases.size(); ++p) {
        const auto length = static_cast<std::size_t>(phases[p].seconds * scale);
        out.goodputShare[p] = windowRate(from, length) / bestPossible(p);
        out.worst10sShare[p] = 1e9;
        for (std::size_t s = from; s + 10 <= from + length; ++s) {
            const double share = windowRate(s, 10) / bestPossible(p);
            out.worst10sShare[p] = std::min(out.worst10sShare[p], share);
            if (p == 0 && out.startedAfterSeconds < 0 && share >= fullLoadShare)
                out.startedAfterSeconds = static_cast<double>(s);
        }
        from += length;
    }
    for (const auto& target : fleet.targets)
        out.startsAboveBound += target->startsAboveRamp();
    return out;
}

void print(const char* name, const measurements& f)
{
    std::printf("  %-22s", name);
    for (std::size_t p = 0; p < phases.size(); ++p)
        std::printf(" %s=%3.0f %% (worst 10 s %3.0f %%)", phases[p].name, 100 * f.goodputShare[p],
            100 * f.worst10sShare[p]);
    std::printf(" full load after=%.0f s above bound=%d refused=%zu\n", f.startedAfterSeconds,
        f.startsAboveBound, f.refused);
}

} // namespace

int main(int argc, char** argv)
{
    const arguments args = parse(argc, argv);
    const double scale = args.isLong ? 5 : 1;
    std::printf("%d targets, %d failure domains, %.0f requests/s; goodput as share of the best possible\n",
        targets, domains, requestsPerSecond);
    const measurements ours = run(routing_strategy::Ours, true, args.seed, scale);
    print("ours", ours);
    print("ours without ramp", run(routing_strategy::Ours, false, args.seed, scale));
    print("round robin with ramp", run(routing_strategy::RoundRobin, true, args.seed, scale));
    print("round robin", run(routing_strategy::RoundRobin, false, args.seed, scale));
    print("least load", run(routing_strategy::LeastLoad, false, args.seed, scale));
    bool held = promise(ours.startsAboveBound == 0, "no run starts at a target above its ramp bound");
    held &= promise(ours.startedAfterSeconds >= 0, "a cold fleet reaches the full load");
    held &= promise(ours.goodputShare[1] >= 0.9 && ours.goodputShare[2] >= 0.9,
        "goodput within 10% of the best possible while a failure domain is out of service and returns");
    held &= promise(ours.goodputShare[3] >= 0.9,
        "goodput within 10% of the best possible when a target turns cold silently");
    held &= promise(ours.lowestRampBoundWhenSilentlyCold <= 2,
        "a silently cold target goes back to the first step of its ramp");
    std::printf(
        "result: started_after_s=%.0f domain_out_goodput_percent=%.1f domain_back_goodput_percent=%.1f "
        "domain_back_worst_10s_percent=%.1f silently_cold_goodput_percent=%.1f starts_above_bound_count=%d\n",
        ours.startedAfterSeconds, 100 * ours.goodputShare[1], 100 * ours.goodputShare[2],
        100 * ours.worst10sShare[2], 100 * ours.goodputShare[3], ours.startsAboveBound);
    return held ? 0 : 1;
}
