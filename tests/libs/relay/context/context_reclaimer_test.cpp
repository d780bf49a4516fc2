#include <relay/context/context_reclaimer.h>
#include <support/fake_kv_store.h>
#include <support/key_decoder.h>

#include <doctest/doctest.h>

#include <set>

using namespace marigold;
using namespace marigold::relay;

namespace {

class freeing_source final : public context_source {
public:
    std::set<std::string> freedScopes;

    void events(const net::endpoint&, std::uint64_t, base::duration, callback<context_event_batch>) override
    {
    }
    void list(const net::endpoint&, callback<context_event_batch>) override { }
    void free(const net::endpoint&, std::uint64_t, const std::vector<context_key>& parts,
        callback<void> done) override
    {
        for (const context_key& part : parts)
            freedScopes.insert(part.scope);
        done({});
    }
};

struct fixture {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 1 };
    base::event_log log { { .output = [](std::string_view) {} } };
    testing::key_decoder decoder;
    order_lease_holder lease { store, decoder, timers, clock, random, log, { .process = "p" } };
    target_registry targets { clock, { .process = "self" } };
    context_catalog catalog { clock, {} };
    freeing_source source;
    context_event_distributor distributor { [](const net::endpoint&, std::string_view) {},
        { .process = "self" } };
    context_follower follower { catalog, source, distributor, timers, clock, {} };
    context_reclaimer reclaimer { catalog, follower, source, lease, targets, clock, log, {} };
    net::endpoint address { .address = "10.0.0.1", .port = 80 };

    explicit fixture(bool holdsLease = true, bool hasRunForLong = true)
    {
        relay_config::options options { .version = 1 };
        options.services.push_back({ .name = "store",
            .store = context_store_info { .address = address, .capacityTokens = 1'000'000 } });
        catalog.setConfig(relay_config(std::move(options)));
        for (int i = 0; i < 2; ++i)
            put(i, 1);
        for (int version = 1; version <= 3; ++version)
            catalog.applyEvents(address,
                { .epoch = 1,
                    .next = 1,
                    .events
                    = { { .stored = true, .scope = scope(version), .partId = "part", .tokens = 10 } } });
        if (holdsLease)
            lease.leaseObserved({}, 0);
        if (hasRunForLong)
            run(context_reclaimer::options().startDelay + std::chrono::seconds(1));
    }

    static std::string scope(int version)
    {
        return context_scope { .model = "m", .weightVersion = version }.text();
    }

    void put(int number, int version)
    {
        targets.put({ .id = "t" + std::to_string(number),
            .service = "svc",
            .address = { .address = "10.0.0.2", .port = static_cast<std::uint16_t>(number) },
            .failureDomain = "d",
            .weightVersions = { { "m", version } } });
    }

    void run(base::duration time)
    {
        constexpr base::duration step { 50'000 };
        for (base::duration passed {}; passed < time; passed += step) {
            timers.advance(step);
            reclaimer.sweep();
        }
    }
};

} // namespace

TEST_CASE(
    "context of replaced weights is freed once all processes use newer ones, before all targets have them")
{
    // Guards against stores that are full of useless context while weights are replaced: in a recorded day
    // nothing was saved from 22 to 31 s, since the last of 180 targets loaded at 29 s and newer weights were
    // named meanwhile.
    fixture f;
    const std::vector<std::string_view> processes { "self", "a", "b" };
    f.targets.setProcesses(processes);
    f.put(0, 2);
    f.targets.stopUsingOlderWeights("m", 2);
    const std::map<std::uint64_t, int> second { { base::hash64("m"), 2 } };
    f.targets.weightsInUse().reported("a", second);
    f.run(std::chrono::seconds(3));
    CHECK(f.source.freedScopes.empty()); // nothing is known of the third process
    f.targets.weightsInUse().reported("b", { { base::hash64("m"), 1 } });
    f.run(std::chrono::seconds(3));
    CHECK(f.source.freedScopes.empty()); // it still uses the first version
    f.targets.weightsInUse().reported("b", second);
    f.run(std::chrono::milliseconds(1400));
    CHECK(f.source.freedScopes.empty()); // the last request may still be fetching
    f.run(std::chrono::milliseconds(300));
    CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
    // A process that has just started has not reported.
    f.targets.weightsInUse().reported("a", { { base::hash64("m"), 3 } });
    f.targets.stopUsingOlderWeights("m", 3);
    const std::vector<std::string_view> joined { "self", "a", "c" };
    f.targets.setProcesses(joined);
    f.run(std::chrono::seconds(3));
    CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
}

TEST_CASE("a process whose registration has ended holds back the context that it used for a while")
{
    // Guards against freeing context that a process fetches that is cut off from the platform's store.
    for (const int reported : { 0, 1 }) {
        CAPTURE(reported);
        fixture f;
        const std::vector<std::string_view> processes { "self", "a", "b" };
        f.targets.setProcesses(processes);
        f.put(0, 2);
        f.targets.stopUsingOlderWeights("m", 2);
        f.targets.weightsInUse().reported("a", { { base::hash64("m"), 2 } });
        if (reported > 0)
            f.targets.weightsInUse().reported("b", { { base::hash64("m"), reported } });
        f.run(std::chrono::seconds(3));
        const std::vector<std::string_view> remaining { "self", "a" };
        f.targets.setProcesses(remaining);
        f.targets.setProcesses(remaining);
        f.run(std::chrono::milliseconds(2400));
        CHECK(f.source.freedScopes.empty());
        f.run(std::chrono::milliseconds(300));
        CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
    }
}

TEST_CASE("a process that has just started frees nothing")
{
    // Guards against freeing context that a process fetches of which this one has never known.
    fixture f(false, false);
    f.lease.leaseObserved({}, 0);
    f.put(0, 2);
    f.put(1, 2);
    f.run(std::chrono::milliseconds(4900));
    CHECK(f.source.freedScopes.empty());
    f.run(std::chrono::milliseconds(300));
    CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
}

TEST_CASE("only context of replaced weights is freed, once no request can use it")
{
    // Guards against freeing a part while a request fetches it (users' rule MIXED).
    fixture f;
    f.put(0, 2);
    f.run(std::chrono::seconds(5));
    CHECK(f.source.freedScopes.empty()); // one target still has the first version
    f.put(1, 2);
    f.run(std::chrono::milliseconds(1400));
    CHECK(f.source.freedScopes.empty());
    f.run(std::chrono::milliseconds(300));
    CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
}

TEST_CASE("two consecutive weight changes do not delay freeing old context")
{
    // Guards against stores that stay full of old context: for 10 s after two versions within 4 s, which
    // caused 17 M tokens to be recomputed.
    fixture f;
    f.put(0, 2);
    f.put(1, 2);
    f.run(std::chrono::milliseconds(1000));
    f.put(0, 3);
    f.put(1, 3);
    f.run(std::chrono::milliseconds(700));
    CHECK(f.source.freedScopes == std::set<std::string> { fixture::scope(1) });
}

TEST_CASE("a registration that is older than an answer does not restore old weights")
{
    // Guards against the same delay, caused by stale registrations.
    fixture f;
    for (int i = 0; i < 2; ++i)
        f.targets.observeVersion(*f.targets.targets().at("t" + std::to_string(i)), "m", 2);
    f.run(std::chrono::milliseconds(1000));
    f.put(0, 1);
    CHECK(f.targets.oldestVersions().at("m") == 2);
    f.run(std::chrono::milliseconds(700));
    CHECK(f.source.freedScopes.contains(fixture::scope(1)));
}

TEST_CASE("only the holder of the lease frees context")
{
    // Guards against redundant calls from every process.
    fixture f(false);
    f.put(0, 2);
    f.put(1, 2);
    f.run(std::chrono::seconds(5));
    CHECK(f.source.freedScopes.empty());
}
