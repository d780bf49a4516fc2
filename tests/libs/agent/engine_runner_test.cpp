#include "fake_engine.h"

#include <agent/engine_runner.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

#include <rapidcheck.h>

using namespace marigold;
using testing::fake_reader;

namespace {

std::string idOf(int number)
{
    return base::toHex(base::truncate(base::sha256(std::to_string(number))));
}

struct runner_fixture {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_engine engine;
    testing::fake_block_mover blocks;
    agent::engine_runner runner;

    explicit runner_fixture(
        agent::engine_runner::options opts = { .slots = 4, .firstSlots = 2, .queueCapacity = 8 })
        : runner(engine, blocks, clock, timers, std::move(opts))
    {
        runner.engineReported({ .model = "m", .version = "v1" }, clock.now());
    }

    static protocol::run_request request(int number, int maxTokens = 3)
    {
        return { .run = idOf(number),
            .attempt = idOf(number + 1000),
            .team = "team",
            .owner = "entry",
            .model = "m",
            .version = "v1",
            .prompt = "hello",
            .maxTokens = maxTokens,
            .remaining = std::chrono::seconds(60),
            .saveTo = "store" };
    }

    std::shared_ptr<fake_reader> submit(int number)
    {
        auto reader = std::make_shared<fake_reader>();
        runner.submit(request(number), reader);
        return reader;
    }

    static platform::engine_end end(std::uint32_t tokens, std::string version = "v1")
    {
        return { .finishReason = "length",
            .promptTokens = 1,
            .completionTokens = tokens,
            .version = std::move(version) };
    }

    std::shared_ptr<fake_reader> resume(int number, const std::string& team, std::uint64_t after)
    {
        auto reader = std::make_shared<fake_reader>();
        runner.resume({ .run = idOf(number),
                          .attempt = idOf(number + 1000),
                          .epoch = 0,
                          .team = team,
                          .owner = "other",
                          .afterSequence = after },
            reader);
        return reader;
    }
};

} // namespace

TEST_CASE("a run delivers its tokens in order and ends with the token usage")
{
    // Guards against lost or duplicated tokens, and against blocks that are never saved.
    runner_fixture fixture;
    const auto reader = fixture.submit(1);
    fixture.engine.sendTokensUpTo(3);
    fixture.engine.endLatest(runner_fixture::end(3));
    REQUIRE(reader->chunks.size() == 4);
    CHECK(reader->text() == "t0t1t2");
    CHECK(reader->chunks.back().isFinal);
    CHECK(reader->chunks.back().sequence == 4);
    CHECK(fixture.blocks.saves == 1);
    CHECK(fixture.runner.load().running == 0);
}

TEST_CASE("an interrupted engine stream is resumed from the last token at any position")
{
    // Guards against truncated or duplicated responses after the connection between agent and engine was
    // interrupted.
    CHECK(rc::check("breaks", [] {
        runner_fixture fixture;
        const auto reader = fixture.submit(1);
        constexpr int total = 6;
        int sent = 0;
        const int breaks = *rc::gen::element(0, 1, 2, 3); // The runner resumes three times.
        for (int i = 0; i < breaks; ++i) {
            sent = std::min(*rc::gen::inRange(sent, total + 3), total);
            fixture.engine.sendTokensUpTo(sent);
            fixture.engine.endLatest(base::mayHaveRun(base::error_reason::Unavailable, "reset"));
            fixture.timers.advance(std::chrono::milliseconds(100));
            RC_ASSERT(fixture.engine.resumedFrom.back() == sent);
        }
        fixture.engine.sendTokensUpTo(total);
        fixture.engine.endLatest(runner_fixture::end(total));
        RC_ASSERT(reader->text() == "t0t1t2t3t4t5");
        RC_ASSERT(reader->chunks.back().isFinal);
        RC_ASSERT(!reader->problem);
    }));
}

TEST_CASE("the verdict of a failed run states whether the engine may have executed it")
{
    // Guards against a not_run verdict after the engine has received the run.
    struct failure_case {
        const char* description;
        base::error problem;
        int tokens;
        bool losesRuns;
        base::verdict verdict;
    };
    const failure_case cases[] {
        { "refused by the engine",
            { .verdict = base::verdict::NotRun, .reason = base::error_reason::Conflict }, 0, false,
            base::verdict::NotRun },
        { "connection refused",
            { .verdict = base::verdict::NotRun, .reason = base::error_reason::Unavailable }, 0, false,
            base::verdict::NotRun },
        { "engine restarted before the first token",
            { .verdict = base::verdict::MayHaveRun, .reason = base::error_reason::Unavailable }, 0, true,
            base::verdict::MayHaveRun },
        { "engine restarted during the response",
            { .verdict = base::verdict::MayHaveRun, .reason = base::error_reason::Unavailable }, 2, true,
            base::verdict::MayHaveRun },
    };
    for (const auto& row : cases) {
        CAPTURE(row.description);
        runner_fixture fixture;
        const auto reader = fixture.submit(1);
        fixture.engine.sendTokensUpTo(row.tokens);
        fixture.engine.hasRuns = !row.losesRuns;
        fixture.engine.endLatest(tl::unexpected(row.problem));
        fixture.timers.advance(std::chrono::seconds(1));
        REQUIRE(reader->problem);
        CHECK(reader->problem->verdict == row.verdict);
        CHECK(fixture.runner.activeRuns() == 0);
        CHECK(fixture.runner.load().running == 0);
    }
}

TEST_CASE("a run of another model or weight version is refused as not_run")
{
    // Guards against a request that uses the cache of another weight version (invariant I3).
    runner_fixture fixture;
    for (const auto* field : { "model", "version" }) {
        auto request = runner_fixture::request(1);
        (field == std::string("model") ? request.model : request.version) = "other";
        const auto reader = std::make_shared<fake_reader>();
        fixture.runner.submit(request, reader);
        REQUIRE(reader->problem);
        CHECK(reader->problem->verdict == base::verdict::NotRun);
        CHECK(reader->problem->field == field);
    }
    CHECK(fixture.engine.started.empty());

    const auto swapped = fixture.submit(2);
    fixture.engine.sendTokensUpTo(1);
    fixture.engine.endLatest(runner_fixture::end(1, "v2"));
    REQUIRE(swapped->problem);
    CHECK(swapped->problem->verdict == base::verdict::Ran);
}

TEST_CASE("no run starts while weights are swapped, and the ramp restarts afterwards")
{
    // Guards against a run that starts with one weight version and completes with another, and against full
    // load on an engine that is cold after the swap (invariants I3 and I4).
    runner_fixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.submit(i);
        fixture.engine.sendTokensUpTo(1);
        fixture.clock.advance(std::chrono::milliseconds(10));
        fixture.engine.endLatest(runner_fixture::end(1));
    }
    CHECK(fixture.runner.rampBound() == 4);
    fixture.runner.setSwapping(true);
    const auto refused = fixture.submit(20);
    REQUIRE(refused->problem);
    CHECK(refused->problem->verdict == base::verdict::NotRun);
    fixture.runner.engineReported({ .model = "m", .version = "v2" }, fixture.clock.now());
    CHECK(fixture.runner.rampBound() == 2);
    fixture.runner.setSwapping(false);
    CHECK(fixture.submit(21)->problem.has_value());
}

TEST_CASE("a disconnected reader can resume within the grace period, after which the run is cancelled")
{
    // Guards against runs that continue for callers that do not return, and against the loss of a stream that
    // moves to another entry.
    runner_fixture fixture;
    const auto first = fixture.submit(1);
    fixture.engine.sendTokensUpTo(2);
    first->open = false;
    fixture.runner.readerDisconnected(idOf(1), "entry");
    fixture.timers.advance(std::chrono::seconds(4));
    CHECK(fixture.engine.cancelled.empty());
    const auto second = fixture.resume(1, "team", 1);
    REQUIRE(second->chunks.size() == 1);
    CHECK(second->chunks.front().sequence == 2);
    fixture.timers.advance(std::chrono::seconds(6));
    CHECK(fixture.engine.cancelled.empty());
    fixture.engine.sendTokensUpTo(3);
    CHECK(second->text() == "t1t2");

    second->open = false;
    fixture.runner.readerDisconnected(idOf(1), "other");
    fixture.timers.advance(std::chrono::seconds(6));
    CHECK(fixture.engine.cancelled.size() == 1);
    CHECK(fixture.runner.activeRuns() == 0);
}

TEST_CASE("another team cannot resume a run, neither at the agent nor at the engine")
{
    // Guards against a response that is delivered to another team (invariant I2).
    runner_fixture fixture;
    const auto owner = fixture.submit(1);
    fixture.engine.sendTokensUpTo(2);
    const auto otherTeam = fixture.resume(1, "thief", 0);
    REQUIRE(otherTeam->problem);
    CHECK(otherTeam->chunks.empty());

    // After a restart of the agent, the request id at the engine depends on the team.
    runner_fixture restarted;
    const auto other = restarted.resume(1, "thief", 0);
    REQUIRE(restarted.engine.streams.size() == 1);
    CHECK(restarted.engine.streams.begin()->second.requestId != fixture.engine.started.front());
}

TEST_CASE("a run that started before a restart of the agent is resumed at the engine")
{
    // Guards against the loss of a stream when the agent is replaced.
    runner_fixture fixture;
    const auto reader = fixture.resume(1, "team", 2);
    fixture.engine.sendTokensUpTo(4);
    fixture.engine.endLatest(runner_fixture::end(4));
    CHECK(reader->text() == "t2t3");
    CHECK(reader->chunks.back().isFinal);
    CHECK(reader->chunks.front().sequence == 3);
}

TEST_CASE("the engine never receives more runs than the bound of its ramp")
{
    // Guards against an overload of a cold engine (invariant I4).
    CHECK(rc::check("bound", [] {
        runner_fixture fixture;
        std::vector<std::shared_ptr<fake_reader>> readers;
        int next = 1;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::element(0, 1, 2));
        for (const int step : steps) {
            if (step == 0 || fixture.engine.streams.empty()) {
                readers.push_back(fixture.submit(next++));
            } else {
                fixture.engine.sendTokensUpTo(1);
                fixture.clock.advance(std::chrono::milliseconds(step == 1 ? 20 : 500));
                fixture.engine.endLatest(runner_fixture::end(1));
            }
            RC_ASSERT(static_cast<int>(fixture.engine.streams.size()) <= fixture.runner.rampBound());
        }
        for (const auto& reader : readers)
            if (reader->problem)
                RC_ASSERT(reader->problem->verdict == base::verdict::NotRun);
    }));
}
