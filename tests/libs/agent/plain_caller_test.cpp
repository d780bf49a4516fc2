#include <agent/plain_caller.h>

#include "support/fake_kv_store.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

#include <fmt/format.h>

using namespace marigold;

namespace {

/// Service that counts executions and fails if the test requires it.
class fake_service final : public agent::plain_service {
public:
    int runs = 0;
    std::optional<base::error> problem;
    bool runsBeforeFailing = false;

    void send(const protocol::call_request&, const std::string& body,
        std::function<void(base::result<outcome::stored_answer>)> done) override
    {
        if (problem) {
            runs += runsBeforeFailing;
            return done(tl::unexpected(*problem));
        }
        ++runs;
        done(outcome::stored_answer { .status = 201, .contentType = "text/plain", .body = "ran " + body });
    }
};

struct caller_fixture {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 7 };
    fake_service service;
    outcome::claim_ledger ledger;
    agent::plain_caller caller { service, ledger };

    caller_fixture()
        : ledger(store, clock, timers, random,
            { .service = "orders", .process = "agent@1", .isAlive = [](std::string_view) { return true; } })
    {
    }

    std::string key() const
    {
        const auto milliseconds
            = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count() / 1000);
        return fmt::format("{:08x}-{:04x}-7000-8000-000000000001", milliseconds >> 16, milliseconds & 0xffff);
    }

    base::result<agent::plain_answer> call(
        const std::string& key, const std::string& body, bool isIdempotent = false)
    {
        std::optional<base::result<agent::plain_answer>> outcome;
        caller.call({ .team = "t",
                        .service = "orders",
                        .method = "POST",
                        .path = "/orders",
                        .idempotencyKey = key,
                        .remaining = std::chrono::seconds(5) },
            body, isIdempotent,
            [&](base::result<agent::plain_answer> answer) { outcome = std::move(answer); });
        for (int i = 0; i < 100 && !outcome; ++i)
            timers.advance(std::chrono::milliseconds(100));
        REQUIRE(outcome);
        return *outcome;
    }
};

} // namespace

TEST_CASE("a call with a used key returns the first reply and does not run")
{
    // Guards against a non-idempotent order, such as an embossing order, that runs twice (invariant I8).
    caller_fixture fixture;
    const std::string key = fixture.key();
    const auto first = fixture.call(key, "one");
    REQUIRE(first);
    CHECK(!first->isReplayed);
    const auto second = fixture.call(key, "one");
    REQUIRE(second);
    CHECK(second->isReplayed);
    CHECK(second->answer.body == first->answer.body);
    const auto other = fixture.call(key, "two");
    REQUIRE(!other);
    CHECK(other.error().reason == base::error_reason::KeyReused);
    CHECK(fixture.service.runs == 1);
}

TEST_CASE("a call that is not idempotent is not sent without a valid key and a claim")
{
    // Guards against an order that runs although its claim could not be stored.
    caller_fixture fixture;
    for (const auto* key : { "", "not-a-key", "00000000-0000-7000-8000-000000000001" }) {
        const auto refused = fixture.call(key, "one");
        REQUIRE(!refused);
        CHECK(refused.error().verdict == base::verdict::NotRun);
        CHECK(refused.error().field == "Idempotency-Key");
    }
    fixture.store.down = true;
    const auto refused = fixture.call(fixture.key(), "one");
    REQUIRE(!refused);
    CHECK(refused.error().verdict == base::verdict::NotRun);
    CHECK(fixture.service.runs == 0);
}

TEST_CASE("a key can be used again only if the service certainly did not receive the call")
{
    // Guards against a second run after a lost reply, and against a key that stays claimed after a refused
    // connection.
    struct failure_case {
        base::verdict verdict;
        bool ran;
        int runsAfterRetry;
    };
    for (const auto& row : { failure_case { base::verdict::NotRun, false, 1 },
             failure_case { base::verdict::MayHaveRun, true, 1 },
             failure_case { base::verdict::MayHaveRun, false, 0 } }) {
        caller_fixture fixture;
        const std::string key = fixture.key();
        fixture.service.problem
            = base::error { .verdict = row.verdict, .reason = base::error_reason::Unavailable };
        fixture.service.runsBeforeFailing = row.ran;
        const auto failed = fixture.call(key, "one");
        REQUIRE(!failed);
        CHECK(failed.error().verdict == row.verdict);
        fixture.service.problem.reset();
        const auto retried = fixture.call(key, "one");
        CHECK(retried.has_value() == (row.verdict == base::verdict::NotRun));
        CHECK(fixture.service.runs == row.runsAfterRetry);
    }
}
