#include <relay/store/presence.h>
#include <support/fake_kv_store.h>
#include <support/key_decoder.h>

#include <doctest/doctest.h>

#include <optional>

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
    presence registration { store, decoder, timers, clock, { .process = process } };
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
