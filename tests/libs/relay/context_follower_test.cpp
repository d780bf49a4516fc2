#include "fake_context_store.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;
using testing::fake_context_store;

namespace {

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    net::endpoint address { .address = "10.0.0.1", .port = 80 };
    context_catalog catalog { clock, {} };
    fake_context_store source;
    context_sharing sharing { [](const net::endpoint&, std::string_view) {}, { .process = "self" } };
    context_follower follower { catalog, source, sharing, timers, clock, {} };

    explicit world(std::size_t keptEvents)
        : source(timers, { .keptEvents = keptEvents })
    {
        relay_config::options options { .version = 1 };
        options.services.push_back({ .name = "store",
            .store = context_store_info { .address = address, .capacityTokens = 1'000'000 } });
        catalog.setConfig(relay_config(std::move(options)));
    }

    std::map<std::string, int> known()
    {
        std::map<std::string, int> out;
        for (const context_key& key : catalog.select(address, 1000, [](const context_key&) { return true; }))
            out[key.partId] = source.parts.contains(key.partId) ? source.parts.at(key.partId) : -1;
        return out;
    }

    void run(base::duration time)
    {
        constexpr base::duration step { 10'000 };
        for (base::duration passed {}; passed < time; passed += step)
            timers.advance(step);
    }
};

} // namespace

TEST_CASE("a process that starts late learns of parts whose events the store has forgotten")
{
    // Guards against context that every process reads again after a restart of all: 0.5 M tokens each 4 s.
    world w(5);
    for (int i = 0; i < 20; ++i)
        w.source.change("p" + std::to_string(i), 100);
    w.follower.refresh();
    w.run(std::chrono::seconds(1));
    CHECK(w.known() == w.source.parts);
    CHECK(w.source.lists == 1);
    w.source.change("p1", 0);
    w.source.change("new", 7);
    w.run(std::chrono::seconds(1));
    CHECK(w.known() == w.source.parts);
    CHECK(w.source.lists == 1); // events suffice
}

TEST_CASE("a store that does not answer holds nothing until it has been heard again")
{
    // Guards against a fetch from a store that comes back empty and is being filled by others.
    world w(100);
    w.source.change("p", 100);
    w.follower.refresh();
    w.run(std::chrono::seconds(1));
    REQUIRE(w.known().size() == 1);
    w.source.down = true;
    w.run(std::chrono::milliseconds(200));
    CHECK(w.known().empty());
    w.source.down = false;
    w.run(std::chrono::seconds(1));
    CHECK(w.known() == w.source.parts);
}

TEST_CASE("whatever happens at the store, the catalog agrees with it in the end")
{
    // Guards against parts that are fetched after they were freed, and against parts that are never found.
    CHECK(rc::check("catalog", [] {
        world w(*rc::gen::inRange<std::size_t>(1, 8));
        w.follower.refresh();
        for (int i = 0; i < 40; ++i) {
            const std::string part = "p" + std::to_string(*rc::gen::inRange(0, 6));
            const int what = *rc::gen::inRange(0, 12);
            if (what == 0)
                w.source.restart();
            else if (what == 1)
                w.source.down = !w.source.down;
            else
                w.source.change(part, what < 5 ? 0 : 100);
            w.run(base::duration(*rc::gen::inRange(0, 300'000)));
        }
        w.source.down = false;
        w.run(std::chrono::seconds(3));
        RC_ASSERT(w.known() == w.source.parts);
    }));
}
