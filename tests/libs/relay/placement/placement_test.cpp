#include "chooser_fixture.h"

#include <doctest/doctest.h>

#include <functional>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;
using testing::model;
using testing::service;
using fixture = testing::chooser_fixture;

TEST_CASE("targets that drain, were removed, load weights or are in an excluded domain get no requests")
{
    // Guards against sending requests to a target that will not run them (users' rules DRAIN and EVAC).
    struct row {
        std::string name;
        std::function<void(fixture&, int)> exclude;
    };
    const std::vector<row> rows {
        { "drains",
            [](fixture& f, int i) {
                auto registration = fixture::registration(i);
                registration.draining = true;
                f.targets.put(registration);
            } },
        { "left", [](fixture& f, int i) { f.targets.remove("t" + std::to_string(i)); } },
        { "loads", [](fixture& f, int i) { f.targets.setLoading(f.record(i), true); } },
        { "loads by order of another process",
            [](fixture& f, int i) {
                f.targets.setPeerLoad(
                    "p" + std::to_string(i), { { .target = f.record(i).hash, .load = { .loading = 1 } } });
            } },
        { "domain", [](fixture& f, int) { f.targets.setExcludedDomains({ "d1" }); } },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        fixture f(6);
        item.exclude(f, 1);
        item.exclude(f, 4);
        const auto ids = f.chosen(200);
        CHECK(ids.size() >= 2);
        CHECK_FALSE(ids.contains("t1"));
        CHECK_FALSE(ids.contains("t4"));
    }
}

TEST_CASE("a model server whose registration names no weights of its service gets no requests")
{
    // Guards against requests without an expected version; a registration of another writer may lack it.
    for (const std::map<std::string, int>& versions :
        { std::map<std::string, int> {}, std::map<std::string, int> { { "other", 1 } } }) {
        fixture f(3);
        target_registration odd = fixture::registration(1);
        odd.weightVersions = versions;
        f.targets.put(odd);
        CHECK(f.chosen(200) == std::set<std::string> { "t0", "t2" });
        f.targets.put(fixture::registration(1));
        CHECK(f.chosen(200).contains("t1"));
    }
    // Whether a target is a model server is known from the configuration, which may come later.
    base::manual_clock clock;
    target_registry targets(clock, { .process = "p0", .failureDomain = "d0" });
    target_chooser chooser(clock, targets, {});
    target_registration plain = fixture::registration(0);
    plain.weightVersions.clear();
    targets.put(plain);
    const auto isChosen = [&](std::optional<engine_limits> engine, std::uint64_t version) {
        relay_config::options options { .version = version };
        options.services.push_back({ .name = std::string(service), .engine = std::move(engine) });
        targets.setConfig(std::make_shared<relay_config>(std::move(options)));
        return chooser.choose({ .service = service }).target != nullptr;
    };
    CHECK(isChosen(std::nullopt, 1));
    CHECK_FALSE(isChosen(engine_limits { .slots = 64, .models = { std::string(model) } }, 2));
    CHECK(isChosen(std::nullopt, 3));
}

TEST_CASE("a target that is busy with the requests of another process is not chosen")
{
    // Guards against processes that concentrate their requests on one target: long prompts waited 3,000 ms at
    // some engines while others answered within 200 ms.
    fixture f(3);
    f.targets.setPeerLoad("peer",
        { { .target = f.record(0).hash,
              .load = { .requests = 6, .prefillTokens = 60'000, .tokens = 70'000 } },
            { .target = f.record(1).hash,
                .load = { .requests = 6, .prefillTokens = 60'000, .tokens = 70'000 } } });
    CHECK(f.chosen(50) == std::set<std::string> { "t2" });
    f.targets.setPeerLoad("peer", {});
    f.clock.advance(std::chrono::seconds(1));
    CHECK(f.chosen(200).size() > 1);
}

TEST_CASE("load reported by a peer expires when the peer times out")
{
    // Guards against a target that stays unused because of load reported by a process that has crashed.
    fixture f(2);
    f.targets.setPeerLoad("peer", { { .target = f.record(0).hash, .load = { .loading = 1 } } });
    CHECK(f.chosen(20) == std::set<std::string> { "t1" });
    f.clock.advance(std::chrono::seconds(2));
    f.targets.removeExpired();
    CHECK(f.chosen(100).size() == 2);
}

TEST_CASE("the counters of unfinished work are exact")
{
    // Guards against load counters that drift, so that a target appears busy or idle permanently.
    CHECK(rc::check("ledger", [] {
        fixture f(3);
        std::vector<std::pair<int, target_load>> open;
        for (int i = 0; i < 60; ++i) {
            const int number = *rc::gen::inRange(0, 3);
            if (open.empty() || *rc::gen::arbitrary<bool>()) {
                const target_load work { .requests = 1,
                    .prefillTokens = *rc::gen::inRange(0, 5000),
                    .tokens = *rc::gen::inRange(0, 9000) };
                f.targets.requestStarted(f.record(number), work);
                open.emplace_back(number, work);
            } else {
                auto [target, work] = open.back();
                open.pop_back();
                if (*rc::gen::arbitrary<bool>()) {
                    f.targets.prefillFinished(f.record(target), work.prefillTokens, {});
                    work.prefillTokens = 0;
                }
                f.targets.requestFinished(f.record(target), work, std::chrono::milliseconds(100));
            }
        }
        for (const auto& [target, work] : open)
            f.targets.requestFinished(f.record(target), work, std::chrono::milliseconds(100));
        RC_ASSERT(f.targets.ownLoads().empty());
    }));
}

TEST_CASE("an engine gets no more requests than it can start soon and has memory for")
{
    // Guards against requests that wait in the queue of one engine, are preempted there or lose their fetched
    // context while another engine becomes idle: this caused 1.0 M of 10 M prompt tokens to be recomputed on
    // a day without faults.
    fixture f(1);
    const target_load prompt { .requests = 1, .prefillTokens = 10'000, .tokens = 12'000 };
    // an idle target accepts any size
    CHECK(f.targets.canAccept(f.record(0), { .requests = 1, .tokens = 200'000 }));
    f.targets.requestStarted(f.record(0), prompt);
    f.targets.prefillFinished(
        f.record(0), prompt.prefillTokens, std::chrono::milliseconds(200)); // 50,000 tokens/s
    f.targets.requestStarted(f.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 12'000 });
    CHECK(f.targets.canAccept(f.record(0), prompt)); // 100 ms of work
    f.targets.requestStarted(f.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 12'000 });
    CHECK_FALSE(f.targets.canAccept(f.record(0), prompt)); // 200 ms
    f.targets.prefillFinished(f.record(0), 10'000, {});
    CHECK(f.targets.canAccept(f.record(0), prompt));
    CHECK_FALSE(f.targets.canAccept(f.record(0), { .requests = 1, .tokens = 50'000 }));
}

TEST_CASE("the prefill time at an idle target follows the measured speed and the prompt size")
{
    // Guards against requests that wait until their latency goal has passed because their prefill time is
    // ignored.
    fixture f(2);
    const target_load prompt { .requests = 1, .prefillTokens = 10'000, .tokens = 11'000 };
    CHECK(f.targets.idlePrefillTime(service, prompt) == base::duration::zero());
    f.targets.requestStarted(f.record(0), prompt);
    f.targets.prefillFinished(f.record(0), 10'000, std::chrono::milliseconds(200)); // 50,000 tokens/s
    CHECK(f.targets.idlePrefillTime(service, prompt) == std::chrono::milliseconds(200));
    CHECK(f.targets.idlePrefillTime(service, { .prefillTokens = 5'000 }) == std::chrono::milliseconds(100));
    CHECK(f.targets.idlePrefillTime("other", prompt) == base::duration::zero());
}

TEST_CASE("this process sends a cold target its share and no more")
{
    // Guards against overloading a cold target (users' rule FAILBACK).
    constexpr double bound = 20;
    fixture f(1, bound);
    const std::vector<std::string_view> processes { "p0", "p1", "p2" };
    f.targets.setProcesses(processes);
    auto cold = fixture::registration(0);
    cold.coldFor = std::chrono::seconds(5);
    f.targets.put(cold);
    int sent = 0;
    while (f.choose().outcome == placement_outcome::Chosen && sent < 100) {
        f.targets.requestStarted(f.record(0), { .requests = 1 });
        ++sent;
    }
    CHECK(sent >= 1);
    CHECK(sent * 3 <= bound);
    CHECK(f.choose().outcome == placement_outcome::Busy);
    f.clock.advance(std::chrono::milliseconds(1200));
    f.targets.bytesReceived(f.record(0));
    CHECK(f.choose().outcome == placement_outcome::Chosen);
}

TEST_CASE("an unresponsive target gets no requests until bytes are received from it")
{
    // Guards against requests that stay at a machine without power until their callers time out.
    fixture f(2);
    f.targets.requestStarted(f.record(0), { .requests = 1, .prefillTokens = 10'000, .tokens = 12'000 });
    f.targets.prefillFinished(f.record(0), 10'000, std::chrono::milliseconds(200)); // 50,000 tokens/s
    f.targets.requestStarted(f.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 6'000 });
    f.clock.advance(std::chrono::milliseconds(800));
    // the backlog of 100 ms extends the timeout by twice as much
    CHECK_FALSE(f.targets.isUnresponsive(f.record(0)));
    f.clock.advance(std::chrono::milliseconds(200));
    CHECK(f.targets.isUnresponsive(f.record(0)));
    CHECK_FALSE(f.targets.canAccept(f.record(0), { .requests = 1, .prefillTokens = 100, .tokens = 200 }));
    CHECK(f.chosen(50) == std::set<std::string> { "t1" });
    CHECK_FALSE(f.targets.isUnresponsive(f.record(1))); // has no unfinished requests
    f.targets.bytesReceived(f.record(0));
    CHECK_FALSE(f.targets.isUnresponsive(f.record(0)));
    CHECK(f.targets.canAccept(f.record(0), { .requests = 1, .prefillTokens = 100, .tokens = 200 }));
}

TEST_CASE("a target that has refused a request gets none for a moment")
{
    // Guards against requests that are all refused by a target that loads weights or is full, and whose
    // retries use up the retry budget.
    fixture f(2);
    f.targets.refused(f.record(0));
    CHECK(f.chosen(50) == std::set<std::string> { "t1" });
    f.targets.refused(f.record(1));
    CHECK(f.choose().outcome == placement_outcome::Busy);
    f.clock.advance(std::chrono::milliseconds(300));
    CHECK(f.chosen(50).size() == 2);
}

TEST_CASE("targets that are missing after an outage are kept for the grace period")
{
    // Guards against refusing requests while targets register again, and against sending requests to a
    // removed target.
    fixture f(2);
    f.targets.retainTargets({ "t0" });
    f.targets.removeExpired();
    CHECK(f.targets.targets().size() == 2);
    f.clock.advance(std::chrono::milliseconds(2400));
    f.targets.removeExpired();
    CHECK(f.targets.targets().size() == 1);
}

TEST_CASE("the grace period of missing targets begins anew when the store has lost their entries once more")
{
    // Guards against refusing requests after the second of two returns of the store from an older copy.
    for (const bool hasLostChanges : { false, true }) {
        fixture f(2);
        f.targets.retainTargets({ "t0" }, true);
        f.clock.advance(std::chrono::milliseconds(1500));
        f.targets.retainTargets({ "t0" }, hasLostChanges);
        f.clock.advance(std::chrono::milliseconds(1500));
        f.targets.removeExpired();
        CHECK(f.targets.targets().size() == (hasLostChanges ? 2 : 1));
        CHECK(f.targets.unregister("t0") != hasLostChanges);
        f.clock.advance(std::chrono::milliseconds(900));
        f.targets.removeExpired();
        CHECK(f.targets.targets().size() == 0);
    }
}

TEST_CASE("a target restarted under the same id has no previous state")
{
    // Guards against load and ejections of the previous process that are applied to its successor.
    fixture f(1);
    const std::shared_ptr<target_record> before = f.targets.targets().at("t0");
    f.targets.requestStarted(*before, { .requests = 1, .prefillTokens = 100, .tokens = 200 });
    auto restarted = fixture::registration(0);
    restarted.startedAtMs = 2;
    f.targets.put(restarted);
    CHECK(before->removed);
    CHECK(f.record(0).own == target_load {});
    f.targets.requestFinished(*before, { .requests = 1, .prefillTokens = 100, .tokens = 200 }, {});
    CHECK(f.record(0).own == target_load {});
}
