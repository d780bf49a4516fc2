#include "test_fleet.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;
using marigold::testing::test_fleet;
using std::chrono::seconds;

namespace {

/// Maximum time from the end of a fault until all members agree: twice the sum of a probe round and the
/// suspicion timeout.
constexpr seconds agreementBound { 60 };

void startDomains(test_fleet& fleet, int domains, int size)
{
    for (int d = 0; d < domains; ++d)
        for (int i = 0; i < size; ++i)
            fleet.start("hall-" + std::string(1, static_cast<char>('a' + d)), i);
}

std::string idOf(int domain, int number)
{
    return "10." + std::to_string(domain) + ".0." + std::to_string(number) + ":7400";
}

} // namespace

TEST_CASE("under loss, duplication and delay, live members stay or rejoin and dead members are removed")
{
    // Guards against a fleet that shrinks under packet loss, and against work for a process that has ended.
    CHECK(rc::check("faults", [] {
        test_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        fleet.net.loss = 0.01 * *rc::gen::inRange(0, 20);
        fleet.net.duplication = 0.01 * *rc::gen::inRange(0, 20);
        fleet.net.jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 150));
        startDomains(fleet, 1, 8);
        fleet.run(seconds(20));
        fleet.stop(idOf(0, *rc::gen::inRange(0, 4)));
        fleet.start("hall-a", *rc::gen::inRange(4, 8));
        fleet.run(seconds(20));
        for (const auto& [id, process] : fleet.processes)
            for (const auto& [other, peer] : fleet.processes)
                RC_ASSERT(process->members.table().find(other) != nullptr);
        fleet.net.loss = 0;
        fleet.run(agreementBound);
        RC_ASSERT(fleet.processes.size() == 7U);
        RC_ASSERT(fleet.agrees());
    }));
}

TEST_CASE("no side of a partition removes its own members, and both sides agree after it")
{
    // Guards against two sides that remove each other and then continue with half of the targets.
    CHECK(rc::check("partition", [] {
        test_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        startDomains(fleet, 1, 9);
        fleet.run(seconds(10));
        RC_ASSERT(fleet.agrees());
        const int cut = *rc::gen::inRange(1, 9);
        const auto side = [cut](const std::string& id) { return id < idOf(0, cut); };
        fleet.net.passes
            = [side](const std::string& from, const std::string& to) { return side(from) == side(to); };
        fleet.run(seconds(*rc::gen::inRange(5, 120)));
        bool oneSideKeepsAll = false;
        for (const auto& [id, process] : fleet.processes) {
            bool keepsAll = true;
            for (const auto& [other, peer] : fleet.processes) {
                // The own side stays alive; a minority does not remove the members of the other side.
                if (side(id) == side(other))
                    RC_ASSERT(process->members.stateOf(other) == member_state::Alive);
                keepsAll = keepsAll && process->members.stateOf(other) != member_state::Dead;
            }
            const int own = side(id) ? cut : 9 - cut;
            RC_ASSERT((own > 4 || keepsAll));
            oneSideKeepsAll = oneSideKeepsAll || keepsAll;
        }
        RC_ASSERT(oneSideKeepsAll);
        fleet.net.passes = nullptr;
        fleet.run(agreementBound);
        RC_ASSERT(fleet.agrees());
    }));
}

TEST_CASE("a paused process rejoins with a higher incarnation and reads the configuration again")
{
    // Guards against a process that continues to serve with stale state after a pause.
    CHECK(rc::check("pause", [] {
        test_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        startDomains(fleet, 1, 7);
        fleet.run(seconds(10));
        auto& paused = *fleet.processes.at(idOf(0, 3));
        const auto before = paused.members.self().incarnation;
        paused.paused = true;
        fleet.run(seconds(*rc::gen::inRange(4, 90)));
        paused.paused = false;
        // From its first tick on, it must neither use the old incarnation nor serve.
        paused.tick();
        RC_ASSERT(paused.members.self().incarnation > before);
        RC_ASSERT(paused.rejoins >= 1);
        RC_ASSERT(!paused.replica.mayServe());
        fleet.run(agreementBound);
        RC_ASSERT(fleet.agrees());
        RC_ASSERT(paused.replica.mayServe());
        for (const auto& [id, process] : fleet.processes)
            RC_ASSERT(process->members.table().find(paused.id())->info.incarnation > before);
    }));
}

TEST_CASE("an old incarnation never overrides a removal")
{
    // Guards against late datagrams that restore a member with an incarnation that was removed.
    CHECK(rc::check("precedence", [] {
        member_table table;
        const base::time_point now {};
        std::uint64_t highest = 0;
        member_state state = member_state::Alive;
        for (int i = 0; i < 40; ++i) {
            const member record { .id = "a",
                .failureDomain = "d",
                .incarnation = *rc::gen::inRange<std::uint64_t>(1, 5),
                .state = static_cast<member_state>(*rc::gen::inRange(0, 5)) };
            table.merge(record, *rc::gen::arbitrary<bool>(), now);
            if (!table.find("a"))
                continue;
            const auto& info = table.find("a")->info;
            RC_ASSERT(info.incarnation >= highest);
            RC_ASSERT((info.incarnation > highest || info.state >= state));
            highest = info.incarnation;
            state = info.state;
        }
    }));
}

TEST_CASE("a leaving member receives no new work from any domain after a few seconds")
{
    // Guards against work for a target whose VM is being shut down (I9).
    for (const bool byVmList : { false, true }) {
        CAPTURE(byVmList);
        test_fleet fleet(7);
        fleet.net.loss = 0.1;
        startDomains(fleet, 3, 6);
        fleet.run(seconds(30));
        const std::string leaving = idOf(1, 4);
        REQUIRE(fleet.processes.at(idOf(2, 5))->members.mayReceiveWork(leaving));
        if (byVmList) {
            std::vector<platform::listed_vm> list;
            for (const auto& [id, process] : fleet.processes)
                list.push_back({ .address = std::string(ipOf(id)), .leaving = id == leaving });
            fleet.processes.at(idOf(1, 0))->members.mergeVmList(list);
        } else {
            fleet.processes.at(leaving)->members.leave();
        }
        fleet.run(seconds(3));
        for (const auto& entry : fleet.processes) {
            CAPTURE(entry.first);
            CHECK(!entry.second->members.mayReceiveWork(leaving));
        }
    }
}

TEST_CASE("the VM list removes only members that are also suspect")
{
    // Guards against a stale list that removes a member which has just started.
    test_fleet fleet(3);
    startDomains(fleet, 1, 5);
    fleet.run(seconds(10));
    auto& observer = fleet.processes.at(idOf(0, 0))->members;
    observer.mergeVmList({});
    CHECK(fleet.agrees());
    // Three of the four others end at the same time. Losing more than half of a domain looks like a
    // partition, until the list confirms the removal.
    std::vector<platform::listed_vm> list { { .address = "10.0.0.1" } };
    for (int i = 2; i < 5; ++i)
        fleet.stop(idOf(0, i));
    fleet.run(seconds(30));
    CHECK(observer.stateOf(idOf(0, 3)) == member_state::Unreachable);
    observer.mergeVmList(list);
    CHECK(observer.stateOf(idOf(0, 3)) == member_state::Dead);
    CHECK(observer.stateOf(idOf(0, 1)) == member_state::Alive);
}

TEST_CASE("unreachable members receive work depending on request results, and none in other regions")
{
    // Guards against a partitioned region that stays idle, and against work sent to an unreachable region.
    test_fleet fleet(5);
    for (int i = 0; i < 4; ++i) {
        fleet.start("hall-a", i);
        fleet.start("sea-b", i, "sued");
    }
    fleet.run(seconds(40));
    REQUIRE(fleet.agrees());
    const auto side = [](const std::string& id) { return id.starts_with("10.0."); };
    fleet.net.passes
        = [side](const std::string& from, const std::string& to) { return side(from) == side(to); };
    fleet.run(seconds(60));
    for (const auto& [id, process] : fleet.processes)
        for (const auto& [other, peer] : fleet.processes) {
            CHECK(process->members.mayReceiveWork(other) == (side(id) == side(other)));
            CHECK(process->members.stateOf(other) != member_state::Dead);
        }
    fleet.net.passes = nullptr;
    fleet.run(seconds(60));
    CHECK(fleet.agrees());
    // Within the domain, all three other members are unreachable.
    fleet.net.passes = [](const std::string& from, const std::string& to) {
        return from != idOf(0, 0) && to != idOf(0, 0);
    };
    fleet.run(seconds(30));
    auto& alone = fleet.processes.at(idOf(0, 0))->members;
    REQUIRE(alone.stateOf(idOf(0, 1)) == member_state::Unreachable);
    CHECK(alone.mayReceiveWork(idOf(0, 1)));
    for (int i = 0; i < 3; ++i)
        alone.observeRequest(idOf(0, 1), false);
    CHECK(!alone.mayReceiveWork(idOf(0, 1)));
    alone.observeRequest(idOf(0, 1), true);
    CHECK(alone.mayReceiveWork(idOf(0, 1)));
}

TEST_CASE("a datagram without a valid signature has no effect")
{
    // Guards against a forged removal of a member.
    test_fleet fleet(9);
    startDomains(fleet, 1, 3);
    fleet.run(seconds(5));
    auto& target = fleet.processes.at(idOf(0, 0))->members;
    membership_message forged { .type = message_type::Notice, .sender = target.self() };
    forged.sender.id = "10.9.9.9:1";
    forged.updates = { { .id = idOf(0, 1),
        .failureDomain = "hall-a",
        .region = "nord",
        .incarnation = 1ULL << 60,
        .state = member_state::Dead } };
    const std::string bytes = encode(forged);
    const auto refused = target.traffic().refusedDatagrams;
    target.receive(bytes + hmac_authenticator("other key").sign(bytes));
    target.receive(bytes);
    CHECK(target.traffic().refusedDatagrams == refused + 2);
    CHECK(target.stateOf(idOf(0, 1)) == member_state::Alive);
    CHECK(target.table().find("10.9.9.9:1") == nullptr);
}
