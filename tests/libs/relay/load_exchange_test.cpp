#include <relay/load_exchange.h>

#include <doctest/doctest.h>

#include <string>

using namespace marigold;
using namespace marigold::relay;

namespace {

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    target_registry targets { clock, {} };
    std::map<std::string, int> sent;
    load_exchange exchange { targets, timers,
        [this](const net::endpoint& to, std::string_view) { ++sent[to.text()]; }, { .process = "self" } };

    explicit world(int peers)
    {
        std::map<std::string, net::endpoint> all { { "self", { .address = "10.0.0.1", .port = 1 } } };
        for (int i = 0; i < peers; ++i)
            all["p" + std::to_string(i)]
                = { .address = "10.0.1.1", .port = static_cast<std::uint16_t>(i + 1) };
        exchange.setPeers(all);
        targets.put({ .id = "t", .service = "svc", .address = { .address = "10.0.0.9", .port = 9 } });
        exchange.start();
    }

    int datagrams(base::duration time)
    {
        sent.clear();
        constexpr base::duration step { 5'000 };
        for (base::duration passed {}; passed < time; passed += step)
            timers.advance(step);
        int all = 0;
        for (const auto& [to, count] : sent)
            all += count;
        return all;
    }
    int tokensAtTarget() const { return static_cast<int>(targets.targets().at("t")->peers.tokens); }

    std::string digest(std::uint64_t sequence, int tokens) const
    {
        return encode({ .process = "p0",
            .sequence = sequence,
            .entries = { { .target = base::hash64("t"), .load = { .requests = 1, .tokens = tokens } } } });
    }
};

} // namespace

TEST_CASE("few peers hear often, and the traffic of many is bounded")
{
    // Guards against stale views at small sites (mean worth 0.751 -> 0.725 at 250 ms) and against digests
    // that take the links of a large fleet.
    CHECK(world(3).datagrams(std::chrono::seconds(5)) >= 3 * 90);
    const int many = world(300).datagrams(std::chrono::seconds(20));
    CHECK(many <= 80 * 20 + 300);
    CHECK(many >= 80 * 20 - 300);
}

TEST_CASE("digests that are late, foreign or malformed change nothing")
{
    // Guards against load that comes back after it has ended, and against datagrams of other programs.
    world w(1);
    w.exchange.received(w.digest(5, 700));
    CHECK(w.tokensAtTarget() == 700);
    w.exchange.received(w.digest(4, 100));
    CHECK(w.tokensAtTarget() == 700);
    w.exchange.received("nonsense");
    w.exchange.received(encode({ .process = "stranger",
        .sequence = 1,
        .entries = { { .target = base::hash64("t"), .load = { .tokens = 9 } } } }));
    CHECK(w.tokensAtTarget() == 700);
    w.exchange.received(w.digest(6, 0));
    CHECK(w.tokensAtTarget() == 0);
}

TEST_CASE("the load of a peer that is not present any more is forgotten")
{
    // Guards against targets that look busy with the requests of a process that has ended.
    world w(1);
    w.exchange.received(w.digest(1, 700));
    w.exchange.setPeers({});
    CHECK(w.tokensAtTarget() == 0);
}
