/// \brief Time and memory of one routing decision at 12, 120 and 1,200 targets.

#include "support/measure.h"

#include <routing/routing.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

namespace {
// total heap bytes requested so far by this single-threaded program; freed memory is not subtracted
std::size_t heapBytes = 0;
} // namespace

void* operator new(std::size_t size)
{
    heapBytes += size;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace marigold;
using namespace marigold::routing;

namespace {

constexpr base::time_point start { std::chrono::seconds(1000) };

/// Puts all targets into one group, which is the worst case: with five models a group holds a fifth of them.
void fillTable(target_table& table, base::random_source& random, int targets)
{
    const std::array<std::string, 4> domains { "a", "b", "c", "d" };
    for (int i = 0; i < targets; ++i) {
        const auto index = table.put({ .id = "target-" + std::to_string(i),
            .failureDomain = domains[random.below(domains.size())],
            .region = "r",
            .model = "m",
            .version = "1" });
        table.report(index,
            { .running = static_cast<int>(random.below(16)),
                .slots = 16,
                .pendingPrefillTokens = static_cast<std::int64_t>(random.below(20'000)),
                .prefillTokensPerSecond = 8'000,
                .serviceTime = base::duration(2'000'000) },
            start);
    }
}

struct measurements {
    std::vector<double> nanoseconds;
    double heapBytesPerDecision = 0;
};

template <typename Decide> measurements measure(int rounds, Decide decide)
{
    measurements out;
    out.nanoseconds.reserve(static_cast<std::size_t>(rounds));
    const std::size_t before = heapBytes;
    for (int i = 0; i < rounds; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        decide(i);
        const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
        out.nanoseconds.push_back(took.count());
    }
    out.heapBytesPerDecision = static_cast<double>(heapBytes - before) / rounds;
    return out;
}

double print(const char* name, int targets, const measurements& f)
{
    const double p50 = bench::percentile(f.nanoseconds, 0.5);
    std::printf("%-24s targets=%-5d p50=%.0f ns p99=%.0f ns heap=%.1f B\n", name, targets, p50,
        bench::percentile(f.nanoseconds, 0.99), f.heapBytesPerDecision);
    return p50;
}

} // namespace

int main(int argc, char** argv)
{
    const bench::arguments args = bench::parse(argc, argv);
    const int rounds = args.isLong ? 200'000 : 20'000;
    std::array<double, 3> medians {};
    double p99AtLargest = 0;
    double heapBytesPerDecision = 0;
    std::size_t chosen = 0; // printed, so that the compiler cannot optimise the decisions away
    std::size_t row = 0;
    for (const int targets : { 12, 120, 1200 }) {
        base::random_source random(args.seed);
        target_table table({ .failureDomain = "a", .region = "r" });
        fillTable(table, random, targets);
        router targetRouter(table, random, {});
        const auto count = static_cast<std::uint64_t>(targets);
        const auto ours = measure(rounds, [&](int round) {
            const std::array<prefix_hint, 3> hints {
                prefix_hint { static_cast<target_index>(random.below(count)), 6'000 },
                prefix_hint { static_cast<target_index>(random.below(count)), 4'000 },
                prefix_hint { static_cast<target_index>(random.below(count)), 2'000 }
            };
            const base::time_point now = start + base::duration(round * 100);
            const route_decision decision = targetRouter.route(
                { .model = "m",
                    .version = "1",
                    .size = { .promptTokens = 12'000, .prefixTokens = 11'000 },
                    .prefixKey = random.next(),
                    .hints = hints,
                    .storedContext = { .tokens = 11'000, .transferTime = base::duration(300'000) } },
                now);
            const candidate& best = decision.candidates().front();
            table.recordEnd(table.recordChoice(best.target, best.cost.prefillTokens, now), now);
            chosen += best.target;
        });
        const auto scan = measure(rounds / 10, [&](int round) {
            const base::time_point now = start + base::duration(round * 100);
            target_index best = 0;
            double least = 1e9;
            for (target_index i = 0; i < table.size(); ++i) {
                const double wait = cost_model::waitSeconds(table.estimate(i, now));
                if (wait < least) {
                    least = wait;
                    best = i;
                }
            }
            chosen += best;
        });
        medians[row++] = print("ours", targets, ours);
        print("least load by full scan", targets, scan);
        p99AtLargest = bench::percentile(ours.nanoseconds, 0.99);
        heapBytesPerDecision = ours.heapBytesPerDecision;
    }
    std::printf("decision object: %zu B on the stack; checksum %zu\n", sizeof(route_decision), chosen);
    const bool held
        = bench::promise(medians[2] < 20'000, "a decision at 1,200 targets takes under 20 us (p50)");
    std::printf("result: p50_ns_12=%.0f p50_ns_120=%.0f p50_ns_1200=%.0f p99_ns_1200=%.0f heap_bytes=%.1f "
                "stack_bytes=%zu\n",
        medians[0], medians[1], medians[2], p99AtLargest, heapBytesPerDecision, sizeof(route_decision));
    return held ? 0 : 1;
}
