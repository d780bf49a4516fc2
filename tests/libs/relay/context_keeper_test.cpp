#include <relay/context_keeper.h>
#include <support/fake_kv_store.h>

#include <doctest/doctest.h>

#include <set>

using namespace marigold;
using namespace marigold::relay;

namespace {

class plain_decoder final : public state_decoder {
public:
    base::result<state_item> decode(const platform::kv_entry&) const override { return state_item {}; }
    state_item removed(std::string_view) const override { return {}; }
    std::string processKey(std::string_view id) const override { return std::string(id); }
    std::string orderLeaseKey() const override { return "lease"; }
};

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

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 1 };
    base::event_log log { { .output = [](std::string_view) {} } };
    plain_decoder decoder;
    order_lease_holder lease { store, decoder, timers, clock, random, log, { .process = "p" } };
    target_registry targets { clock, {} };
    context_catalog catalog { clock, {} };
    freeing_source source;
    context_sharing sharing { [](const net::endpoint&, std::string_view) {}, { .process = "self" } };
    context_follower follower { catalog, source, sharing, timers, clock, {} };
    context_keeper keeper { catalog, follower, source, lease, targets, clock, log, {} };
    net::endpoint address { .address = "10.0.0.1", .port = 80 };

    explicit world(bool holdsLease = true)
    {
        relay_config::options options { .version = 1 };
        options.services.push_back({ .name = "store",
            .store = context_store_info { .address = address, .capacityTokens = 1'000'000 } });
        catalog.setConfig(relay_config(std::move(options)));
        for (int i = 0; i < 2; ++i)
            put(i, 1);
        for (int version = 1; version <= 3; ++version)
            catalog.take(address,
                { .epoch = 1,
                    .next = 1,
                    .events
                    = { { .stored = true, .scope = scope(version), .partId = "part", .tokens = 10 } } });
        if (holdsLease)
            lease.seen({});
        run(std::chrono::seconds(1));
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
            keeper.sweep();
        }
    }
};

} // namespace

TEST_CASE("context of replaced weights is freed once no request can use it, and no other")
{
    // Guards against a part that is freed under a request that fetches it: MIXED of the users' rules.
    world w;
    w.put(0, 2);
    w.run(std::chrono::seconds(5));
    CHECK(w.source.freedScopes.empty()); // one target still has the first weights
    w.put(1, 2);
    w.run(std::chrono::milliseconds(1400));
    CHECK(w.source.freedScopes.empty());
    w.run(std::chrono::milliseconds(300));
    CHECK(w.source.freedScopes == std::set<std::string> { world::scope(1) });
}

TEST_CASE("two changes of weights in a row do not put the freeing off")
{
    // Guards against stores that stay full of old context: 10 s on a day with two versions within 4 s, after
    // which 17 M tokens were read again.
    world w;
    w.put(0, 2);
    w.put(1, 2);
    w.run(std::chrono::milliseconds(1000));
    w.put(0, 3);
    w.put(1, 3);
    w.run(std::chrono::milliseconds(700));
    CHECK(w.source.freedScopes == std::set<std::string> { world::scope(1) });
}

TEST_CASE("a registration that is older than an answer does not bring old weights back")
{
    // Guards against the same delay, caused by registrations that lag.
    world w;
    for (int i = 0; i < 2; ++i)
        w.targets.versionSeen(*w.targets.targets().at("t" + std::to_string(i)), "m", 2);
    w.run(std::chrono::milliseconds(1000));
    w.put(0, 1);
    CHECK(w.targets.oldestVersions().at("m") == 2);
    w.run(std::chrono::milliseconds(700));
    CHECK(w.source.freedScopes.contains(world::scope(1)));
}

TEST_CASE("only the holder of the lease frees")
{
    // Guards against calls that every process makes.
    world w(false);
    w.put(0, 2);
    w.put(1, 2);
    w.run(std::chrono::seconds(5));
    CHECK(w.source.freedScopes.empty());
}
