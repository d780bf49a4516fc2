#include "claim_fixtures.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace marigold;
using namespace marigold::outcome;
using namespace marigold::outcome::testing;
using namespace std::chrono_literals;
using base::error_reason;
using base::verdict;

namespace {

using outcome_result = std::optional<base::result<claim_outcome>>;

/// Agents with one shard each that share one key-value service.
struct ledger_fixture {
    claim_process& start(const std::string& name, claim_ledger::options options = {})
    {
        options.isAlive = [this](std::string_view process) { return process != deadProcess; };
        options.shards = 1;
        agents.push_back(std::make_unique<claim_process>(
            service, time, network, name, 0s, 40 + agents.size(), std::move(options)));
        return *agents.back();
    }

    idempotency_key newKey() { return keyAt(time.wallNow(), random); }

    std::shared_ptr<outcome_result> submit(
        claim_process& agent, const idempotency_key& key, int body = 0, base::duration remaining = 2s)
    {
        auto answer = std::make_shared<outcome_result>();
        agent.ledger->claim({ .team = "team",
                                .key = key,
                                .request = claim_ledger::requestDigest("POST", "/", fmt::to_string(body)),
                                .remaining = remaining },
            [answer](const auto& outcome) { *answer = outcome; });
        return answer;
    }

    /// Submits a call and waits for up to \a timeout.
    base::result<claim_outcome> claim(
        claim_process& agent, const idempotency_key& key, int body = 0, base::duration timeout = 200ms)
    {
        const auto answer = submit(agent, key, body);
        network.advance(timeout);
        REQUIRE(answer->has_value());
        return **answer;
    }

    base::manual_clock time;
    base::manual_scheduler network { time };
    fake_kv_store service { time, network };
    base::random_source random { 23 };
    std::string deadProcess;
    std::vector<std::unique_ptr<claim_process>> agents;
};

bool isTicket(const base::result<claim_outcome>& outcome)
{
    return outcome && outcome->ticket;
}

void checkError(const base::result<claim_outcome>& outcome, verdict expected, error_reason reason)
{
    REQUIRE_FALSE(outcome.has_value());
    CHECK(nameOf(outcome.error().verdict) == nameOf(expected));
    CHECK(nameOf(outcome.error().reason) == nameOf(reason));
}

} // namespace

TEST_CASE("each fault of the service yields a correct outcome, and the key is usable afterwards")
{
    // Guards against a claim that is lost, duplicated or left behind by a fault between agent and service.
    using enum call_fault;
    struct fault_case {
        std::deque<call_fault> faults; ///< Of the write and the subsequent calls.
        bool granted;
        std::uint64_t writes;
        std::uint64_t reads;
    };
    for (const auto& item : { fault_case { {}, true, 1, 0 }, fault_case { { LostAnswer }, true, 1, 1 },
             fault_case { { LostRequest }, true, 2, 1 }, fault_case { { Slow }, true, 1, 0 },
             fault_case { { Unavailable }, false, 1, 0 },
             fault_case { { LostAnswer, Unavailable }, false, 1, 1 },
             fault_case { { LostRequest, LostAnswer }, false, 1, 1 },
             fault_case { { Late, LostRequest }, false, 1, 1 } }) {
        CAPTURE(item.faults.size());
        CAPTURE(item.writes);
        ledger_fixture fixture;
        claim_process& agent = fixture.start("a");
        claim_process& other = fixture.start("b");
        agent.store.nextFaults = item.faults;
        const auto key = fixture.newKey();
        const auto first = fixture.submit(agent, key);
        for (int i = 0; i < 40 && !first->has_value(); ++i)
            fixture.network.advance(10ms);
        REQUIRE(first->has_value());
        CHECK(isTicket(**first) == item.granted);
        CHECK(agent.ledger->counts().writes == item.writes);
        CHECK(agent.ledger->counts().reads == item.reads);
        if (!item.granted) {
            checkError(**first, verdict::NotRun, error_reason::Unavailable);
            CHECK((**first).error().retryAfter > 0ms);
        }
        fixture.network.advance(20s);
        if (item.granted) {
            checkError(fixture.claim(other, key), verdict::MayHaveRun, error_reason::Conflict);
            agent.ledger->notSent(*(**first)->ticket);
            fixture.network.advance(1s);
        }
        CHECK(isTicket(fixture.claim(other, key)));
        checkError(fixture.claim(agent, key), verdict::MayHaveRun, error_reason::Conflict);
    }
}

TEST_CASE("a second call receives the result of the first one, at the same agent and at another agent")
{
    // Guards against a second run, and against errors that do not distinguish running, done and unknown.
    enum class first_result { Running, Done, LongAnswer, Unknown };
    for (const auto firstResult :
        { first_result::Running, first_result::Done, first_result::LongAnswer, first_result::Unknown }) {
        CAPTURE(static_cast<int>(firstResult));
        ledger_fixture fixture;
        claim_process& agent = fixture.start("a");
        claim_process& other = fixture.start("b");
        const auto key = fixture.newKey();
        const auto first = fixture.claim(agent, key);
        REQUIRE(isTicket(first));
        if (firstResult == first_result::Unknown)
            agent.ledger->resultUnknown(*first->ticket);
        else if (firstResult != first_result::Running)
            agent.ledger->finished(*first->ticket,
                { .status = 201, .body = std::string(firstResult == first_result::Done ? 4096 : 4097, 'x') });
        fixture.network.advance(1010ms); // results are written after at most 1 s
        for (int round = 0; round < 3; ++round) {
            claim_process& queriedAgent = round == 0 ? agent : other;
            checkError(fixture.claim(queriedAgent, key, 1), verdict::NotRun, error_reason::KeyReused);
            const auto second = fixture.claim(queriedAgent, key);
            if (firstResult == first_result::Done) {
                REQUIRE(second.has_value());
                CHECK(second->answer->status == 201);
                CHECK(second->answer->body.size() == 4096);
            } else if (firstResult == first_result::LongAnswer) {
                checkError(second, verdict::Ran, error_reason::Conflict);
            } else if (firstResult == first_result::Running && round < 2) {
                checkError(second, verdict::MayHaveRun, error_reason::Conflict);
                CHECK(second.error().retryAfter > 0ms);
            } else {
                checkError(second, verdict::MayHaveRun, error_reason::Unavailable);
            }
            if (round == 1) {
                agent.kill();
                fixture.deadProcess = "a";
            }
        }
    }
}

TEST_CASE("an idle shard writes immediately, and a busy one writes its claims in a batch")
{
    // Guards against unnecessary delay, and against a separate write for each call.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a");
    std::vector<std::shared_ptr<outcome_result>> answers { fixture.submit(agent, fixture.newKey()) };
    fixture.network.advance(2ms);
    CHECK(answers[0]->has_value());
    for (int i = 0; i < 200; ++i)
        answers.push_back(fixture.submit(agent, fixture.newKey()));
    fixture.network.advance(77ms);
    CHECK(agent.ledger->counts().writes == 1);
    fixture.network.advance(3ms);
    CHECK(std::all_of(answers.begin(), answers.end(), [](const auto& a) { return isTicket(**a); }));
    CHECK(agent.ledger->counts().writes == 2);
    CHECK(agent.ledger->counts().reads == 0);
}

TEST_CASE("calls on a corrupt value are refused as not_run, and the value is preserved")
{
    // Guards against claims that are overwritten because one process could not read them.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a");
    const auto key = fixture.newKey();
    const auto bucket = static_cast<std::uint64_t>(key.created().time_since_epoch() / 10s);
    const std::string name = claim_shard::valueKey("claims/orders/", bucket, 0);
    fixture.service.put({ .key = name, .value = "not a claims value" }, [](const auto&) {});
    fixture.network.advance(10ms);
    for (int i = 0; i < 2; ++i)
        checkError(fixture.claim(agent, key), verdict::NotRun, error_reason::Internal);
    CHECK(fixture.service.entries.at(name).value == "not a claims value");
    fixture.service.entries.erase(name); // an operator removes it
    CHECK(isTicket(fixture.claim(agent, key)));
}

TEST_CASE("a full value refuses further claims as not_run and stays below its size limit")
{
    // Guards against a write that the service refuses for its size, which would block the entire shard.
    ledger_fixture fixture;
    claim_limits limits { .valueBytes = 2000, .answerValueBytes = 1500 };
    claim_process& agent = fixture.start("a", { .limits = limits });
    int granted = 0;
    for (int i = 0; i < 60; ++i) {
        const auto outcome = fixture.claim(agent, fixture.newKey(), 0, 90ms);
        if (isTicket(outcome)) {
            ++granted;
            agent.ledger->finished(*outcome->ticket, { .status = 200, .body = std::string(300, 'x') });
            continue;
        }
        checkError(outcome, verdict::NotRun, error_reason::Overloaded);
        CHECK(outcome.error().retryAfter > 0ms);
    }
    fixture.network.advance(2s);
    CHECK(granted >= 500 / 60); // claims of at most 60 bytes in the space that answers must leave free
    CHECK(granted < 60);
    CHECK_FALSE(agent.ledger->hasPending());
    for (const auto& [name, entry] : fixture.service.entries)
        CHECK(entry.value.size() <= 2000);
}

TEST_CASE("during an outage, new calls are refused immediately with few calls to the service, and known "
          "answers remain")
{
    // Guards against callers that wait for the end of an outage, and against a burst of calls when it ends.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a");
    const auto doneKey = fixture.newKey();
    agent.ledger->finished(*fixture.claim(agent, doneKey)->ticket, { .status = 200, .body = "done" });
    fixture.network.advance(2s);
    const auto runningKey = fixture.newKey();
    REQUIRE(isTicket(fixture.claim(agent, runningKey)));
    fixture.service.down = true;
    const std::size_t before = fixture.service.reads + fixture.service.writes;
    for (int i = 0; i < 600; ++i) {
        const auto outcome = fixture.claim(agent, fixture.newKey(), 0, 100ms);
        checkError(outcome, verdict::NotRun, error_reason::Unavailable);
        CHECK(outcome.error().retryAfter > 0ms);
        CHECK(outcome.error().retryAfter <= 10s);
    }
    // 60 s with waits that double from 0.1 s to at least 5 s.
    CHECK(fixture.service.reads + fixture.service.writes - before < 20);
    CHECK(fixture.claim(agent, doneKey)->answer->body == "done");
    checkError(fixture.claim(agent, runningKey), verdict::MayHaveRun, error_reason::Conflict);
    fixture.service.down = false;
    fixture.network.advance(10s);
    CHECK(isTicket(fixture.claim(agent, fixture.newKey())));
}

TEST_CASE("a claim is refused when its key has expired or the deadline of its call has passed")
{
    // Guards against a late grant: after the window of the key, another process may have deleted the claim.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a");
    const auto key = fixture.newKey();
    agent.store.nextFaults = { call_fault::Slow };
    agent.store.slowest = 1us; // sent immediately, answered while the process is paused
    const auto late = fixture.submit(agent, key, 0, 10h);
    fixture.network.advance(1us);
    agent.timers.pause(66min);
    fixture.network.advance(67min);
    REQUIRE(late->has_value());
    checkError(**late, verdict::NotRun, error_reason::InvalidRequest);
    CHECK((**late).error().field == "Idempotency-Key");
    checkError(fixture.claim(agent, key), verdict::NotRun, error_reason::InvalidRequest);
    checkError(fixture.claim(agent, keyAt(fixture.time.wallNow() + 61s, fixture.random)), verdict::NotRun,
        error_reason::InvalidRequest);
    fixture.service.delay = 500ms;
    const auto slow = fixture.submit(agent, fixture.newKey(), 0, 300ms);
    fixture.network.advance(300ms);
    REQUIRE(slow->has_value());
    checkError(**slow, verdict::NotRun, error_reason::DeadlineExceeded);
}

TEST_CASE("two processes that write the same shard both make progress")
{
    // Guards against a process that, after a failed compare-and-swap, reads too early and fails every time.
    for (const base::duration offset : { 10ms, 40ms, 70ms }) {
        CAPTURE(offset.count());
        ledger_fixture fixture;
        std::vector<std::shared_ptr<outcome_result>> answers;
        for (const auto* name : { "a", "b" }) {
            fixture.start(name);
            answers.push_back(fixture.submit(*fixture.agents.back(), fixture.newKey()));
            fixture.network.advance(offset);
        }
        for (int i = 0; i < 400; ++i) {
            for (const auto& agent : fixture.agents)
                answers.push_back(fixture.submit(*agent, fixture.newKey()));
            fixture.network.advance(10ms);
        }
        fixture.network.advance(2s);
        for (const auto& answer : answers)
            CHECK(isTicket(**answer));
    }
}

TEST_CASE("cached values stay within the cache limit, and dropped ones are read again")
{
    // Guards against memory that grows with the window, and against keys that become free when their value is
    // dropped.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a", { .cacheBytes = 4000 });
    std::vector<idempotency_key> keys;
    for (int i = 0; i < 60; ++i) {
        keys.push_back(fixture.newKey());
        const auto outcome = fixture.claim(agent, keys.back());
        agent.ledger->finished(*outcome->ticket, { .status = 200, .body = fmt::to_string(i) });
        fixture.network.advance(10s);
        CHECK(agent.ledger->cachedBytes() <= 4000 + 1000); // plus the value in use
    }
    for (std::size_t i = 0; i < keys.size(); ++i)
        CHECK(fixture.claim(agent, keys[i])->answer->body == fmt::to_string(i));
}

TEST_CASE("only buckets older than window and margin are deleted")
{
    // Guards against the deletion of a claim while a process with a different clock still accepts its key,
    // and against the deletion of values of other services or formats.
    ledger_fixture fixture;
    fixture.start("a", { .retentionMargin = 0s }); // raised to 10 min
    std::vector<std::string> kept { "claims/orders/x/00", "claims/orders2/000000000001/00",
        "claims/orders/1" };
    for (const auto& name : kept)
        fixture.service.put({ .key = name, .value = "other" }, [](const auto&) {});
    std::vector<std::string> buckets;
    for (int i = 0; i < 30; ++i) { // more than one page of the sweep
        const auto key = fixture.newKey();
        REQUIRE(isTicket(fixture.claim(*fixture.agents[0], key)));
        buckets.push_back(claim_shard::valueKey(
            "claims/orders/", static_cast<std::uint64_t>(key.created().time_since_epoch() / 10s), 0));
        fixture.network.advance(10s);
    }
    fixture.network.advance(65min - 60s); // the first key is 1 h and 9 min old
    CHECK(fixture.service.entries.size() == kept.size() + buckets.size());
    for (const auto& name : buckets)
        CHECK(fixture.service.entries.contains(name));
    fixture.network.advance(9min);
    CHECK(fixture.service.entries.size() == kept.size());
    for (const auto& name : kept)
        CHECK(fixture.service.entries.contains(name));
}

TEST_CASE("flush writes all results, and a removed agent changes only the homes of its own shards")
{
    // Guards against a graceful shutdown that leaves results unknown, and against moving unrelated shards.
    ledger_fixture fixture;
    claim_process& agent = fixture.start("a");
    const auto key = fixture.newKey();
    agent.ledger->finished(*fixture.claim(agent, key)->ticket, { .status = 200, .body = "kept" });
    bool flushed = false;
    agent.ledger->flush([&] { flushed = true; });
    fixture.network.advance(200ms);
    CHECK(flushed);
    agent.kill();
    fixture.deadProcess = "a";
    CHECK(fixture.claim(fixture.start("b"), key)->answer->body == "kept");

    const std::vector<std::string> all { "a", "b", "c", "d" };
    const std::vector<std::string> fewer { "a", "b", "d" };
    for (std::uint32_t shard = 0; shard < 16; ++shard) {
        const auto home = claim_ledger::homeOf("orders", shard, all);
        const auto next = claim_ledger::homeOf("orders", shard, fewer);
        CHECK((home == "c" ? next != "c" : next == home));
    }
    CHECK(claim_ledger::homeOf("orders", 0, {}).empty());
}
