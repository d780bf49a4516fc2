#include "fake_context_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;
using testing::fake_context_store;

namespace {

constexpr int simultaneousCalls = 12;
constexpr base::duration freshness = std::chrono::milliseconds(2200);
const net::endpoint storeAddress { .address = "10.9.0.1", .port = 80 };

/// Many processes before one store; datagrams take a millisecond, and some are lost.
struct fleet {
    struct process {
        context_catalog catalog;
        context_sharing sharing;
        context_follower follower;

        process(fleet& all, int index, const std::string& id)
            : catalog(all.clock, {})
            , sharing(
                  [&all, index](const net::endpoint& to, std::string_view bytes) {
                      if (all.silent != index)
                          all.deliver(to, std::string(bytes));
                  },
                  { .process = id })
            , follower(catalog, all.store, sharing, all.timers, all.clock, {})
        {
            relay_config::options options { .version = 1 };
            options.services.push_back({ .name = "store",
                .store = context_store_info { .address = storeAddress,
                    .capacityTokens = 1'000'000,
                    .simultaneousCalls = simultaneousCalls } });
            catalog.setConfig(relay_config(std::move(options)));
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    fake_context_store store { timers, { .simultaneousCalls = simultaneousCalls } };
    std::vector<std::unique_ptr<process>> processes;
    std::map<std::string, net::endpoint> addresses;
    int silent = -1; ///< Process whose datagrams do not arrive.
    int datagrams = 0;
    int loseEach = 0; ///< Each so manieth datagram is lost; 0 for none.

    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
            addresses["p" + std::to_string(i)]
                = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(i) };
        for (int i = 0; i < count; ++i) {
            processes.push_back(std::make_unique<process>(*this, i, "p" + std::to_string(i)));
            processes.back()->sharing.setProcesses(addresses);
            processes.back()->follower.refresh();
        }
    }

    void deliver(const net::endpoint& to, std::string bytes)
    {
        ++datagrams;
        if (loseEach > 0 && datagrams % loseEach == 0)
            return;
        timers.runAfter(std::chrono::milliseconds(1), [this, to, bytes = std::move(bytes)] {
            if (const auto digest = decodeContextDigest(bytes))
                processes[to.port]->follower.told(*digest);
        });
    }

    void run(base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(5);
        for (base::duration passed {}; passed < time; passed += step)
            timers.advance(step);
    }

    /// Number of processes whose catalog is what the store holds.
    int informed()
    {
        std::set<std::string> held;
        for (const auto& [part, tokens] : store.parts)
            held.insert(part);
        return static_cast<int>(std::ranges::count_if(processes, [&](const auto& one) {
            std::set<std::string> known;
            for (const context_key& key :
                one->catalog.select(storeAddress, 100'000, [](const context_key&) { return true; }))
                known.insert(key.partId);
            return known == held;
        }));
    }

    /// Number of processes that would fetch \a part now.
    int usable(const std::string& part, int tokens)
    {
        const std::vector<prompt_part> parts { { .id = part, .tokens = tokens },
            { .id = "own", .tokens = 10 } };
        return static_cast<int>(std::ranges::count_if(processes,
            [&](const auto& one) { return one->catalog.plan("s", parts).plan.fetchFrom[0].has_value(); }));
    }
};

} // namespace

TEST_CASE("many processes know what a store holds though few may ask it")
{
    // Guards against the sweep at 298 relays, where all but 12 knew nothing of a store and read all again.
    constexpr int count = 100;
    fleet all(count);
    for (int i = 0; i < 200; ++i) {
        all.store.change("p" + std::to_string(i), 100);
        all.run(std::chrono::milliseconds(20));
    }
    all.run(std::chrono::seconds(2));
    CHECK(all.informed() == count);
    CHECK(all.usable("p7", 100) == count);
    const int before = all.store.asked;
    all.store.refused = 0;
    all.run(std::chrono::seconds(10));
    CHECK(all.usable("p7", 100) == count); // Still fresh though nothing changed.
    // Only readers ask, each about once a second.
    CHECK(all.store.asked - before <= simultaneousCalls * 10);
    CHECK(all.store.refused == 0);
}

TEST_CASE("a list that one process had to read serves the others")
{
    // Guards against a stall of the store by one list from each process after a gap.
    constexpr int count = 60;
    fleet all(count);
    for (int i = 0; i < 300; ++i)
        all.store.change("p" + std::to_string(i), 100);
    all.store.keptEvents = 10;
    all.run(std::chrono::seconds(6));
    CHECK(all.informed() == count);
    CHECK(all.store.lists <= simultaneousCalls);
}

TEST_CASE("a reader that falls silent leaves nobody without news")
{
    // Guards against a reader that stops or is cut off from its share of the others.
    constexpr int count = 40;
    fleet all(count);
    all.store.change("p", 100);
    all.run(std::chrono::seconds(2));
    REQUIRE(all.usable("p", 100) == count);
    for (int reader = 0; reader < count; ++reader) {
        if (!all.processes[static_cast<std::size_t>(reader)]->sharing.isReader(
                storeAddress, simultaneousCalls))
            continue;
        all.silent = reader;
        for (int i = 0; i < 10; ++i) {
            all.run(freshness / 5);
            CHECK(all.usable("p", 100) == count);
        }
    }
}

TEST_CASE("processes that lost all datagrams know again once some arrive")
{
    // Guards against a process that waits for news that cannot reach it.
    constexpr int count = 40;
    fleet all(count);
    all.store.change("p", 100);
    all.run(std::chrono::seconds(2));
    all.loseEach = 1;
    all.run(std::chrono::seconds(5));
    CHECK(all.usable("p", 100) > simultaneousCalls); // Those that ask get through in turn.
    all.loseEach = 0;
    all.run(std::chrono::seconds(3));
    CHECK(all.usable("p", 100) == count);
}

TEST_CASE("whatever is lost, all processes agree with the store in the end")
{
    // Guards against parts that are fetched after they were freed by a process that missed the event.
    CHECK(rc::check("sharing", [] {
        fleet all(*rc::gen::inRange(1, 30));
        all.loseEach = *rc::gen::inRange(0, 5);
        all.store.keptEvents = *rc::gen::inRange<std::size_t>(1, 100);
        for (int i = 0; i < 15; ++i) {
            const int what = *rc::gen::inRange(0, 15);
            if (what == 0)
                all.store.restart();
            const int changes = *rc::gen::inRange(1, 100);
            for (int j = 0; j < changes; ++j)
                all.store.change("p" + std::to_string(*rc::gen::inRange(0, 60)), what < 5 ? 0 : 100);
            all.run(base::duration(*rc::gen::inRange(0, 400'000)));
        }
        all.loseEach = 0;
        all.run(std::chrono::seconds(6));
        RC_ASSERT(all.informed() == static_cast<int>(all.processes.size()));
    }));
}

TEST_CASE("each process is told by exactly one reader, whichever processes there are")
{
    // Guards against processes that no reader takes care of.
    CHECK(rc::check("audience", [] {
        const int count = *rc::gen::inRange(1, 80);
        std::map<std::string, net::endpoint> addresses;
        for (int i = 0; i < count; ++i)
            addresses["p" + std::to_string(*rc::gen::inRange(0, 10'000))]
                = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(i) };
        std::map<std::string, int> toldBy;
        int readers = 0;
        for (const auto& [id, address] : addresses) {
            context_sharing sharing(
                [&](const net::endpoint& to, std::string_view) { ++toldBy[to.text()]; }, { .process = id });
            sharing.setProcesses(addresses);
            readers += sharing.isReader(storeAddress, simultaneousCalls);
            sharing.share(storeAddress, simultaneousCalls, 0, false, { .epoch = 1, .next = 1 });
        }
        RC_ASSERT(readers <= simultaneousCalls);
        RC_ASSERT(readers + toldBy.size() == addresses.size());
        for (const auto& [to, times] : toldBy)
            RC_ASSERT(times == 1);
    }));
}

TEST_CASE("a digest is split into datagrams that follow each other")
{
    // Guards against a lost datagram that goes unnoticed, and against datagrams beyond one packet.
    context_digest digest { .process = "front-hall-1-1764800000",
        .store = "10.9.0.1:8006",
        .since = 5,
        .batch = { .epoch = 77, .next = 300 } };
    for (std::uint64_t i = 0; i < 100; ++i)
        digest.batch.events.push_back({ .stored = i % 3 != 0,
            .scope = "model-name/7",
            .partId = "0123456789abcdef",
            .tokens = i % 3 != 0 ? 20'000 : 0,
            .number = 6 + 2 * i });
    std::uint64_t since = digest.since;
    std::size_t events = 0;
    for (const context_digest& piece : split(digest, 45)) {
        CHECK(piece.since == since);
        const std::string bytes = encode(piece);
        CHECK(bytes.size() <= 1400);
        const auto back = decodeContextDigest(bytes);
        REQUIRE(back);
        CHECK(back->batch.next == piece.batch.next);
        REQUIRE(back->batch.events.size() == piece.batch.events.size());
        for (std::size_t i = 0; i < back->batch.events.size(); ++i, ++events) {
            CHECK(back->batch.events[i].stored == digest.batch.events[events].stored);
            CHECK(back->batch.events[i].partId == digest.batch.events[events].partId);
            CHECK(back->batch.events[i].scope == digest.batch.events[events].scope);
            CHECK(back->batch.events[i].tokens == digest.batch.events[events].tokens);
        }
        since = piece.batch.next;
    }
    CHECK(since == digest.batch.next);
    CHECK(events == digest.batch.events.size());
}

TEST_CASE("a list is split into pieces that count only together")
{
    // Guards against a lost piece of a list that leaves parts unknown for good.
    context_digest list {
        .process = "p", .store = "s", .listPiece = 0, .batch = { .epoch = 1, .next = 500 }
    };
    for (int i = 0; i < 100; ++i)
        list.batch.events.push_back(
            { .stored = true, .scope = "s", .partId = "p" + std::to_string(i), .tokens = 10 });
    const std::vector<context_digest> pieces = split(list, 45);
    REQUIRE(pieces.size() == 3);
    for (int i = 0; i < 3; ++i) {
        const auto back = decodeContextDigest(encode(pieces[static_cast<std::size_t>(i)]));
        REQUIRE(back);
        CHECK(back->listPiece == i);
        CHECK(back->listEnds == (i == 2));
        CHECK(back->batch.next == 500);
    }
}

TEST_CASE("bytes that are no digest are told apart from one")
{
    // Guards against a foreign datagram that changes the catalog or ends the process.
    CHECK(rc::check("foreign datagram", [](const std::string& bytes) {
        RC_ASSERT(!decodeContextDigest(bytes));
        const auto marked = decodeContextDigest(std::string(1, contextDigestKind) + bytes);
        RC_ASSERT(!marked || bytes.size() > 8);
    }));
    // A list that goes on without being one would leave the receiver without the number of the next piece.
    const auto odd = decodeContextDigest(
        encode(context_digest { .process = "p", .store = "s", .listEnds = false, .batch = { .epoch = 1 } }));
    REQUIRE(odd);
    CHECK(odd->listEnds);
    const std::string good = encode(context_digest { .process = "p", .store = "s", .batch = { .epoch = 1 } });
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        CHECK_FALSE(decodeContextDigest(std::string_view(good).substr(0, cut)));
}
