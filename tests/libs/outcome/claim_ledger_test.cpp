#include "claim_world.h"

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

/// Agents with one shard each over one service.
struct ledger_fixture {
    claim_process& start(const std::string& name, claim_ledger::options options = {})
    {
        options.isAlive = [this](std::string_view process) { return process != lost; };
        options.shards = 1;
        agents.push_back(std::make_unique<claim_process>(
            service, time, network, name, 0s, 40 + agents.size(), std::move(options)));
        return *agents.back();
    }

    idempotency_key newKey() { return keyAt(time.wallNow(), random); }

    std::shared_ptr<outcome_result> ask(
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

    /// Asks and waits up to \a patience.
    base::result<claim_outcome> claim(
        claim_process& agent, const idempotency_key& key, int body = 0, base::duration patience = 200ms)
    {
        const auto answer = ask(agent, key, body);
        network.advance(patience);
        REQUIRE(answer->has_value());
        return **answer;
    }

    base::manual_clock time;
    base::manual_scheduler network { time };
    fake_kv_store service { time, network };
    base::random_source random { 23 };
    std::string lost;
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

TEST_CASE("each fault of the service ends in a true outcome, and the key is usable afterwards")
{
    // Guards against a claim that is lost, doubled, or left in the way by a fault between agent and service.
    using enum call_fault;
    struct fault_case {
        std::deque<call_fault> faults; ///< Of the write and of the calls that follow it.
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
        ledger_fixture at;
        claim_process& agent = at.start("a");
        claim_process& other = at.start("b");
        agent.store.nextFaults = item.faults;
        const auto key = at.newKey();
        const auto first = at.ask(agent, key);
        for (int i = 0; i < 40 && !first->has_value(); ++i)
            at.network.advance(10ms);
        REQUIRE(first->has_value());
        CHECK(isTicket(**first) == item.granted);
        CHECK(agent.ledger->counts().writes == item.writes);
        CHECK(agent.ledger->counts().reads == item.reads);
        if (!item.granted) {
            checkError(**first, verdict::NotRun, error_reason::Unavailable);
            CHECK((**first).error().retryAfter > 0ms);
        }
        at.network.advance(20s);
        if (item.granted) {
            checkError(at.claim(other, key), verdict::MayHaveRun, error_reason::Conflict);
            agent.ledger->notSent(*(**first)->ticket);
            at.network.advance(1s);
        }
        CHECK(isTicket(at.claim(other, key)));
        checkError(at.claim(agent, key), verdict::MayHaveRun, error_reason::Conflict);
    }
}

TEST_CASE("a second call gets what became of the first one, at its agent and at another")
{
    // Guards against a second run, and against a caller who cannot tell running, done and unknown apart.
    enum class fate { Running, Done, LongAnswer, Unknown };
    for (const auto fate : { fate::Running, fate::Done, fate::LongAnswer, fate::Unknown }) {
        CAPTURE(static_cast<int>(fate));
        ledger_fixture at;
        claim_process& agent = at.start("a");
        claim_process& other = at.start("b");
        const auto key = at.newKey();
        const auto first = at.claim(agent, key);
        REQUIRE(isTicket(first));
        if (fate == fate::Unknown)
            agent.ledger->resultUnknown(*first->ticket);
        else if (fate != fate::Running)
            agent.ledger->finished(*first->ticket,
                { .status = 201, .body = std::string(fate == fate::Done ? 4096 : 4097, 'x') });
        at.network.advance(1010ms); // results are written after at most 1 s
        for (int round = 0; round < 3; ++round) {
            claim_process& asked = round == 0 ? agent : other;
            checkError(at.claim(asked, key, 1), verdict::NotRun, error_reason::KeyReused);
            const auto second = at.claim(asked, key);
            if (fate == fate::Done) {
                REQUIRE(second.has_value());
                CHECK(second->answer->status == 201);
                CHECK(second->answer->body.size() == 4096);
            } else if (fate == fate::LongAnswer) {
                checkError(second, verdict::Ran, error_reason::Conflict);
            } else if (fate == fate::Running && round < 2) {
                checkError(second, verdict::MayHaveRun, error_reason::Conflict);
                CHECK(second.error().retryAfter > 0ms);
            } else {
                checkError(second, verdict::MayHaveRun, error_reason::Unavailable);
            }
            if (round == 1) {
                agent.kill();
                at.lost = "a";
            }
        }
    }
}

TEST_CASE("an idle shard writes at once, and a busy one writes its claims together")
{
    // Guards against waiting time without need, and against a write for each call.
    ledger_fixture at;
    claim_process& agent = at.start("a");
    std::vector<std::shared_ptr<outcome_result>> answers { at.ask(agent, at.newKey()) };
    at.network.advance(2ms);
    CHECK(answers[0]->has_value());
    for (int i = 0; i < 200; ++i)
        answers.push_back(at.ask(agent, at.newKey()));
    at.network.advance(77ms);
    CHECK(agent.ledger->counts().writes == 1);
    at.network.advance(3ms);
    CHECK(std::all_of(answers.begin(), answers.end(), [](const auto& a) { return isTicket(**a); }));
    CHECK(agent.ledger->counts().writes == 2);
    CHECK(agent.ledger->counts().reads == 0);
}

TEST_CASE("a broken value refuses its calls as not_run and is kept")
{
    // Guards against claims that are destroyed because one process could not read them.
    ledger_fixture at;
    claim_process& agent = at.start("a");
    const auto key = at.newKey();
    const auto bucket = static_cast<std::uint64_t>(key.created().time_since_epoch() / 10s);
    const std::string name = claim_shard::valueKey("claims/orders/", bucket, 0);
    at.service.put({ .key = name, .value = "not a claims value" }, [](const auto&) {});
    at.network.advance(10ms);
    for (int i = 0; i < 2; ++i)
        checkError(at.claim(agent, key), verdict::NotRun, error_reason::Internal);
    CHECK(at.service.entries.at(name).value == "not a claims value");
    at.service.entries.erase(name); // an operator removes it
    CHECK(isTicket(at.claim(agent, key)));
}

TEST_CASE("a full value refuses further claims as not_run and stays below its limit")
{
    // Guards against a write that the service refuses for its size, which would stop the whole shard.
    ledger_fixture at;
    claim_limits limits { .valueBytes = 2000, .answerValueBytes = 1500 };
    claim_process& agent = at.start("a", { .limits = limits });
    int granted = 0;
    for (int i = 0; i < 60; ++i) {
        const auto outcome = at.claim(agent, at.newKey(), 0, 90ms);
        if (isTicket(outcome)) {
            ++granted;
            agent.ledger->finished(*outcome->ticket, { .status = 200, .body = std::string(300, 'x') });
            continue;
        }
        checkError(outcome, verdict::NotRun, error_reason::Overloaded);
        CHECK(outcome.error().retryAfter > 0ms);
    }
    at.network.advance(2s);
    CHECK(granted >= 500 / 60); // claims of at most 60 bytes in what answers must leave free
    CHECK(granted < 60);
    CHECK_FALSE(agent.ledger->hasPending());
    for (const auto& [name, entry] : at.service.entries)
        CHECK(entry.value.size() <= 2000);
}

TEST_CASE("an outage refuses new calls at once with few calls to the service, and known answers remain")
{
    // Guards against callers that wait for an outage to end, and against a storm of calls when it does.
    ledger_fixture at;
    claim_process& agent = at.start("a");
    const auto doneKey = at.newKey();
    agent.ledger->finished(*at.claim(agent, doneKey)->ticket, { .status = 200, .body = "done" });
    at.network.advance(2s);
    const auto runningKey = at.newKey();
    REQUIRE(isTicket(at.claim(agent, runningKey)));
    at.service.down = true;
    const std::size_t before = at.service.reads + at.service.writes;
    for (int i = 0; i < 600; ++i) {
        const auto outcome = at.claim(agent, at.newKey(), 0, 100ms);
        checkError(outcome, verdict::NotRun, error_reason::Unavailable);
        CHECK(outcome.error().retryAfter > 0ms);
        CHECK(outcome.error().retryAfter <= 10s);
    }
    // 60 s with waits of 0.1 s doubling to at least 5 s.
    CHECK(at.service.reads + at.service.writes - before < 20);
    CHECK(at.claim(agent, doneKey)->answer->body == "done");
    checkError(at.claim(agent, runningKey), verdict::MayHaveRun, error_reason::Conflict);
    at.service.down = false;
    at.network.advance(10s);
    CHECK(isTicket(at.claim(agent, at.newKey())));
}

TEST_CASE("a claim is refused when its key or its call has run out of time")
{
    // Guards against a late grant: after the key's window, another process may have swept the claim.
    ledger_fixture at;
    claim_process& agent = at.start("a");
    const auto key = at.newKey();
    agent.store.nextFaults = { call_fault::Slow };
    agent.store.slowest = 1us; // sent at once, answered while the process is paused
    const auto late = at.ask(agent, key, 0, 10h);
    at.network.advance(1us);
    agent.timers.pause(66min);
    at.network.advance(67min);
    REQUIRE(late->has_value());
    checkError(**late, verdict::NotRun, error_reason::InvalidRequest);
    CHECK((**late).error().field == "Idempotency-Key");
    checkError(at.claim(agent, key), verdict::NotRun, error_reason::InvalidRequest);
    checkError(at.claim(agent, keyAt(at.time.wallNow() + 61s, at.random)), verdict::NotRun,
        error_reason::InvalidRequest);
    at.service.delay = 500ms;
    const auto slow = at.ask(agent, at.newKey(), 0, 300ms);
    at.network.advance(300ms);
    REQUIRE(slow->has_value());
    checkError(**slow, verdict::NotRun, error_reason::DeadlineExceeded);
}

TEST_CASE("two homes of one shard both make progress")
{
    // Guards against a loser of the compare-and-swap that reads too early and loses again for good.
    for (const base::duration offset : { 10ms, 40ms, 70ms }) {
        CAPTURE(offset.count());
        ledger_fixture at;
        std::vector<std::shared_ptr<outcome_result>> answers;
        for (const auto* name : { "a", "b" }) {
            at.start(name);
            answers.push_back(at.ask(*at.agents.back(), at.newKey()));
            at.network.advance(offset);
        }
        for (int i = 0; i < 400; ++i) {
            for (const auto& agent : at.agents)
                answers.push_back(at.ask(*agent, at.newKey()));
            at.network.advance(10ms);
        }
        at.network.advance(2s);
        for (const auto& answer : answers)
            CHECK(isTicket(**answer));
    }
}

TEST_CASE("stored values are kept within the cache bound, and dropped ones are read again")
{
    // Guards against memory that grows with the window, and against a dropped value that frees its keys.
    ledger_fixture at;
    claim_process& agent = at.start("a", { .cacheBytes = 4000 });
    std::vector<idempotency_key> keys;
    for (int i = 0; i < 60; ++i) {
        keys.push_back(at.newKey());
        const auto outcome = at.claim(agent, keys.back());
        agent.ledger->finished(*outcome->ticket, { .status = 200, .body = fmt::to_string(i) });
        at.network.advance(10s);
        CHECK(agent.ledger->cachedBytes() <= 4000 + 1000); // the value in use comes on top
    }
    for (std::size_t i = 0; i < keys.size(); ++i)
        CHECK(at.claim(agent, keys[i])->answer->body == fmt::to_string(i));
}

TEST_CASE("a bucket is deleted after window and margin, and nothing else is")
{
    // Guards against a claim that is forgotten while a process with another clock still accepts its key, and
    // against values of other services or forms that the sweep deletes.
    ledger_fixture at;
    at.start("a", { .retentionMargin = 0s }); // raised to 10 min
    std::vector<std::string> kept { "claims/orders/x/00", "claims/orders2/000000000001/00",
        "claims/orders/1" };
    for (const auto& name : kept)
        at.service.put({ .key = name, .value = "other" }, [](const auto&) {});
    std::vector<std::string> buckets;
    for (int i = 0; i < 30; ++i) { // more than the sweep reads at once
        const auto key = at.newKey();
        REQUIRE(isTicket(at.claim(*at.agents[0], key)));
        buckets.push_back(claim_shard::valueKey(
            "claims/orders/", static_cast<std::uint64_t>(key.created().time_since_epoch() / 10s), 0));
        at.network.advance(10s);
    }
    at.network.advance(65min - 60s); // the first key is 1 h and 9 min old
    CHECK(at.service.entries.size() == kept.size() + buckets.size());
    for (const auto& name : buckets)
        CHECK(at.service.entries.contains(name));
    at.network.advance(9min);
    CHECK(at.service.entries.size() == kept.size());
    for (const auto& name : kept)
        CHECK(at.service.entries.contains(name));
}

TEST_CASE("flush writes all results, and a home moves only with its agent")
{
    // Guards against a graceful stop that leaves results unknown, and against a mass move of shards.
    ledger_fixture at;
    claim_process& agent = at.start("a");
    const auto key = at.newKey();
    agent.ledger->finished(*at.claim(agent, key)->ticket, { .status = 200, .body = "kept" });
    bool flushed = false;
    agent.ledger->flush([&] { flushed = true; });
    at.network.advance(200ms);
    CHECK(flushed);
    agent.kill();
    at.lost = "a";
    CHECK(at.claim(at.start("b"), key)->answer->body == "kept");

    const std::vector<std::string> all { "a", "b", "c", "d" };
    const std::vector<std::string> fewer { "a", "b", "d" };
    for (std::uint32_t shard = 0; shard < 16; ++shard) {
        const auto home = claim_ledger::homeOf("orders", shard, all);
        const auto next = claim_ledger::homeOf("orders", shard, fewer);
        CHECK((home == "c" ? next != "c" : next == home));
    }
    CHECK(claim_ledger::homeOf("orders", 0, {}).empty());
}
