#include "sample_config.h"
#include "test_fleet.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;
using marigold::testing::sampleDocument;
using marigold::testing::test_fleet;
using marigold::testing::test_process;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds inForceBound { 18 };
constexpr seconds domainOutBound { 2 };

std::string idOf(int domain, int number)
{
    return "10." + std::to_string(domain) + ".0." + std::to_string(number) + ":7400";
}

void startDomains(test_fleet& fleet, int domains, int size)
{
    for (int d = 0; d < domains; ++d)
        for (int i = 0; i < size; ++i)
            fleet.start("hall-" + std::string(1, static_cast<char>('a' + d)), i);
}

/// Proposes \a body at \a process and applies it there if it is accepted, as an entry does.
void propose(test_process& process, std::string body, std::uint64_t& highestAccepted)
{
    if (!process.replica.current())
        return;
    const config_state head = *process.replica.current();
    process.log.propose(head,
        { .baseVersion = head.version,
            .changeId = config_log::makeChangeId(head.version, process.random),
            .author = "op",
            .kind = patch_kind::MergePatch,
            .body = std::move(body) },
        [&process, &highestAccepted](const proposal_outcome& outcome) {
            if (!outcome.accepted)
                return;
            highestAccepted = std::max(highestAccepted, outcome.currentVersion);
            static_cast<void>(process.replica.apply(*outcome.accepted));
        });
}

/// Returns true if all running processes that are not paused have \a version.
bool allAt(const test_fleet& fleet, std::uint64_t version)
{
    for (const auto& [id, process] : fleet.processes)
        if (!process->paused && process->replica.version() != version)
            return false;
    return true;
}

bool anyVersionDecreased(const test_fleet& fleet)
{
    for (const auto& [id, process] : fleet.processes)
        if (process->versionDecreased)
            return true;
    for (const auto& process : fleet.ended)
        if (process->versionDecreased)
            return true;
    return false;
}

} // namespace

TEST_CASE("under faults, all processes converge to the highest accepted version and no version decreases")
{
    // Guards against processes that keep serving a stale configuration, or revert to one (I11).
    CHECK(rc::check("dissemination", [] {
        test_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        fleet.net.loss = 0.01 * *rc::gen::inRange(0, 20);
        fleet.net.duplication = 0.01 * *rc::gen::inRange(0, 20);
        fleet.net.jitter = milliseconds(*rc::gen::inRange(0, 100));
        startDomains(fleet, 2, 4);
        fleet.run(seconds(5));
        std::uint64_t accepted = 0;
        propose(*fleet.processes.at(idOf(0, 0)), sampleDocument().text(), accepted);
        fleet.run(seconds(2));
        for (int step = *rc::gen::inRange(3, 10); step > 0; --step) {
            auto& process = *fleet.processes.at(idOf(*rc::gen::inRange(0, 2), *rc::gen::inRange(0, 4)));
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                fleet.start(process.members.self().failureDomain, *rc::gen::inRange(0, 4));
                break;
            case 1:
                process.paused = !process.paused;
                break;
            case 2:
                fleet.net.passes = [](const std::string& from, const std::string& to) {
                    return from.substr(0, 5) == to.substr(0, 5);
                };
                break;
            case 3:
                fleet.net.passes = nullptr;
                break;
            case 4:
                fleet.store.down = !fleet.store.down;
                break;
            default:
                fleet.store.faults.assign(*rc::gen::inRange(0, 3), marigold::testing::kv_fault::LostAnswer);
                propose(process, R"({"teams":{"big":{"weight":)" + std::to_string(step) + "}}}", accepted);
            }
            fleet.run(milliseconds(*rc::gen::inRange(100, 9000)));
        }
        fleet.store.down = false;
        fleet.store.faults.clear();
        fleet.net.passes = nullptr;
        for (const auto& [id, process] : fleet.processes)
            process->paused = false;
        // A pending proposal may still write a change, so the version in the log is authoritative.
        fleet.run(seconds(60));
        const auto patches = fleet.store.entries.size();
        RC_ASSERT(patches >= accepted);
        RC_ASSERT(allAt(fleet, patches));
        RC_ASSERT(!anyVersionDecreased(fleet));
    }));
}

TEST_CASE("a change is in force everywhere within 18 s, and a domain is taken out of service within 2 s")
{
    // Guards against work for a domain that was taken out of service (I5), and against late changes (I11).
    for (const double loss : { 0.0, 0.1 }) {
        CAPTURE(loss);
        test_fleet fleet(11);
        fleet.net.loss = loss;
        startDomains(fleet, 3, 12);
        fleet.run(seconds(30));
        std::uint64_t accepted = 0;
        propose(*fleet.processes.at(idOf(0, 0)), sampleDocument().text(), accepted);
        fleet.run(inForceBound);
        REQUIRE(allAt(fleet, 1));
        propose(*fleet.processes.at(idOf(1, 2)), R"({"failure_domains":{"hall-alta":{"in_service":false}}})",
            accepted);
        fleet.run(domainOutBound);
        for (const auto& [id, process] : fleet.processes)
            CHECK(!process->replica.current()->document.content().failureDomains.at("hall-alta").inService);
        // Each process reports the version in force, so that an operator may query any of them.
        fleet.run(inForceBound - domainOutBound);
        for (const auto& entry : fleet.processes) {
            CAPTURE(entry.first);
            CHECK(entry.second->members.versionsInForce().lowestVersion == 2);
        }
    }
}

TEST_CASE(
    "a process started during a key-value outage adopts the highest version of its peers, or serves nothing")
{
    // Guards against serving with an empty configuration, which would refuse or admit all requests.
    test_fleet fleet(13);
    startDomains(fleet, 1, 3);
    fleet.run(seconds(5));
    std::uint64_t accepted = 0;
    propose(*fleet.processes.at(idOf(0, 0)), sampleDocument().text(), accepted);
    fleet.run(seconds(5));
    REQUIRE(accepted == 1);
    fleet.store.down = true;
    auto& started = fleet.start("hall-a", 5);
    CHECK(!started.replica.mayServe());
    fleet.run(seconds(3));
    CHECK(started.replica.mayServe());
    CHECK(started.replica.version() == 1);
    for (int i = 0; i < 3; ++i)
        fleet.stop(idOf(0, i));
    fleet.stop(idOf(0, 5));
    auto& alone = fleet.start("hall-a", 6);
    fleet.run(seconds(120));
    CHECK(!alone.replica.mayServe());
    CHECK(alone.replica.current() == nullptr);
    fleet.store.down = false;
    fleet.run(seconds(40));
    CHECK(alone.replica.mayServe());
    CHECK(alone.replica.version() == 1);
}

TEST_CASE("a replica applies only the next version, with a matching digest")
{
    // Guards against a missing or corrupt change that makes the configuration of one process diverge.
    test_fleet fleet(17);
    auto& process = fleet.start("hall-a", 0);
    fleet.run(seconds(2));
    auto& replica = process.replica;
    REQUIRE(replica.mayServe());
    config_patch patch { .version = 1,
        .changeId = "1-x",
        .kind = patch_kind::MergePatch,
        .body = R"({"capacity_floor":0.1})",
        .inverse = "[]" };
    CHECK(!replica.apply(patch)); // The digest is missing.
    CHECK(replica.version() == 0);
    patch.digest = applyPatch(config_document(), patch.kind, patch.body)->digest();
    patch.version = 2;
    CHECK(!replica.apply(patch));
    patch.version = 1;
    CHECK(replica.apply(patch));
    CHECK(replica.version() == 1);
    CHECK(replica.apply(patch)); // An old version has no effect.
    CHECK(replica.version() == 1);
    CHECK(!replica.adopt({ .version = 1, .document = sampleDocument() }));
    CHECK(!replica.adopt({ .version = 0, .document = sampleDocument() }));
    CHECK(replica.current()->document.content().capacityFloor == 0.1);
    // A peer that lacks few versions receives patches; one that lacks many receives the document.
    CHECK(replica.answerPull(0, false).patches.size() == 1);
    CHECK(!replica.answerPull(0, false).document);
    CHECK(replica.answerPull(0, true).document);
    CHECK(replica.adopt({ .version = 900, .document = sampleDocument() }));
    CHECK(replica.answerPull(1, false).document);
    CHECK(replica.answerPull(900, false).patches.empty());
}

TEST_CASE("each domain has two watchers, which limit their calls during an outage")
{
    // Guards against a fleet that exceeds the rate limits of the key-value service, in particular when the
    // service recovers.
    test_fleet fleet(19);
    startDomains(fleet, 2, 8);
    fleet.run(seconds(60));
    auto before = fleet.store.reads;
    fleet.run(seconds(60));
    CHECK(fleet.store.reads - before <= 2 * 2 * 3); // Two watches per domain, of 30 s each.
    CHECK(fleet.store.reads - before >= 2);
    fleet.store.down = true;
    before = fleet.store.reads;
    fleet.run(seconds(600));
    // Once the backoff has reached its maximum, each watcher makes at most one call in 15 s.
    CHECK(fleet.store.reads - before <= 2 * 2 * (600 / 15 + 10));
    std::vector<std::string> entries { "a", "b", "c", "d" };
    int watchers = 0;
    for (const auto& entry : entries)
        watchers += config_replica::isWatcher(entry, entries, "hall-a") ? 1 : 0;
    CHECK(watchers == 2);
}
