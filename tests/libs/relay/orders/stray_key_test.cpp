#include <relay/orders/order_lease_holder.h>
#include <support/key_decoder.h>
#include <support/store_view.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::relay;
using testing::kv_fault;

namespace {

using namespace std::chrono_literals;

constexpr base::duration registrationTime = std::chrono::minutes(10);

/// Processes that compete for the lease, in a store whose changes and late writes the test plays by hand.
struct lease_fleet {
    struct process {
        testing::store_view view;
        base::random_source random;
        order_lease_holder holder;
        std::optional<std::pair<std::uint64_t, std::uint64_t>> told; ///< Era and revision of the key.

        process(lease_fleet& fleet, std::size_t number, base::duration takeoverDelay)
            : view(fleet.store)
            , random(number + 1)
            , holder(view, fleet.decoder, fleet.timers, fleet.clock, random, fleet.log,
                  { .process = "p" + std::to_string(number),
                      .takeoverDelay = takeoverDelay,
                      .renewsLease = [&fleet, number](std::uint64_t lease) {
                          return number == 1 && lease == fleet.registration;
                      } })
        {
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::event_log log { { .output = [](std::string_view) {} } };
    testing::key_decoder decoder;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<bool> isStopped;
    std::uint64_t registration = 0; ///< Lease that the second process renews.
    /// Shortest time between the end of one process's time to order and the begin of another one's.
    std::optional<base::duration> shortestGap;
    std::optional<std::size_t> lastSender;
    base::time_point lastSentAt {};

    explicit lease_fleet(std::size_t count, base::duration takeoverDelay = 0ms)
        : isStopped(count)
    {
        store.stateEras();
        for (std::size_t i = 0; i < count; ++i)
            processes.push_back(std::make_unique<process>(*this, i, takeoverDelay));
    }

    /// Reads as the follower of the state does: the state once in each era, and then all changes.
    void read(process& reader)
    {
        if (!reader.told || reader.told->first != reader.view.era())
            return reader.view.snapshot("lease", [&reader](base::result<platform::kv_snapshot> state) {
                if (!state)
                    return;
                reader.told = std::pair(reader.view.era(), state->revision);
                tell(reader, state->entries);
            });
        reader.view.watch("lease", reader.told->second, 1ms,
            [&reader, told = *reader.told](base::result<platform::kv_watch_batch> batch) {
                if (!batch || reader.told != told)
                    return;
                reader.told->second = batch->revision;
                if (!batch->changes.empty() || !batch->removals.empty())
                    tell(reader, batch->changes);
            });
    }

    static void tell(process& reader, const std::vector<platform::kv_entry>& present)
    {
        std::optional<order_lease> current;
        if (!present.empty())
            current = order_lease { .holder = present[0].value,
                .createdRevision = present[0].createdRevision,
                .lease = present[0].lease };
        reader.holder.leaseObserved(current, reader.told->second);
    }

    void run(base::duration time)
    {
        constexpr base::duration step = 1ms;
        constexpr int stepsPerRead = 300;
        for (base::duration passed {}; passed < time; passed += step) {
            const auto now = clock.now().time_since_epoch() / step;
            for (std::size_t i = 0; i < processes.size(); ++i)
                if (!isStopped[i] && (now + static_cast<std::int64_t>(i) * 37) % stepsPerRead == 0)
                    read(*processes[i]);
            timers.advance(step);
            store.endExpiredLeases();
            for (std::size_t i = 0; i < processes.size(); ++i)
                if (!isStopped[i] && processes[i]->holder.mayOrder()) {
                    if (lastSender && *lastSender != i) {
                        const base::duration gap = clock.now() - lastSentAt;
                        shortestGap = std::min(shortestGap.value_or(gap), gap);
                    }
                    lastSender = i;
                    lastSentAt = clock.now();
                }
        }
    }

    /// Runs until \a competitor, which has not yet heard of the present era, has asked for a lease in it.
    void runUntilAttempt(const process& competitor)
    {
        while (competitor.view.era() != store.era() || competitor.holder.token() != 0)
            run(1ms);
        const std::size_t writesBefore = store.writes;
        while (store.writes == writesBefore)
            run(1ms);
    }

    bool runUntilSender(base::duration limit)
    {
        for (base::duration passed {}; passed < limit; passed += 10ms) {
            run(10ms);
            if (sender())
                return true;
        }
        return false;
    }

    process* sender()
    {
        for (std::size_t i = 0; i < processes.size(); ++i)
            if (!isStopped[i] && processes[i]->holder.mayOrder())
                return processes[i].get();
        return nullptr;
    }

    /// Carries a write of \a holder's key out now, under the lease \a lease.
    void writeLate(const std::string& holder, std::uint64_t lease)
    {
        store.put({ .key = "lease", .value = holder, .expectedRevision = 0, .lease = lease },
            [](base::result<std::uint64_t> written) { REQUIRE(written); });
    }

    std::uint64_t grantRegistration()
    {
        std::uint64_t lease = 0;
        store.grantLease(registrationTime, [&](base::result<std::uint64_t> granted) { lease = *granted; });
        timers.advance(store.delay);
        REQUIRE(lease != 0);
        return lease;
    }
};

/// A fleet of two whose first process had a lease of the first era, the number of which is a registration of
/// another process in the second era. Neither process has the key.
std::unique_ptr<lease_fleet> restoredFleet(std::uint64_t& registration)
{
    auto fleet = std::make_unique<lease_fleet>(2);
    const auto copy = fleet->store.state();
    fleet->processes[1]->view.isCut = true;
    REQUIRE(fleet->runUntilSender(2s));
    fleet->processes[0]->view.isCut = true;
    fleet->run(2s);
    fleet->store.restore(copy);
    registration = fleet->grantRegistration();
    return fleet;
}

} // namespace

TEST_CASE("a look-up after a lost reply does not take a key on the lease of another process for its own")
{
    // Guards against orders that nobody can send: the key of a stopped process on somebody's registration.
    std::uint64_t registration = 0;
    const auto fleet = restoredFleet(registration);
    auto& first = *fleet->processes[0];
    first.view.isCut = false;
    fleet->runUntilAttempt(first);
    const std::size_t writes = fleet->store.writes - 1;
    // The grant is under way; its reply sends the write, which has no effect and no reply. The late write of
    // the former era is carried out before that.
    fleet->store.faults = { kv_fault::LostRequest };
    while (fleet->store.writes < writes + 2)
        fleet->run(1ms);
    REQUIRE(fleet->store.faults.empty());
    fleet->writeLate("p0", registration);
    fleet->run(3s);
    first.holder.release();
    fleet->isStopped[0] = true;
    fleet->processes[1]->view.isCut = false;
    CHECK(fleet->runUntilSender(20s));
}

TEST_CASE("a key of an earlier era that was seen during an attempt is removed after its conflict")
{
    // Guards against orders that nobody sends while the process that could remove the key lives.
    std::uint64_t registration = 0;
    const auto fleet = restoredFleet(registration);
    auto& first = *fleet->processes[0];
    first.view.isCut = false;
    fleet->runUntilAttempt(first);
    // The late write is carried out just before the write of this attempt, and a watch tells of it before
    // the reply to that write.
    const std::size_t writes = fleet->store.writes;
    fleet->timers.advance(1ms);
    fleet->writeLate("p0", registration);
    while (!fleet->store.entries.contains("lease"))
        fleet->timers.advance(100us);
    REQUIRE(fleet->store.writes == writes + 2); // The late one and that of the attempt.
    const platform::kv_entry& stray = fleet->store.entries.at("lease");
    first.holder.leaseObserved(
        order_lease { .holder = stray.value, .createdRevision = stray.createdRevision }, stray.revision);
    first.told = std::pair(first.view.era(), stray.revision);
    fleet->run(20s);
    const auto entry = fleet->store.entries.find("lease");
    CHECK((entry == fleet->store.entries.end() || entry->second.lease != registration));
    fleet->processes[1]->view.isCut = false;
    CHECK(fleet->runUntilSender(20s));
}

TEST_CASE("after a new era, a holder waits for orders of the former one as it does otherwise")
{
    // Guards against a lower token after a higher one at a target that doesn't check tokens.
    constexpr base::duration delay = 3s; // The default of the relay.
    for (const bool isDrill : { false, true }) {
        CAPTURE(isDrill);
        lease_fleet fleet(3, delay);
        const auto copy = fleet.store.state();
        REQUIRE(fleet.runUntilSender(9s));
        auto* former = fleet.sender();
        fleet.run(3s);
        // Cut off right after a renewal that was answered.
        fleet.run(100ms);
        const std::size_t writes = fleet.store.writes;
        while (fleet.store.writes == writes)
            fleet.run(1ms);
        fleet.run(5ms);
        former->view.isCut = true;
        if (isDrill) {
            fleet.store.restore(copy);
            fleet.store.advanceRevision(1000);
        }
        fleet.run(12s);
        REQUIRE(fleet.sender());
        REQUIRE(fleet.sender() != former);
        REQUIRE(fleet.shortestGap);
        CHECK(*fleet.shortestGap >= delay);
    }
}

TEST_CASE("a process that stops while its write is under way does not order afterwards")
{
    // Guards against orders under a lease that the process has ended.
    lease_fleet fleet(1);
    fleet.store.stateEras(0); // Else the wait after a new era hides it.
    const std::size_t writes = fleet.store.writes;
    while (fleet.store.writes < writes + 2)
        fleet.run(1ms);
    fleet.processes[0]->holder.release();
    bool hasOrdered = false;
    for (int i = 0; i < 2000; ++i) {
        fleet.run(1ms);
        hasOrdered = hasOrdered || fleet.processes[0]->holder.mayOrder();
    }
    CHECK_FALSE(hasOrdered);
}

TEST_CASE("a key of an earlier era that appears while another one is removed is removed as well")
{
    // Guards against orders that nobody can send for as long as the process lives on whose lease the key
    // hangs.
    std::uint64_t registration = 0;
    const auto fleet = restoredFleet(registration);
    auto& first = *fleet->processes[0];
    fleet->writeLate("p0", registration);
    fleet->run(3ms);
    first.view.isCut = false;
    fleet->read(first); // Tells the era.
    fleet->timers.advance(3ms);
    fleet->read(first);
    fleet->store.delay = 500ms; // Of the removal, which the reply to this read causes.
    fleet->timers.advance(5ms);
    fleet->store.delay = 2ms;
    // Another late write, after the end of the key that was there.
    fleet->store.erase("lease");
    fleet->writeLate("p0", registration);
    fleet->run(3ms);
    fleet->read(first);
    fleet->run(10s);
    const auto entry = fleet->store.entries.find("lease");
    CHECK((entry == fleet->store.entries.end() || entry->second.lease != registration));
}

TEST_CASE("the key of a dead process on another process's registration does not stop all orders")
{
    // Guards against a write that outlives its process and an era, under a lease that is another one's by
    // then.
    std::uint64_t registration = 0;
    const auto fleet = restoredFleet(registration);
    fleet->registration = registration;
    fleet->isStopped[0] = true;
    fleet->writeLate("p0", registration);
    fleet->processes[1]->view.isCut = false;
    CHECK(fleet->runUntilSender(60s));
}
