#include <relay/orders/order_lease_holder.h>
#include <support/fake_kv_store.h>
#include <support/key_decoder.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;
using testing::kv_fault;

namespace {

/// Processes that compete for the lease. As with a watch, they are told of the holder only when it changes.
struct fixture {
    static constexpr base::duration watchInterval = std::chrono::milliseconds(300);

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::event_log log { { .output = [](std::string_view) {} } };
    testing::key_decoder decoder;
    std::vector<std::unique_ptr<base::random_source>> random;
    std::vector<std::unique_ptr<order_lease_holder>> holders;
    std::optional<std::uint64_t> observed; ///< Revision of the holder's entry; 0 if there was none.
    /// Longest time for which a process took itself as the holder and the store had no lease of it.
    base::duration longestUnfounded { 0 };
    base::duration unfounded { 0 };
    std::map<std::uint64_t, std::size_t> holderOfToken;
    int sharedTokens = 0; ///< Steps in which a process could order with the token of another one.

    fixture(int count, std::vector<kv_fault> faults)
    {
        for (int i = 0; i < count; ++i) {
            random.push_back(std::make_unique<base::random_source>(i + 1));
            holders.push_back(std::make_unique<order_lease_holder>(store, decoder, timers, clock,
                *random.back(), log, order_lease_holder::options { .process = "p" + std::to_string(i) }));
        }
        store.faults.assign(faults.begin(), faults.end());
    }

    void observe()
    {
        const auto entry = store.entries.find("lease");
        const std::uint64_t revision = entry == store.entries.end() ? 0 : entry->second.revision;
        if (observed == revision)
            return;
        observed = revision;
        std::optional<order_lease> current;
        if (revision != 0)
            current = order_lease { .holder = entry->second.value,
                .createdRevision = entry->second.createdRevision };
        for (const auto& holder : holders)
            holder->leaseObserved(current, store.revision());
    }

    bool hasLease(std::size_t number) const
    {
        const auto entry = store.entries.find("lease");
        return entry != store.entries.end() && entry->second.value == "p" + std::to_string(number)
            && entry->second.createdRevision == holders[number]->token();
    }

    bool someoneOrders() const
    {
        return std::ranges::any_of(holders, [](const auto& holder) { return holder->mayOrder(); });
    }

    void run(base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        for (base::duration passed {}; passed < time; passed += step) {
            if (clock.now().time_since_epoch() % watchInterval < step)
                observe();
            timers.advance(step);
            store.endExpiredLeases();
            bool isFounded = true;
            for (std::size_t i = 0; i < holders.size(); ++i) {
                if (!holders[i]->mayOrder())
                    continue;
                isFounded = isFounded && hasLease(i);
                sharedTokens += holderOfToken.emplace(holders[i]->token(), i).first->second == i ? 0 : 1;
            }
            unfounded = isFounded ? base::duration::zero() : unfounded + step;
            longestUnfounded = std::max(longestUnfounded, unfounded);
        }
    }
};

/// Time within which a process takes a lease that is free, in a store that answers.
constexpr base::duration takingLimit = std::chrono::seconds(3);

} // namespace

TEST_CASE("a lease whose write or look-up fails is competed for again, though nothing changes in the store")
{
    // Guards against relays that order nothing for good since the store refused one write of each.
    for (const int processes : { 1, 2, 4 })
        for (const kv_fault fault :
            { kv_fault::Unavailable, kv_fault::LostRequest, kv_fault::LostAnswer, kv_fault::LateEffect })
            for (std::size_t callsBefore = 0; callsBefore < 8; ++callsBefore)
                for (const std::size_t faults : { 1, 2, 8 }) {
                    CAPTURE(processes);
                    CAPTURE(static_cast<int>(fault));
                    CAPTURE(callsBefore);
                    CAPTURE(faults);
                    std::vector<kv_fault> list(callsBefore, kv_fault::None);
                    list.insert(list.end(), faults, fault);
                    fixture f(processes, std::move(list));
                    for (int i = 0; i < 40 && !f.store.faults.empty(); ++i)
                        f.run(std::chrono::milliseconds(500));
                    f.run(f.store.lateBy + takingLimit);
                    CHECK(f.someoneOrders());
                    CHECK(f.longestUnfounded == base::duration::zero());
                    CHECK(f.sharedTokens == 0);
                }
}

TEST_CASE("processes that lose the competition for the lease leave the store alone")
{
    // Guards against a large fleet that exceeds the rate of the store with attempts until each process has
    // read who holds the lease.
    constexpr std::size_t processes = 300;
    fixture f(processes, {});
    f.observe();
    for (int i = 0; i < 300; ++i)
        f.timers.advance(std::chrono::milliseconds(10)); // The watch tells nothing meanwhile.
    CHECK(f.someoneOrders());
    constexpr std::size_t callsPerAttempt = 2;
    constexpr std::size_t renewals = 6;
    CHECK(f.store.writes <= callsPerAttempt * processes + renewals);
}

TEST_CASE("a holder whose key has gone from the store stops ordering, though its lease is renewed")
{
    // Guards against a process that orders without a key while another one takes the lease.
    for (const int processes : { 1, 3 }) {
        CAPTURE(processes);
        fixture f(processes, {});
        f.run(std::chrono::seconds(2));
        REQUIRE(f.someoneOrders());
        f.store.erase("lease");
        f.run(std::chrono::seconds(5));
        CHECK(f.someoneOrders());
        CHECK(f.longestUnfounded <= fixture::watchInterval);
    }
}

TEST_CASE("a late write of the lease does not count as taken under another lease")
{
    // Guards against a process that goes on ordering after the key, which hangs on an earlier lease, has
    // gone.
    for (int late = 10; late < 1500; late += 10) {
        CAPTURE(late);
        fixture f(1,
            { kv_fault::None, kv_fault::LateEffect, kv_fault::None, kv_fault::None, kv_fault::LostRequest });
        f.store.lateBy = std::chrono::milliseconds(late);
        f.run(std::chrono::seconds(6));
        CHECK(f.someoneOrders());
        CHECK(f.longestUnfounded == base::duration::zero());
    }
}

TEST_CASE("a process that orders has the lease in the store, whatever calls fail")
{
    // Guards against two holders: a late write that counts as taken under a lease that it does not hang on.
    CHECK(rc::check("faults of the lease", [] {
        const auto faults
            = *rc::gen::container<std::vector<kv_fault>>(rc::gen::element(kv_fault::None, kv_fault::None,
                kv_fault::Unavailable, kv_fault::LostRequest, kv_fault::LostAnswer, kv_fault::LateEffect));
        fixture f(*rc::gen::inRange(1, 4), faults);
        f.store.lateBy = std::chrono::milliseconds(*rc::gen::inRange(1, 2500));
        for (int i = 0; i < 1000 && !f.store.faults.empty(); ++i)
            f.run(std::chrono::milliseconds(500));
        f.run(f.store.lateBy + takingLimit);
        RC_ASSERT(f.someoneOrders());
        f.run(std::chrono::seconds(5));
        RC_ASSERT(f.someoneOrders());
        RC_ASSERT(f.longestUnfounded == base::duration::zero());
        RC_ASSERT(f.sharedTokens == 0);
    }));
}
