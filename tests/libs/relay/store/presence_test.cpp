#include <relay/store/presence.h>
#include <support/fake_kv_store.h>
#include <support/key_decoder.h>
#include <support/store_view.h>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;
using testing::kv_fault;

namespace {

const std::string process = "p0";

/// A process that registers in a store whose first calls have the given faults.
struct fixture {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    testing::key_decoder decoder;
    base::random_source random { 1 };
    presence registration { store, decoder, timers, clock, random, { .process = process } };
    std::optional<base::time_point> heldAt; ///< When the store last had the registration.
    /// Longest time for which the process took itself as known and the store had no registration.
    base::duration longestMissing { 0 };

    void run(base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        for (base::duration passed {}; passed < time; passed += step) {
            timers.advance(step);
            store.endExpiredLeases();
            const base::time_point now = clock.now();
            if (store.entries.contains(process))
                heldAt = now;
            if (registration.isKnownToOthers(maxRegistrationAge))
                longestMissing = std::max(longestMissing, now - heldAt.value_or(base::time_point {}));
        }
    }
};

/// Time within which a process that reaches the store is registered there.
constexpr base::duration registrationLimit = std::chrono::seconds(3);

/// Processes that register in one store, each of which learns of a new era and of its missing key from its
/// own replies.
struct fleet {
    struct member {
        testing::store_view view;
        base::random_source random;
        std::string key;
        presence registration;

        member(fleet& all, std::size_t number)
            : view(all.store)
            , random(number + 1)
            , key("p" + std::to_string(number) + ".")
            , registration(view, all.decoder, all.timers, all.clock, random, { .process = key })
        {
            view.setEraObserver(
                [this](std::uint64_t before, std::uint64_t) { registration.eraRaised(before); });
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    testing::key_decoder decoder;
    std::vector<std::unique_ptr<member>> members;
    int known = 0; ///< Steps in which a process that had heard of the era took itself as known without a key.
    std::size_t maxWrites = 0; ///< Most writes within a second, as the store's limit counts them.

    void start(std::size_t from, std::size_t to)
    {
        for (std::size_t i = from; i < to; ++i) {
            members.push_back(std::make_unique<member>(*this, i));
            timers.runAfter(std::chrono::milliseconds(i * 37 % 2000),
                [added = members.back().get()] { added->registration.start(); });
        }
        std::vector<std::string_view> ids;
        for (const auto& item : members)
            ids.push_back(item->key);
        for (const auto& item : members)
            item->registration.setProcesses(ids);
    }

    void run(base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        std::vector<std::size_t> written;
        maxWrites = 0;
        for (base::duration passed {}; passed < time; passed += step) {
            const auto now = clock.now().time_since_epoch() / step;
            for (std::size_t i = 0; i < members.size(); ++i)
                if ((now + static_cast<std::int64_t>(i)) % 30 == 0)
                    read(*members[i]);
            timers.advance(step);
            store.endExpiredLeases();
            for (const auto& item : members)
                known += item->registration.isKnownToOthers(maxRegistrationAge)
                        && item->view.era() == store.era() && !store.entries.contains(item->key)
                    ? 1
                    : 0;
            written.push_back(store.writes - store.renewals);
            const std::size_t second = std::min<std::size_t>(written.size(), 100);
            maxWrites = std::max(maxWrites, written.back() - written[written.size() - second]);
        }
    }

    void read(member& reader)
    {
        reader.view.snapshot(reader.key, [&reader](base::result<platform::kv_snapshot> found) {
            if (found && found->entries.empty())
                reader.registration.missingObserved(found->revision);
        });
    }

    /// Returns the number of processes whose key hangs on a lease of its own.
    std::size_t registered() const
    {
        std::set<std::uint64_t> leases;
        for (const auto& item : members)
            if (const auto found = store.entries.find(item->key); found != store.entries.end())
                leases.insert(found->second.lease);
        return leases.size();
    }
};

constexpr std::size_t maxWritesPerSecond = 400; ///< Of all processes; the store refuses more.

enum class lost {
    All, ///< The store returns from a copy from before the start of each process.
    Half, ///< From before the start of every second one.
    None, ///< From after the start; the leases in the copy are those of the processes.
    KeysOnly, ///< The keys are removed, the store goes on.
};

} // namespace

TEST_CASE("a registration whose first write is carried out late stays in the store")
{
    // Guards against a process that the others take as gone for good while it goes on: the holder of the
    // lease on orders then frees context that its requests are fetching.
    for (const auto late : { 100, 500, 1500, 3000, 5900, 8000 })
        for (const std::size_t callsBefore : { 1, 2, 3 }) {
            CAPTURE(late);
            CAPTURE(callsBefore);
            fixture f;
            f.store.lateBy = std::chrono::milliseconds(late);
            f.store.faults.assign(callsBefore, kv_fault::None);
            f.store.faults.push_back(kv_fault::LateEffect);
            f.registration.start();
            f.run(std::chrono::seconds(40));
            CHECK(f.store.entries.contains(process));
            CHECK(f.registration.isKnownToOthers(maxRegistrationAge));
            CHECK(f.longestMissing < maxRegistrationAge);
        }
}

TEST_CASE("a process that takes itself as known has its registration in the store, whatever calls fail")
{
    // Guards against faults of several calls in a row, such as a lost grant before a late write.
    CHECK(rc::check("faults", [] {
        fixture f;
        f.store.lateBy = std::chrono::milliseconds(*rc::gen::inRange(1, 7000));
        const auto faults = *rc::gen::container<std::vector<kv_fault>>(rc::gen::element(kv_fault::None,
            kv_fault::Unavailable, kv_fault::LostRequest, kv_fault::LostAnswer, kv_fault::LateEffect));
        f.store.faults.assign(faults.begin(), faults.end());
        f.registration.start();
        for (int rounds = 0; !f.store.faults.empty() && rounds < 1000; ++rounds)
            f.run(std::chrono::seconds(1));
        f.run(f.store.lateBy + registrationLimit);
        RC_ASSERT(f.longestMissing < maxRegistrationAge);
        f.run(std::chrono::seconds(20));
        RC_ASSERT(f.store.entries.contains(process));
        RC_ASSERT(f.registration.isKnownToOthers(maxRegistrationAge));
        RC_ASSERT(f.longestMissing < maxRegistrationAge);
    }));
}

TEST_CASE("a process registers anew after its lease has ended, and not once it has withdrawn")
{
    // Guards against a process that is not counted after an outage, and against one that is counted after its
    // end.
    fixture f;
    f.registration.start();
    f.run(std::chrono::seconds(1));
    REQUIRE(f.store.entries.contains(process));
    f.store.down = true;
    f.run(std::chrono::seconds(9));
    f.store.down = false;
    f.run(registrationLimit);
    CHECK(f.store.entries.contains(process));
    f.registration.withdraw();
    f.run(std::chrono::seconds(20));
    CHECK_FALSE(f.store.entries.contains(process));
}

TEST_CASE("each process is registered again on its own lease when the store returns from an older copy")
{
    // Guards against numbers of leases that are given out again: a renewal is answered for another process's
    // lease, and a late write of an earlier era puts the key on it.
    for (const std::size_t processes : { 3, 48, 370 })
        for (const lost copy : { lost::All, lost::Half, lost::None, lost::KeysOnly })
            for (const std::uint64_t changes : { 0, 1, 1000 })
                for (const int times : { 1, 2 }) {
                    CAPTURE(processes);
                    CAPTURE(static_cast<int>(copy));
                    CAPTURE(changes);
                    CAPTURE(times);
                    fleet f;
                    f.store.stateEras();
                    const auto empty = f.store.state();
                    f.start(0, processes / 2);
                    f.run(std::chrono::seconds(5));
                    const auto half = f.store.state();
                    f.start(processes / 2, processes);
                    f.run(std::chrono::seconds(5));
                    const auto full = f.store.state();
                    f.store.advanceRevision(40);
                    for (int i = 0; i < times; ++i) {
                        auto& cut = *f.members[processes / 3];
                        if (copy == lost::KeysOnly) {
                            for (const auto& item : f.members)
                                f.store.erase(item->key);
                            f.run(std::chrono::milliseconds(310)); // Until each process has read it.
                            f.known = 0;
                        } else {
                            cut.view.isCut = true;
                            f.store.down = true;
                            f.run(std::chrono::seconds(1));
                            const auto& used = copy == lost::All ? empty : copy == lost::Half ? half : full;
                            f.store.restore(used);
                            // Below, equal to and above the revision before.
                            f.store.advanceRevision(
                                changes == 0 ? 0 : full.revision + 39 - used.revision + changes);
                            f.store.down = false;
                            for (int late = 0; late < 20; ++late)
                                f.timers.runAfter(std::chrono::milliseconds(late * 100), [&f] {
                                    f.store.put({ .key = "p1.", .expectedRevision = 0, .lease = 1 },
                                        [](base::result<std::uint64_t>) {});
                                });
                        }
                        f.run(missingProcessGrace);
                        CHECK(f.registered() >= processes - 1);
                        CHECK(f.maxWrites <= maxWritesPerSecond);
                        cut.view.isCut = false;
                        f.run(missingProcessGrace);
                        CHECK(f.registered() == processes);
                    }
                    const std::size_t before = f.store.writes;
                    f.run(std::chrono::seconds(8));
                    CHECK(f.store.writes - before <= 4 * processes); // Renewals.
                    CHECK(f.registered() == processes);
                    CHECK(f.known == 0);
                    for (const auto& item : f.members)
                        CHECK(item->registration.isKnownToOthers(maxRegistrationAge));
                }
}
