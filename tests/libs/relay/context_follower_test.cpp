#include <relay/context_follower.h>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;

namespace {

/// A store that keeps only the newest events and may restart empty.
class fake_source final : public context_source {
public:
    fake_source(base::scheduler& timers, std::size_t keptEvents)
        : m_timers(timers)
        , m_kept(keptEvents)
    {
    }

    std::map<std::string, int> parts;
    int lists = 0;
    bool down = false;

    void change(const std::string& part, int tokens)
    {
        if (tokens > 0)
            parts[part] = tokens;
        else
            parts.erase(part);
        m_events.push_back({ .stored = tokens > 0,
            .scope = "s",
            .partId = part,
            .tokens = tokens,
            .number = m_events.size() + 1 });
    }
    void restart()
    {
        parts.clear();
        m_events.clear();
        ++m_epoch;
    }

    void events(const net::endpoint&, std::uint64_t since, base::duration,
        callback<context_event_batch> done) override
    {
        m_timers.runAfter(m_delay, [this, since, done] {
            if (down)
                return done(base::mayHaveRun(base::error_reason::Unavailable, "down"));
            const std::uint64_t last = m_events.size();
            const std::uint64_t first = last > m_kept ? last - m_kept : 0;
            context_event_batch batch { .epoch = m_epoch, .next = last, .lost = since < first };
            for (std::uint64_t i = std::max(since, first); i < last; ++i)
                batch.events.push_back(m_events[i]);
            done(batch);
        });
    }
    void list(const net::endpoint&, callback<context_event_batch> done) override
    {
        ++lists;
        m_timers.runAfter(m_delay, [this, done] {
            context_event_batch batch { .epoch = m_epoch, .next = m_events.size() };
            for (const auto& [part, tokens] : parts)
                batch.events.push_back({ .stored = true, .scope = "s", .partId = part, .tokens = tokens });
            done(batch);
        });
    }
    void free(const net::endpoint&, std::uint64_t, const std::vector<context_key>&, callback<void>) override
    {
    }

private:
    base::scheduler& m_timers;
    std::size_t m_kept;
    std::uint64_t m_epoch = 1;
    std::vector<context_event> m_events;
    base::duration m_delay { 2000 };
};

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    net::endpoint address { .address = "10.0.0.1", .port = 80 };
    context_catalog catalog { clock, {} };
    fake_source source;
    context_sharing sharing { [](const net::endpoint&, std::string_view) {}, { .process = "self" } };
    context_follower follower { catalog, source, sharing, timers, clock, {} };

    explicit world(std::size_t keptEvents)
        : source(timers, keptEvents)
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
