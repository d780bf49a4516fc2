#include <relay/state_follower.h>
#include <support/fake_kv_store.h>

#include <doctest/doctest.h>

#include <set>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;

namespace {

/// Every key under "t/" is a target whose service is the value; the value "bad" cannot be read.
class plain_decoder final : public state_decoder {
public:
    base::result<state_item> decode(const platform::kv_entry& entry) const override
    {
        if (entry.value == "bad")
            return base::notRun(base::error_reason::InvalidRequest, "bad value");
        return target_registration { .id = entry.key, .service = entry.value };
    }
    state_item removed(std::string_view key) const override
    {
        return target_registration { .id = std::string(key) };
    }
    std::string processKey(std::string_view id) const override { return "p/" + std::string(id); }
    std::string orderLeaseKey() const override { return "lease"; }
};

/// Keeps the state as a process would.
struct recorder final : state_observer {
    std::map<std::string, std::string> held;
    base::clock& clock;
    base::time_point lastChange {};

    explicit recorder(base::clock& time)
        : clock(time)
    {
    }

    void changed(const state_item& item) override
    {
        if (const auto* target = std::get_if<target_registration>(&item)) {
            held[target->id] = target->service;
            lastChange = clock.now();
        }
    }
    void removed(const state_item& item) override
    {
        if (const auto* target = std::get_if<target_registration>(&item))
            held.erase(target->id);
    }
    void replaced(const std::vector<state_item>& present) override
    {
        held.clear();
        for (const state_item& item : present)
            changed(item);
    }
};

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::random_source random { 1 };
    base::event_log log { { .output = [](std::string_view) {} } };
    plain_decoder decoder;
    recorder seen { clock };
    state_follower follower { store, decoder, timers, clock, random, log, seen, {} };

    void write(const std::string& key, const std::string& value)
    {
        store.put({ .key = key, .value = value }, [](base::result<std::uint64_t>) {});
    }
    void run(base::duration time)
    {
        constexpr base::duration step { 5000 };
        for (base::duration passed {}; passed < time; passed += step)
            timers.advance(step);
    }
};

} // namespace

TEST_CASE("a change is known within the time that a configuration has")
{
    // Guards against a silent watch or a lost history that leaves a process on an old configuration (seen as
    // CONFIG on a day on which the store forgot its history while a watch with a patience of 10 s waited).
    constexpr base::duration configLimit = std::chrono::seconds(2);
    for (const bool silent : { false, true }) {
        for (const bool lost : { false, true }) {
            CAPTURE(silent);
            CAPTURE(lost);
            world w;
            w.store.silentWatches = silent ? 1 : 0;
            w.follower.start();
            w.run(std::chrono::milliseconds(20));
            w.store.historyLost = lost;
            w.write("t/a", "new");
            const base::time_point written = w.clock.now();
            w.run(configLimit);
            REQUIRE(w.seen.held.contains("t/a"));
            CHECK(w.seen.lastChange - written <= configLimit);
        }
    }
}

TEST_CASE("a store that is away leaves the last known state in force")
{
    // Guards against a process that forgets its targets with the store, or never returns to it.
    world w;
    w.write("t/a", "one");
    w.run(std::chrono::milliseconds(10));
    w.follower.start();
    w.run(std::chrono::seconds(1));
    w.store.down = true;
    w.run(std::chrono::seconds(20));
    CHECK(w.seen.held.contains("t/a"));
    CHECK_FALSE(w.follower.isReachable());
    w.store.down = false;
    w.write("t/b", "two");
    w.run(std::chrono::seconds(2));
    CHECK(w.seen.held.contains("t/b"));
    CHECK(w.follower.isReachable());
}

TEST_CASE("an entry that cannot be read names nothing to use")
{
    // Guards against a target that stays in use after another writer has spoilt its entry.
    world w;
    w.write("t/a", "one");
    w.write("t/b", "one");
    w.run(std::chrono::milliseconds(10));
    w.follower.start();
    w.run(std::chrono::seconds(1));
    w.write("t/a", "bad");
    w.run(std::chrono::seconds(2));
    CHECK_FALSE(w.seen.held.contains("t/a"));
    CHECK(w.seen.held.contains("t/b"));
}

TEST_CASE("whatever the store does, the state is the store's in the end")
{
    // Guards against lost removals and changes across faults, restarts of the watch and lost history.
    CHECK(rc::check("follower", [] {
        world w;
        w.follower.start();
        std::map<std::string, std::string> wanted;
        for (int i = 0; i < 25; ++i) {
            const std::string key = "t/" + std::to_string(*rc::gen::inRange(0, 5));
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                if (w.store.entries.contains(key))
                    w.store.erase(key);
                break;
            case 1:
                w.store.historyLost = true;
                break;
            case 2:
                w.store.silentWatches = 1;
                break;
            case 3:
                w.store.faults.push_back(testing::kv_fault::LostRequest);
                break;
            default:
                w.write(key, std::to_string(i));
            }
            w.run(base::duration(*rc::gen::inRange(0, 900'000)));
        }
        w.store.faults.clear();
        w.run(std::chrono::seconds(8));
        for (const auto& [key, entry] : w.store.entries)
            wanted[key] = entry.value;
        RC_ASSERT(w.seen.held == wanted);
    }));
}
