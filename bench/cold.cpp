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
constexpr double limitSeconds = 2; // a first token after this time is not counted as goodput
constexpr double bearsLoadShare = 0.95; // of the offered load, for the fleet to count as started

enum class phase { Start, DomainOut, DomainBack, SilentlyCold };

struct phase_entry {
    const char* name;
    double seconds;
    double presentTargets;
};

constexpr std::array<phase_entry, 4> phases { {
    { "start", 120, 20 },
    { "domain_out", 60, 13 }, // seven of twenty targets are in the first domain
    { "domain_back", 120, 20 },
    { "silently_cold", 60, 20 },
} };

struct figures {
    std::array<double, phases.size()> goodputShare {}; ///< Of the best possible.
    std::array<double, phases.size()> slowest10 {}; ///< Likewise, in the worst ten seconds.
    double startedAfterSeconds = -1; ///< First ten seconds in a row that bear the load.
    int startsAboveBound = 0;
    int lowestRampAfterSilence = 1000;
    std::size_t refused = 0;
};

/// Best possible: the offered load, as far as the targets in service could bear it if all were warm.
double bestPossible(std::size_t index)
{
    return std::min(requestsPerSecond, phases[index].presentTargets * targetRequestsPerSecond);
}

figures run(routing_strategy strategy, bool ramped, std::uint64_t seed, double scale)
{
    figures out;
    std::vector<int> good; // first tokens in time, by the second in which the request arrived
    fake_fleet* self = nullptr;
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
                const double now = std::chrono::duration<double>(self->time.now() - begin).count();
                const auto second = static_cast<std::size_t>(std::max(now - took, 0.0));
                good.resize(std::max(good.size(), second + 1));
                ++good[second];
            },
        .onRefused = [&] { ++out.refused; } });
    self = &fleet;
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
                out.lowestRampAfterSilence
                    = std::min(out.lowestRampAfterSilence, fleet.targets[1]->rampBound());
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
        out.slowest10[p] = 1e9;
        for (std::size_t s = from; s + 10 <= from + length; ++s) {
            const double share = windowRate(s, 10) / bestPossible(p);
            out.slowest10[p] = std::min(out.slowest10[p], share);
            if (p == 0 && out.startedAfterSeconds < 0 && share >= bearsLoadShare)
                out.startedAfterSeconds = static_cast<double>(s);
        }
        from += length;
    }
    for (const auto& target : fleet.targets)
        out.startsAboveBound += target->startsAboveRamp();
    return out;
}

void print(const char* name, const figures& f)
{
    std::printf("  %-22s", name);
    for (std::size_t p = 0; p < phases.size(); ++p)
        std::printf(" %s=%3.0f %% (worst 10 s %3.0f %%)", phases[p].name, 100 * f.goodputShare[p],
            100 * f.slowest10[p]);
    std::printf(" full load after=%.0f s above bound=%d refused=%zu\n", f.startedAfterSeconds,
        f.startsAboveBound, f.refused);
}

} // namespace

int main(int argc, char** argv)
{
    const arguments args = parse(argc, argv);
    const double scale = args.isLong ? 5 : 1;
    std::printf("%d targets, %d failure domains, %.0f requests/s; goodput of the best possible\n", targets,
        domains, requestsPerSecond);
    const figures ours = run(routing_strategy::Ours, true, args.seed, scale);
    print("ours", ours);
    print("ours without ramp", run(routing_strategy::Ours, false, args.seed, scale));
    print("round robin with ramp", run(routing_strategy::RoundRobin, true, args.seed, scale));
    print("round robin", run(routing_strategy::RoundRobin, false, args.seed, scale));
    print("least load", run(routing_strategy::LeastLoad, false, args.seed, scale));
    bool held = promise(ours.startsAboveBound == 0, "no run starts at a target above its ramp bound");
    held &= promise(ours.startedAfterSeconds >= 0, "a cold fleet reaches the full load");
    held &= promise(ours.goodputShare[1] >= 0.9 && ours.goodputShare[2] >= 0.9,
        "goodput within 10% of the best possible while a failure domain leaves and returns");
    held &= promise(ours.goodputShare[3] >= 0.9,
        "goodput within 10% of the best possible when a target turns cold silently");
    held &= promise(
        ours.lowestRampAfterSilence <= 2, "a silently cold target goes back to the first step of its ramp");
    std::printf(
        "result: started_after_s=%.0f domain_out_goodput_percent=%.1f domain_back_goodput_percent=%.1f "
        "domain_back_worst_10s_percent=%.1f silently_cold_goodput_percent=%.1f starts_above_bound_count=%d\n",
        ours.startedAfterSeconds, 100 * ours.goodputShare[1], 100 * ours.goodputShare[2],
        100 * ours.slowest10[2], 100 * ours.goodputShare[3], ours.startsAboveBound);
    return held ? 0 : 1;
}
