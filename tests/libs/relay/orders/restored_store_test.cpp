#include <relay/orders/order_lease_holder.h>
#include <support/key_decoder.h>
#include <support/store_view.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::relay;

namespace {

using namespace std::chrono_literals;

/// Processes that compete for the lease in a store that returns from a copy. Each one reads the holder for
/// itself, and so learns of a new era from its own replies.
struct lease_fleet {
    struct process {
        testing::store_view view;
        base::random_source random;
        order_lease_holder holder;
        std::optional<std::pair<std::uint64_t, std::uint64_t>> told; ///< Era and revision of the key.

        process(lease_fleet& fleet, std::size_t number)
            : view(fleet.store)
            , random(number + 1)
            , holder(view, fleet.decoder, fleet.timers, fleet.clock, random, fleet.log,
                  { .process = "p" + std::to_string(number) })
        {
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    base::event_log log { { .output = [](std::string_view) {} } };
    testing::key_decoder decoder;
    std::vector<std::unique_ptr<process>> processes;
    std::map<std::uint64_t, std::size_t> holderOfToken;
    std::uint64_t highest = 0;
    int sharedTokens = 0; ///< Tokens with which a second process could order.
    int lowerTokens = 0; ///< Steps in which a process could order with a token below an earlier one.
    int sendersAtOnce = 0; ///< Most processes that could order at one time.
    base::time_point orderedAt {};

    explicit lease_fleet(std::size_t count)
    {
        store.stateEras();
        for (std::size_t i = 0; i < count; ++i)
            processes.push_back(std::make_unique<process>(*this, i));
    }

    void read(process& reader)
    {
        reader.view.get("lease", [this, &reader](base::result<std::optional<platform::kv_entry>> entry) {
            if (!entry)
                return;
            const std::pair state(reader.view.era(), *entry ? (*entry)->revision : 0);
            if (std::exchange(reader.told, state) == state)
                return;
            std::optional<order_lease> current;
            if (*entry)
                current
                    = order_lease { .holder = (*entry)->value, .createdRevision = (*entry)->createdRevision };
            reader.holder.leaseObserved(current, store.revision());
        });
    }

    void check()
    {
        int senders = 0;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const order_lease_holder& holder = processes[i]->holder;
            if (!holder.mayOrder())
                continue;
            ++senders;
            orderedAt = clock.now();
            sharedTokens += holderOfToken.emplace(holder.token(), i).first->second == i ? 0 : 1;
            lowerTokens += holder.token() < highest ? 1 : 0;
            highest = std::max(highest, holder.token());
        }
        sendersAtOnce = std::max(sendersAtOnce, senders);
    }

    void run(base::duration time)
    {
        constexpr base::duration step = 10ms;
        constexpr int stepsPerRead = 30;
        for (base::duration passed {}; passed < time; passed += step) {
            const auto now = clock.now().time_since_epoch() / step;
            for (std::size_t i = 0; i < processes.size(); ++i)
                if ((now + static_cast<std::int64_t>(i)) % stepsPerRead == 0)
                    read(*processes[i]);
            timers.advance(step);
            store.endExpiredLeases();
            check();
        }
    }

    process* sender()
    {
        const auto found
            = std::ranges::find_if(processes, [](const auto& item) { return item->holder.mayOrder(); });
        return found == processes.end() ? nullptr : found->get();
    }
};

enum class copied {
    BeforeLease, ///< The copy has no key of the lease.
    FormerLease, ///< It has the key of an earlier holder.
};
enum class next_revision { Below, Equal, Above }; ///< Of the next key, compared with that of the latest one.

struct drill {
    std::size_t processes;
    copied copy;
    next_revision next;
    int times;
    bool cutHolder; ///< The holder hears nothing of the store from before the drill until after it.
};

/// Plays \a played and returns the fleet at its end.
std::unique_ptr<lease_fleet> play(const drill& played)
{
    auto fleet = std::make_unique<lease_fleet>(played.processes);
    auto copy = fleet->store.state();
    fleet->run(2s);
    REQUIRE(fleet->sender());
    if (played.copy == copied::FormerLease)
        copy = fleet->store.state();
    fleet->store.advanceRevision(50);
    auto* former = fleet->sender();
    former->view.isCut = true;
    fleet->run(3s);
    former->view.isCut = false;
    fleet->run(1s);
    for (int i = 0; i < played.times; ++i) {
        auto* holder = fleet->sender();
        REQUIRE(holder);
        const std::uint64_t token = fleet->store.entries.at("lease").createdRevision;
        holder->view.isCut = played.cutHolder;
        fleet->store.down = true;
        fleet->run(500ms);
        fleet->store.restore(copy);
        // The end of the lease in the copy is a change as well.
        const std::uint64_t ended = played.copy == copied::FormerLease ? 1 : 0;
        if (played.next != next_revision::Below)
            fleet->store.advanceRevision(token - copy.revision - ended - 1);
        if (played.next == next_revision::Above)
            fleet->store.advanceRevision(200);
        fleet->store.down = false;
        fleet->run(2s);
        holder->view.isCut = false;
        fleet->run(3s);
    }
    return fleet;
}

} // namespace

TEST_CASE("no two processes order under one fencing token though the store returns from an older copy")
{
    // Guards against revisions and numbers of leases that are given out again (users' rule ONE).
    for (const std::size_t processes : { 3, 48, 370 })
        for (const copied copy : { copied::BeforeLease, copied::FormerLease })
            for (const next_revision next :
                { next_revision::Below, next_revision::Equal, next_revision::Above })
                for (const int times : { 1, 2 })
                    for (const bool cutHolder : { false, true }) {
                        CAPTURE(processes);
                        CAPTURE(static_cast<int>(copy));
                        CAPTURE(static_cast<int>(next));
                        CAPTURE(times);
                        CAPTURE(cutHolder);
                        const auto fleet = play({ processes, copy, next, times, cutHolder });
                        CHECK(fleet->sharedTokens == 0);
                        CHECK(fleet->lowerTokens == 0);
                        CHECK(fleet->sendersAtOnce <= 1);
                        // Orders get through again within the time limit of new weights.
                        CHECK(fleet->orderedAt == fleet->clock.now());
                    }
}
