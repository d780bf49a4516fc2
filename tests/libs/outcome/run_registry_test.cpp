#include <outcome/outcome.h>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::outcome;
using namespace std::chrono_literals;

TEST_CASE("a run can be resumed from any stored position, only by its team, within its memory limits")
{
    // Guards against gaps in a resumed answer, against access to the answer of another team (I2), and against
    // memory that grows with the number or length of the runs.
    CHECK(rc::check("registry", [](std::uint64_t seed) {
        base::random_source random(seed);
        base::manual_clock time;
        base::manual_scheduler timers(time);
        const std::size_t chunkSize = sizeof(answer_chunk) + 4;
        run_registry registry(
            timers, { .maxRuns = 6, .maxRunBytes = 8 * chunkSize, .maxTotalBytes = 20 * chunkSize });
        std::map<base::digest128, attempt> runs;
        for (int i = 0; i < 120; ++i) {
            if (random.below(6) == 0) {
                const attempt first(random);
                if (registry.begin({ .run = first.id(), .attempt = first.id(), .team = "a", .owner = "e1" }))
                    runs.emplace(first.id(), first);
                else
                    RC_ASSERT(registry.running() == 6U);
            }
            for (auto& [id, run] : runs)
                if (random.below(3) == 0)
                    registry.append(id, random.below(8) == 0 ? run.last("text", 1, {}) : run.next("text", 1));
            RC_ASSERT(registry.bytes() <= 20 * chunkSize);
            RC_ASSERT(registry.runs() <= 6U);
            for (const auto& [id, run] : runs) {
                const std::uint64_t position = random.below(12);
                RC_ASSERT(!registry.resume(id, run.id(), 0, "b", position, "e2"));
                RC_ASSERT(!registry.resume(id, run.id(), 1, "a", position, "e2"));
                const auto tail = registry.resume(id, run.id(), 0, "a", position, "e2");
                if (!tail) {
                    RC_ASSERT(tail.error().verdict == base::verdict::MayHaveRun);
                    continue;
                }
                RC_ASSERT(tail->chunks.size() <= 8U);
                for (std::size_t k = 0; k < tail->chunks.size(); ++k)
                    RC_ASSERT(tail->chunks[k].sequence == position + k + 1);
                if (tail->state == run_state::Ended && !tail->chunks.empty())
                    RC_ASSERT(tail->chunks.back().end.has_value());
            }
            timers.advance(std::chrono::seconds(random.below(10)));
        }
        timers.advance(60s);
        RC_ASSERT(registry.runs() == registry.running());
    }));
}

TEST_CASE("a run whose entry is lost is cancelled after the grace period, unless another entry resumes it")
{
    // Guards against targets that run for disconnected callers, and against cancelling a run that was
    // resumed.
    base::manual_clock time;
    base::manual_scheduler timers(time);
    base::random_source random(2);
    std::vector<base::digest128> cancelled;
    run_registry registry(
        timers, { .cancel = [&](const base::digest128& run) { cancelled.push_back(run); } });
    attempt left(random);
    attempt moved(random);
    for (const auto& run : { left, moved })
        REQUIRE(registry.begin({ .run = run.id(), .attempt = run.id(), .team = "a", .owner = "e1" }));
    CHECK_FALSE(registry.begin({ .run = left.id() }).has_value());
    CHECK(registry.append(left.id(), left.next("x", 1)));
    registry.ownerLost("e1");
    timers.advance(4s);
    CHECK(registry.resume(moved.id(), moved.id(), 0, "a", 0, "e2").has_value());
    registry.connectionLost(moved.id(), "e1"); // late notification about the replaced entry
    timers.advance(999ms);
    CHECK(cancelled.empty());
    timers.advance(1ms);
    CHECK(cancelled == std::vector { left.id() });
    CHECK_FALSE(registry.resume(left.id(), left.id(), 0, "a", 0, "e2").has_value());
    CHECK_FALSE(registry.append(left.id(), left.next("y", 1)));
    timers.advance(100s);
    CHECK(cancelled.size() == 1);
    CHECK(registry.append(moved.id(), moved.next("x", 1)));
    CHECK_FALSE(registry.append(moved.id(), answer_chunk { .attempt = moved.id(), .sequence = 3 }));
    CHECK(registry.running() == 1);
}
