#include "lease_fleet.h"

using namespace marigold;
using testing::lease_fleet;

namespace {

using namespace std::chrono_literals;

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
                        CHECK(fleet->sender());
                    }
}
