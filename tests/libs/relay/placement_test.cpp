#include <relay/target_chooser.h>

#include <doctest/doctest.h>

#include <functional>
#include <set>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;

namespace {

constexpr std::string_view service = "svc";
constexpr std::string_view model = "m";

struct world {
    base::manual_clock clock;
    target_registry targets { clock, { .failureDomain = "d0" } };
    target_chooser chooser { clock, targets, {} };
    int prompts = 0;

    explicit world(int count, double coldPerSecond = 0)
    {
        relay_config::options options { .version = 1 };
        options.services.push_back({ .name = std::string(service),
            .coldRequestsPerSecond = coldPerSecond,
            .engine = engine_limits { .slots = 64, .contextTokens = 80'000 } });
        targets.setConfig(std::make_shared<relay_config>(std::move(options)));
        for (int i = 0; i < count; ++i)
            targets.put(registration(i));
    }

    static target_registration registration(int number, int version = 1)
    {
        return { .id = "t" + std::to_string(number),
            .service = std::string(service),
            .address = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(1000 + number) },
            .failureDomain = "d" + std::to_string(number % 3),
            .slots = 64,
            .startedAtMs = 1,
            .weightVersions = { { std::string(model), version } } };
    }

    target_record& record(int number) { return *targets.targets().at("t" + std::to_string(number)); }

    placement choose()
    {
        // Each prompt has another home.
        const std::string part = "part" + std::to_string(++prompts);
        return chooser.choose({ .service = service,
            .model = model,
            .promptTokens = 4000,
            .sharedTokens = 3000,
            .sharedPart = part });
    }

    std::set<std::string> chosen(int times)
    {
        std::set<std::string> ids;
        for (int i = 0; i < times; ++i)
            if (const placement found = choose(); found.target)
                ids.insert(found.target->registration.id);
        return ids;
    }
};

} // namespace

TEST_CASE("no request goes to a target that drains, has left, loads weights, or whose domain is out")
{
    // Guards against work for a target that will not do it: DRAIN and EVAC of the users' rules.
    struct row {
        std::string name;
        std::function<void(world&, int)> takeOut;
    };
    const std::vector<row> rows {
        { "drains",
            [](world& w, int i) {
                auto registration = world::registration(i);
                registration.draining = true;
                w.targets.put(registration);
            } },
        { "left", [](world& w, int i) { w.targets.remove("t" + std::to_string(i)); } },
        { "loads", [](world& w, int i) { w.targets.setLoading(w.record(i), true); } },
        { "loads by order of another process",
            [](world& w, int i) {
                w.targets.setPeerLoad(
                    "p" + std::to_string(i), { { .target = w.record(i).hash, .load = { .loading = 1 } } });
            } },
        { "domain", [](world& w, int) { w.targets.setExcludedDomains({ "d1" }); } },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        world w(6);
        item.takeOut(w, 1);
        item.takeOut(w, 4);
        const auto ids = w.chosen(200);
        CHECK(ids.size() >= 2);
        CHECK_FALSE(ids.contains("t1"));
        CHECK_FALSE(ids.contains("t4"));
    }
}

TEST_CASE("a target that is busy with the requests of another process is not chosen")
{
    // Guards against processes that heap their requests on one target: long prompts waited 3,000 ms at some
    // engines while others answered after 200 ms.
    world w(3);
    w.targets.setPeerLoad("peer",
        { { .target = w.record(0).hash,
              .load = { .requests = 6, .prefillTokens = 60'000, .tokens = 70'000 } },
            { .target = w.record(1).hash,
                .load = { .requests = 6, .prefillTokens = 60'000, .tokens = 70'000 } } });
    CHECK(w.chosen(50) == std::set<std::string> { "t2" });
    w.targets.setPeerLoad("peer", {});
    w.clock.advance(std::chrono::seconds(1));
    CHECK(w.chosen(200).size() > 1);
}

TEST_CASE("what a silent peer told is forgotten")
{
    // Guards against a target that nobody uses any more, since a dead process was its last caller.
    world w(2);
    w.targets.setPeerLoad("peer", { { .target = w.record(0).hash, .load = { .loading = 1 } } });
    CHECK(w.chosen(20) == std::set<std::string> { "t1" });
    w.clock.advance(std::chrono::seconds(2));
    w.targets.removeMissing();
    CHECK(w.chosen(100).size() == 2);
}

TEST_CASE("the sums of unfinished work are exact")
{
    // Guards against counts that drift, so that a target looks busy or idle for ever.
    CHECK(rc::check("ledger", [] {
        world w(3);
        std::vector<std::pair<int, target_load>> open;
        for (int i = 0; i < 60; ++i) {
            const int number = *rc::gen::inRange(0, 3);
            if (open.empty() || *rc::gen::arbitrary<bool>()) {
                const target_load work { .requests = 1,
                    .prefillTokens = *rc::gen::inRange(0, 5000),
                    .tokens = *rc::gen::inRange(0, 9000) };
                w.targets.began(w.record(number), work);
                open.emplace_back(number, work);
            } else {
                auto [target, work] = open.back();
                open.pop_back();
                if (*rc::gen::arbitrary<bool>()) {
                    w.targets.prefillEnded(w.record(target), work.prefillTokens, {});
                    work.prefillTokens = 0;
                }
                w.targets.ended(w.record(target), work, std::chrono::milliseconds(100));
            }
        }
        for (const auto& [target, work] : open)
            w.targets.ended(w.record(target), work, std::chrono::milliseconds(100));
        RC_ASSERT(w.targets.ownLoads().empty());
    }));
}

TEST_CASE("old weights are left as soon as enough targets have new ones, and always after the limit")
{
    // Guards against requests that begin on replaced weights: VERSION of the users' rules.
    world w(4);
    w.chooser.setNamedVersion(model, 2);
    CHECK(w.choose().outcome == placement_outcome::Chosen); // nothing has the new weights yet
    w.targets.versionSeen(w.record(0), model, 2);
    CHECK(w.chosen(100).size() > 1);
    w.targets.versionSeen(w.record(1), model, 2);
    CHECK(w.chosen(100) == std::set<std::string> { "t0", "t1" });

    // A request sent 4.0 s after the naming began 2.2 s later: VERSION on the day orders-late, seed 2.
    world late(2);
    late.chooser.setNamedVersion(model, 2);
    late.clock.advance(std::chrono::milliseconds(2900));
    CHECK(late.choose().outcome == placement_outcome::Chosen);
    late.clock.advance(std::chrono::milliseconds(200));
    CHECK(late.choose().outcome == placement_outcome::NoTarget);
}

TEST_CASE("targets with weights that are newer than the named ones are used")
{
    // Guards against a process that is cut off from the store and refuses all targets after the naming.
    world w(2);
    w.chooser.setNamedVersion(model, 2);
    w.clock.advance(std::chrono::seconds(10));
    w.targets.versionSeen(w.record(0), model, 3);
    w.targets.versionSeen(w.record(1), model, 3);
    CHECK(w.choose().outcome == placement_outcome::Chosen);
}

TEST_CASE("an engine gets no more than it can begin soon and has memory for")
{
    // Guards against requests that wait, are preempted or lose what they fetched in the queue of one engine,
    // while another engine becomes free: 1.0 M of 10 M prompt tokens were read again for this on a calm day.
    world w(1);
    const target_load prompt { .requests = 1, .prefillTokens = 10'000, .tokens = 12'000 };
    CHECK(w.targets.mayTake(w.record(0), { .requests = 1, .tokens = 200'000 })); // alone, whatever its size
    w.targets.began(w.record(0), prompt);
    w.targets.prefillEnded(
        w.record(0), prompt.prefillTokens, std::chrono::milliseconds(200)); // 50,000 tokens/s
    w.targets.began(w.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 12'000 });
    CHECK(w.targets.mayTake(w.record(0), prompt)); // 100 ms of work
    w.targets.began(w.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 12'000 });
    CHECK_FALSE(w.targets.mayTake(w.record(0), prompt)); // 200 ms
    w.targets.prefillEnded(w.record(0), 10'000, {});
    CHECK(w.targets.mayTake(w.record(0), prompt));
    CHECK_FALSE(w.targets.mayTake(w.record(0), { .requests = 1, .tokens = 50'000 }));
}

TEST_CASE("the usual prefill follows what was measured and the size of the prompt")
{
    // Guards against requests that wait until their goal passes, as if their prefill took no time.
    world w(2);
    const target_load prompt { .requests = 1, .prefillTokens = 10'000, .tokens = 11'000 };
    CHECK(w.targets.usualPrefill(service, prompt) == base::duration::zero());
    w.targets.began(w.record(0), prompt);
    w.targets.prefillEnded(w.record(0), 10'000, std::chrono::milliseconds(200)); // 50,000 tokens/s
    CHECK(w.targets.usualPrefill(service, prompt) == std::chrono::milliseconds(200));
    CHECK(w.targets.usualPrefill(service, { .prefillTokens = 5'000 }) == std::chrono::milliseconds(100));
    CHECK(w.targets.usualPrefill("other", prompt) == base::duration::zero());
}

TEST_CASE("a cold target gets its share and no more")
{
    // Guards against a cold target that falls over: FAILBACK of the users' rules.
    constexpr double bound = 20;
    world w(1, bound);
    w.targets.setProcesses(3);
    auto cold = world::registration(0);
    cold.coldFor = std::chrono::seconds(5);
    w.targets.put(cold);
    int sent = 0;
    while (w.choose().outcome == placement_outcome::Chosen && sent < 100) {
        w.targets.began(w.record(0), { .requests = 1 });
        ++sent;
    }
    CHECK(sent >= 1);
    CHECK(sent * 3 <= bound);
    CHECK(w.choose().outcome == placement_outcome::Busy);
    w.clock.advance(std::chrono::milliseconds(1200));
    w.targets.heard(w.record(0));
    CHECK(w.choose().outcome == placement_outcome::Chosen);
}

TEST_CASE("a target that owes answers and says nothing gets no more requests until it is heard")
{
    // Guards against requests that are held at a machine without power until their callers give up.
    world w(2);
    w.targets.began(w.record(0), { .requests = 1, .prefillTokens = 10'000, .tokens = 12'000 });
    w.targets.prefillEnded(w.record(0), 10'000, std::chrono::milliseconds(200)); // 50,000 tokens/s
    w.targets.began(w.record(0), { .requests = 1, .prefillTokens = 5'000, .tokens = 6'000 });
    w.clock.advance(std::chrono::milliseconds(800));
    CHECK_FALSE(w.targets.isSilent(w.record(0))); // 100 ms of prefill explain as much again
    w.clock.advance(std::chrono::milliseconds(200));
    CHECK(w.targets.isSilent(w.record(0)));
    CHECK_FALSE(w.targets.mayTake(w.record(0), { .requests = 1, .prefillTokens = 100, .tokens = 200 }));
    CHECK(w.chosen(50) == std::set<std::string> { "t1" });
    CHECK_FALSE(w.targets.isSilent(w.record(1))); // owes nothing
    w.targets.heard(w.record(0));
    CHECK_FALSE(w.targets.isSilent(w.record(0)));
    CHECK(w.targets.mayTake(w.record(0), { .requests = 1, .prefillTokens = 100, .tokens = 200 }));
}

TEST_CASE("targets that are missing after an outage are kept for a short time")
{
    // Guards against refusals while targets register anew, and against work for a target that is gone.
    world w(2);
    w.targets.keepOnly({ "t0" });
    w.targets.removeMissing();
    CHECK(w.targets.targets().size() == 2);
    w.clock.advance(std::chrono::milliseconds(2400));
    w.targets.removeMissing();
    CHECK(w.targets.targets().size() == 1);
}

TEST_CASE("a restart under the same id starts from nothing")
{
    // Guards against load and ejections of the process before that stick to its successor.
    world w(1);
    const std::shared_ptr<target_record> before = w.targets.targets().at("t0");
    w.targets.began(*before, { .requests = 1, .prefillTokens = 100, .tokens = 200 });
    auto restarted = world::registration(0);
    restarted.startedAtMs = 2;
    w.targets.put(restarted);
    CHECK(before->gone);
    CHECK(w.record(0).own == target_load {});
    w.targets.ended(*before, { .requests = 1, .prefillTokens = 100, .tokens = 200 }, {});
    CHECK(w.record(0).own == target_load {});
}
