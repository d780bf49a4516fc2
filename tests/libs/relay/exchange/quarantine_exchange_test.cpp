#include "quarantine_fleet.h"

#include <support/store_view.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::relay;
using testing::fleet;
using testing::parts;
using testing::plain_decoder;
using testing::scenario;

namespace {

/// Bounds of the users: sends after the bound, and how often sound requests must begin.
constexpr int maxLateSends = 3;
constexpr double minSoundShare = 0.5;

void checkPromises(const scenario& s)
{
    CAPTURE(s.relays);
    CAPTURE(s.seed);
    fleet all(s);
    all.run();
    CAPTURE(all.endsByPart());
    CHECK(all.lateSends() <= maxLateSends);
    CHECK(all.soundShare() >= minSoundShare);
    CHECK(all.blockedSoundParts().empty());
}

/// Processes that reach each other through a store that returns from an older copy, and not by datagrams.
struct restored_fleet {
    struct decoder final : plain_decoder {
        base::result<state_item> decode(const platform::kv_entry& entry) const override
        {
            if (entry.key == "q/by-hand")
                return quarantine_entry { .key = entry.key,
                    .revision = entry.revision,
                    .operatorBlock = blocked_part { .part = "o", .with = { "o" } } };
            return entry.key.starts_with("q/") ? plain_decoder::decode(entry) : quarantine_entry {};
        }
    };
    struct process {
        testing::store_view view;
        part_quarantine quarantine;
        quarantine_exchange exchange;
        std::pair<std::uint64_t, std::uint64_t> told; ///< Era and revision of the latest snapshot.
        int sent = 0; ///< Trials of the part "x".

        process(restored_fleet& all, const std::string& name)
            : view(all.store)
            , quarantine(
                  all.clock, { .blocked = [this](const blocked_part& it) { exchange.partBlocked(it); } }, {})
            , exchange(quarantine, view, all.decoded, all.timers, all.clock, all.random,
                  [](const net::endpoint&, std::string_view) {}, { .process = name })
        {
            view.setEraObserver([this](std::uint64_t before, std::uint64_t) { exchange.eraRaised(before); });
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 1 };
    decoder decoded;
    std::vector<std::unique_ptr<process>> processes;
    bool areTrialsDue = false;
    int unblocked = 0; ///< Steps in which a process lacked the operator's block.

    void add(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            processes.push_back(std::make_unique<process>(*this, "p" + std::to_string(processes.size())));
    }

    void claim(process& by)
    {
        if (const auto number = by.quarantine.dueTrial("x"))
            by.exchange.claimTrial("x", *number, [&by](bool granted) { by.sent += granted ? 1 : 0; });
    }

    void read(process& by)
    {
        by.view.snapshot("q/", [this, &by](base::result<platform::kv_snapshot> found) {
            const std::pair state(by.view.era(), found ? found->revision : 0);
            if (!found || std::exchange(by.told, state) == state)
                return;
            std::vector<quarantine_entry> entries;
            for (const platform::kv_entry& entry : found->entries)
                entries.push_back(std::get<quarantine_entry>(*decoded.decode(entry)));
            by.exchange.snapshotRead(std::move(entries));
        });
    }

    void run(base::duration time)
    {
        for (base::duration passed {}; passed < time; passed += std::chrono::milliseconds(100)) {
            const auto now = clock.now().time_since_epoch() / std::chrono::milliseconds(100);
            for (std::size_t i = 0; i < processes.size(); ++i) {
                if ((now + static_cast<std::int64_t>(i)) % 3 == 0)
                    read(*processes[i]);
                if (areTrialsDue)
                    claim(*processes[i]);
            }
            timers.advance(std::chrono::milliseconds(100));
            for (const auto& item : processes)
                unblocked += item->quarantine.find(parts { "o" }) ? 0 : 1;
        }
    }

    std::size_t blocking(const std::string& part) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            processes, [&](const auto& item) { return item->quarantine.find(parts { part }) != nullptr; }));
    }
};

} // namespace

TEST_CASE("blocks and claims of trials hold though the store returns from an older copy")
{
    // Guards against entries that are ignored for their lower revisions, records on another process's lease,
    // and a trial that is claimed again since its claim is lost.
    for (const std::size_t count : { 3, 48, 370 })
        for (const bool isOlderThanBlock : { true, false })
            for (const std::uint64_t changes : { 0, 1, 1000 }) {
                CAPTURE(count);
                CAPTURE(isOlderThanBlock);
                CAPTURE(changes);
                restored_fleet f;
                f.store.stateEras();
                f.add(count);
                auto copy = f.store.state();
                f.store.put({ .key = "q/by-hand" }, [](const auto&) {});
                f.processes[0]->quarantine.blockReported({ .part = "x", .with = { "x" }, .ends = 9 });
                f.run(std::chrono::seconds(15));
                f.store.advanceRevision(40);
                REQUIRE(f.blocking("x") == count);
                f.run(std::chrono::seconds(20));
                f.unblocked = 0;
                if (!isOlderThanBlock)
                    copy = f.store.state();
                f.claim(*f.processes[1]);
                f.timers.advance(std::chrono::milliseconds(20));
                f.store.down = true;
                f.run(std::chrono::seconds(1));
                f.store.restore(copy);
                f.store.advanceRevision(changes == 0 ? 0 : 40 + changes);
                f.store.down = false;
                // Another client's lease gets a number that was given out before, and ends.
                f.store.grantLease(std::chrono::minutes(10), [](const auto&) {});
                f.run(std::chrono::milliseconds(400)); // Until each process has heard of the new era.
                f.areTrialsDue = true;
                f.run(std::chrono::milliseconds(1600));
                f.store.put({ .key = "q/by-hand" }, [](const auto&) {});
                f.processes[0]->quarantine.blockReported({ .part = "y", .with = { "y" }, .ends = 9 });
                f.run(std::chrono::seconds(14));
                f.store.revokeLease(copy.lastLease + 1, [](const auto&) {});
                f.add(1);
                f.run(std::chrono::seconds(1));
                CHECK(f.blocking("x") == count + 1);
                CHECK(f.blocking("y") == count + 1);
                CHECK(f.unblocked <= 4); // The process that has started has to read it.
                int sent = 0;
                for (const auto& item : f.processes)
                    sent += item->sent;
                CHECK(sent == 1);
            }
}

TEST_CASE(
    "processes of any number stop sending requests with a part that ends targets, and go on with the rest")
{
    // Guards against a part that ends target after target since each process has seen only one end, or none.
    struct row {
        std::string name;
        scenario faults;
    };
    const std::vector<row> rows {
        { "no faults", { .datagramLoss = 0 } },
        { "lost datagrams", { .datagramLoss = 0.5 } },
        { "no datagrams at all", { .datagramLoss = 1 } },
        { "a third cut off from the others", { .cutFromPeers = 0.34 } },
        { "a third cut off from the store", { .cutFromStore = 0.34 } },
        { "restarts", { .restarts = true } },
        { "store away", { .storeOutage = true } },
        { "sound before", { .turnsLate = true } },
        { "everything", { .datagramLoss = 0.3, .cutFromPeers = 0.2, .cutFromStore = 0.2, .restarts = true } },
        { "no such part", { .datagramLoss = 0.3, .hasCrashingPart = false, .restarts = true } },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        for (const int relays : { 1, 4, 40 }) {
            scenario s = item.faults;
            s.relays = relays;
            s.seed = 7 + static_cast<std::uint64_t>(relays);
            checkPromises(s);
        }
    }
}

TEST_CASE("a part that ends targets after some events is blocked, and sound streams that they cut are not")
{
    // Guards against an end that is no evidence since an event was out (review case 12), and against blocking
    // what streams share that ran in the middle when their targets ended, for whatever reason.
    struct row {
        std::string name;
        scenario faults;
    };
    const std::vector<row> rows {
        { "after the first event", { .crashEvents = 1, .streamEvents = 60 } },
        { "after some events", { .crashEvents = 7, .streamEvents = 60 } },
        { "after many events", { .crashEvents = 40, .streamEvents = 60 } },
        { "after some events, sound before", { .turnsLate = true, .crashEvents = 7, .streamEvents = 60 } },
        { "lost datagrams and restarts",
            { .datagramLoss = 0.5, .restarts = true, .crashEvents = 3, .streamEvents = 60 } },
        { "no such part, long streams", { .hasCrashingPart = false, .streamEvents = 500 } },
        { "no such part, ends all the time",
            { .hasCrashingPart = false, .streamEvents = 60, .endsPerSecond = 6 } },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        for (const int relays : { 4, 8, 24 }) {
            scenario s = item.faults;
            s.relays = relays;
            s.seed = 1 + static_cast<std::uint64_t>(relays);
            checkPromises(s);
        }
    }
}

TEST_CASE("ends under prompts of many parts reach the other processes")
{
    // Guards against records that the receivers refuse for their length, so that each process has to see the
    // ends itself (review case 14).
    for (const double datagramLoss : { 0.1, 1.0 }) {
        CAPTURE(datagramLoss);
        scenario s { .seed = 3, .datagramLoss = datagramLoss, .crashEvents = 1 };
        for (const int relays : { 4, 8, 24 }) {
            s.relays = relays;
            s.sessionParts = 70;
            checkPromises(s);
        }
        s.relays = 4;
        s.sessionParts = 1500; // More than a record may have.
        checkPromises(s);
    }
}

TEST_CASE(
    "targets that end by themselves leave each sound part unblocked whose streams they cut in the middle")
{
    // Guards against a part that is refused for a moment since its streams were at several ended targets.
    for (const int relays : { 4, 8, 24 })
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            CAPTURE(relays);
            CAPTURE(seed);
            fleet all({ .relays = relays,
                .seed = seed,
                .hasCrashingPart = false,
                .streamEvents = 500,
                .soundPages = 1000 });
            all.run();
            CHECK(all.everBlockedSoundParts().empty());
            CHECK(all.soundShare() == 1);
        }
}

TEST_CASE("four hundred processes keep the same bounds")
{
    // Guards against bounds that hold for each process and not for their sum.
    checkPromises({ .relays = 400,
        .seed = 5,
        .datagramLoss = 0.3,
        .cutFromPeers = 0.2,
        .cutFromStore = 0.2,
        .restarts = true });
}

TEST_CASE("small fleets keep the bounds under random faults")
{
    // Guards against an order of records, losses and restarts that nobody has thought of.
    CHECK(rc::check("bounds under faults", [] {
        const scenario s { .relays = *rc::gen::inRange(1, 25),
            .seed = *rc::gen::arbitrary<std::uint64_t>(),
            .datagramLoss = *rc::gen::inRange(0, 60) / 100.0,
            .cutFromPeers = *rc::gen::inRange(0, 40) / 100.0,
            .cutFromStore = *rc::gen::inRange(0, 40) / 100.0,
            .hasCrashingPart = *rc::gen::inRange(0, 4) > 0,
            .restarts = *rc::gen::arbitrary<bool>(),
            .storeOutage = *rc::gen::arbitrary<bool>(),
            .turnsLate = *rc::gen::arbitrary<bool>() };
        fleet all(s);
        all.run();
        RC_ASSERT(all.lateSends() <= maxLateSends);
        RC_ASSERT(all.soundShare() >= minSoundShare);
        RC_ASSERT(all.blockedSoundParts().empty());
    }));
}

TEST_CASE("only blocks that processes found are written to the store, also if their finder has not")
{
    // Guards against a block that outlives its withdrawal by an operator, and against one that is lost with
    // its finder.
    for (const bool byOperator : { true, false }) {
        CAPTURE(byOperator);
        base::manual_clock clock;
        base::manual_scheduler timers { clock };
        testing::fake_kv_store store { clock, timers };
        base::random_source random { 1 };
        const plain_decoder decoder;
        std::unique_ptr<quarantine_exchange> exchange;
        part_quarantine quarantine { clock,
            { .blocked = [&](const blocked_part& block) { exchange->partBlocked(block); } }, {} };
        exchange = std::make_unique<quarantine_exchange>(
            quarantine, store, decoder, timers, clock, random, [](const net::endpoint&, std::string_view) {},
            quarantine_exchange::options { .process = "p" });
        const blocked_part block { .part = "x", .with = { "x" }, .ends = 2, .targets = { "t" } };
        if (byOperator)
            exchange->stored({ .key = "by-hand", .revision = 1, .operatorBlock = block });
        else
            quarantine.blockReported(block);
        CHECK(quarantine.find(parts { "x" }));
        timers.advance(std::chrono::seconds(15));
        CHECK(store.entries.empty() == byOperator);
        exchange->withdrawn("by-hand");
        CHECK((quarantine.find(parts { "x" }) == nullptr) == byOperator);
    }
}

TEST_CASE("of several processes that claim the same trial, one may send a request")
{
    // Guards against a trial of each process, which would end a row of targets.
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 1 };
    const plain_decoder decoder;
    part_quarantine quarantine { clock, {}, {} };
    std::vector<std::unique_ptr<quarantine_exchange>> exchanges;
    int granted = 0;
    int decided = 0;
    for (const char* name : { "p", "q", "r" }) {
        exchanges.push_back(std::make_unique<quarantine_exchange>(
            quarantine, store, decoder, timers, clock, random, [](const net::endpoint&, std::string_view) {},
            quarantine_exchange::options { .process = name }));
        exchanges.back()->claimTrial("x", 0, [&](bool isGranted) {
            ++decided;
            granted += isGranted ? 1 : 0;
        });
    }
    timers.advance(std::chrono::seconds(1));
    CHECK(decided == 3);
    CHECK(granted == 1);
}

TEST_CASE("a block is passed on again and again while it is in force")
{
    // Guards against a process that has missed a block, or that knows better and is never asked.
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    store.down = true;
    base::random_source random { 1 };
    const plain_decoder decoder;
    part_quarantine quarantine { clock, {}, {} };
    int repeated = 0;
    quarantine_exchange exchange(quarantine, store, decoder, timers, clock, random,
        [&](const net::endpoint&, std::string_view bytes) {
            const auto batch = decodeQuarantineDatagram(bytes);
            repeated += batch && batch->records.at(0).sequence == 0 ? 1 : 0;
        },
        { .process = "p" });
    exchange.setPeers({ { "q", { .address = "10.0.0.1", .port = 1 } } });
    exchange.start();
    timers.advance(std::chrono::seconds(3));
    CHECK(repeated == 0);
    quarantine.blockReported({ .part = "x", .with = { "x" }, .ends = 2, .targets = { "t" } });
    timers.advance(std::chrono::seconds(3));
    CHECK(repeated >= 3);
}
