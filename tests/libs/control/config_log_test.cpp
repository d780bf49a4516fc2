#include "sample_config.h"

#include <support/fake_kv_store.h>

#include <doctest/doctest.h>

#include <map>
#include <set>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;
using marigold::testing::fake_kv_store;
using marigold::testing::kv_fault;
using marigold::testing::sampleDocument;
using std::chrono::seconds;

namespace {

struct log_fixture {
    base::manual_clock time;
    base::manual_scheduler timers { time };
    fake_kv_store store { time, timers };
    base::random_source random { 1 };
    base::event_log events { { .output = [](std::string_view) {} } };
    config_log log { store, timers, time, events, {} };
    config_state head;

    /// Proposes a merge patch based on the head, and updates the head if it is accepted.
    proposal_outcome propose(std::string body)
    {
        proposal_outcome outcome;
        log.propose(head,
            { .baseVersion = head.version,
                .changeId = config_log::makeChangeId(head.version, random),
                .author = "op",
                .kind = patch_kind::MergePatch,
                .body = std::move(body) },
            [&](proposal_outcome value) { outcome = std::move(value); });
        timers.advance(seconds(5));
        if (outcome.status == proposal_status::Accepted)
            load();
        return outcome;
    }

    void load()
    {
        log.load([this](base::result<loaded_config> answer) { head = std::move(answer->state); });
        timers.advance(seconds(1));
    }

    proposal_outcome resolve(const std::string& id)
    {
        proposal_outcome outcome;
        log.resolve(id, [&](proposal_outcome value) { outcome = std::move(value); });
        timers.advance(seconds(1));
        return outcome;
    }

    void acceptVersions(int versions)
    {
        REQUIRE(propose(sampleDocument().text()).status == proposal_status::Accepted);
        for (int i = 1; i < versions; ++i)
            REQUIRE(propose(weightPatch(i)).status == proposal_status::Accepted);
    }

    static std::string weightPatch(int value)
    {
        return R"({"teams":{"big":{"weight":)" + std::to_string(value) + "}}}";
    }
};

kv_fault randomFault()
{
    return *rc::gen::weightedElement<kv_fault>({ { 4, kv_fault::None }, { 1, kv_fault::Unavailable },
        { 2, kv_fault::LostRequest }, { 2, kv_fault::LostAnswer } });
}

} // namespace

TEST_CASE("racing proposals with lost replies yield one change per version and lose no accepted change")
{
    // Guards against two proposals that are both reported as accepted for the same version, and against an
    // accepted change that is missing from the log.
    CHECK(rc::check("race", [] {
        log_fixture fleet;
        std::vector<std::unique_ptr<config_log>> logs;
        logs.reserve(4);
        for (int i = 0; i < 4; ++i)
            logs.push_back(std::make_unique<config_log>(
                fleet.store, fleet.timers, fleet.time, fleet.events, config_log::options {}));
        std::map<std::uint64_t, std::string> accepted;
        std::set<std::string> refused;
        std::vector<std::string> unknown;
        const auto recordOutcome = [&](const proposal_outcome& outcome) {
            if (outcome.status == proposal_status::Refused)
                refused.insert(outcome.changeId);
            if (outcome.status != proposal_status::Accepted)
                return;
            const auto [at, added] = accepted.emplace(outcome.currentVersion, outcome.changeId);
            RC_ASSERT((added || at->second == outcome.changeId));
        };
        for (int round = 0; round < 5; ++round) {
            std::vector<proposal_outcome> outcomes;
            for (int i = *rc::gen::inRange(0, 16); i > 0; --i)
                fleet.store.faults.push_back(randomFault());
            for (std::size_t i = 0; i < logs.size(); ++i) {
                logs[i]->propose(fleet.head,
                    { .baseVersion = fleet.head.version,
                        .changeId = config_log::makeChangeId(fleet.head.version, fleet.random),
                        .author = "op" + std::to_string(i),
                        .kind = patch_kind::MergePatch,
                        .body = R"({"capacity_floor":0.)" + std::to_string(1 + i) + "}" },
                    [&](proposal_outcome value) { outcomes.push_back(std::move(value)); });
                fleet.timers.advance(base::duration(*rc::gen::inRange(0, 3000)));
            }
            fleet.timers.advance(seconds(10));
            RC_ASSERT(outcomes.size() == logs.size()); // Each proposal completes.
            for (const auto& outcome : outcomes) {
                recordOutcome(outcome);
                if (outcome.status == proposal_status::Unknown)
                    unknown.push_back(outcome.changeId);
                const bool isVersionConflict = outcome.status == proposal_status::Refused
                    && outcome.problem.reason == base::error_reason::Conflict;
                RC_ASSERT((!isVersionConflict || outcome.currentVersion == outcome.baseVersion + 1));
            }
            fleet.store.faults.clear();
            fleet.load();
        }
        for (const auto& id : unknown)
            recordOutcome(fleet.resolve(id));
        // The reported outcomes match the log.
        fleet.load();
        RC_ASSERT(fleet.head.version >= accepted.size());
        for (const auto& [key, entry] : fleet.store.entries) {
            const auto stored = config_patch::decode(entry.value);
            RC_ASSERT((stored.has_value() && !refused.contains(stored->changeId)));
            const auto known = accepted.find(stored->version);
            RC_ASSERT((known != accepted.end() && known->second == stored->changeId));
        }
        RC_ASSERT(fleet.store.entries.size() == accepted.size());
    }));
}

TEST_CASE("an unconfirmed change can be resolved later, from any process")
{
    // Guards against a wrong outcome, by which an operator repeats an accepted change or abandons one that
    // was not accepted.
    log_fixture fleet;
    fleet.acceptVersions(2);
    fleet.store.faults = { kv_fault::LostAnswer };
    fleet.store.faults.insert(fleet.store.faults.end(), 10, kv_fault::Unavailable);
    const auto lost = fleet.propose(log_fixture::weightPatch(7));
    CHECK(lost.status == proposal_status::Unknown);
    CHECK(lost.problem.verdict == base::verdict::MayHaveRun);
    fleet.store.faults.clear();
    config_log other(fleet.store, fleet.timers, fleet.time, fleet.events, {});
    proposal_outcome found;
    other.resolve(lost.changeId, [&](proposal_outcome value) { found = std::move(value); });
    fleet.timers.advance(seconds(1));
    CHECK(found.status == proposal_status::Accepted);
    CHECK(found.currentVersion == 3);
    CHECK(fleet.resolve("3-ffff").status == proposal_status::Refused);
    CHECK(fleet.resolve("3-ffff").problem.message.find(lost.changeId) != std::string::npos);
    CHECK(fleet.resolve("4-ffff").status == proposal_status::Unknown);
    CHECK(fleet.resolve("nonsense").status == proposal_status::Refused);
    fleet.store.down = true;
    CHECK(fleet.resolve(lost.changeId).status == proposal_status::Unknown);
    CHECK(fleet.propose(log_fixture::weightPatch(8)).status
        == proposal_status::Refused); // Nothing was written.
}

TEST_CASE("a proposer that was paused cannot overwrite an existing version")
{
    // Guards against a delayed change that reverts later ones.
    log_fixture fleet;
    fleet.acceptVersions(2);
    const auto staleHead = fleet.head;
    fleet.acceptVersions(3);
    fleet.head = staleHead;
    const auto outcome = fleet.propose(log_fixture::weightPatch(9));
    CHECK(outcome.status == proposal_status::Refused);
    CHECK(outcome.problem.reason == base::error_reason::Conflict);
    CHECK(outcome.problem.message.find("based on version 2, but version 3 is change") != std::string::npos);
    fleet.load();
    CHECK(fleet.head.version == 5);
}

TEST_CASE("loading starts from the snapshot, and a failed snapshot is retried")
{
    // Guards against reading the complete log at the start, and against missing snapshots after a failed
    // write.
    log_fixture fleet;
    fleet.acceptVersions(63);
    CHECK(!fleet.store.entries.contains("config/snapshot"));
    fleet.store.faults = { kv_fault::None,
        kv_fault::Unavailable }; // For the write of the patch and the read of the snapshot.
    REQUIRE(fleet.propose(log_fixture::weightPatch(64)).status == proposal_status::Accepted);
    CHECK(!fleet.store.entries.contains("config/snapshot"));
    REQUIRE(fleet.propose(log_fixture::weightPatch(65)).status == proposal_status::Accepted);
    CHECK(fleet.store.entries.contains("config/snapshot"));
    const auto digest = fleet.head.document.digest();
    // The document is loaded from the snapshot alone; earlier patches are not read.
    for (std::uint64_t version = 1; version <= 65; ++version)
        fleet.store.entries.erase(
            "config/patch/" + std::string(18, '0') + (version < 10 ? "0" : "") + std::to_string(version));
    fleet.load();
    CHECK(fleet.head.version == 65);
    CHECK(fleet.head.document.digest() == digest);
}

TEST_CASE("earlier versions can be listed, compared and restored as a new version")
{
    // Guards against a rollback that lowers the version, or that results in a different document.
    CHECK(rc::check("rollback", [] {
        log_fixture fleet;
        fleet.acceptVersions(2);
        std::map<std::uint64_t, config_state> known { { 2, fleet.head } };
        for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
            RC_ASSERT(fleet.propose(log_fixture::weightPatch(10 + i)).status == proposal_status::Accepted);
            known[fleet.head.version] = fleet.head;
        }
        const auto before = fleet.head.version;
        const auto goal = *rc::gen::inRange<std::uint64_t>(2, before);
        std::vector<std::string> paths;
        fleet.log.diff(fleet.head, goal, before, [&](auto answer) { paths = *answer; });
        proposal_outcome outcome;
        fleet.log.rollback(fleet.head, goal, config_log::makeChangeId(before, fleet.random), "op",
            [&](proposal_outcome value) { outcome = std::move(value); });
        std::size_t listed = 0;
        fleet.log.history(goal, 100, [&](auto answer) { listed = answer->size(); });
        fleet.timers.advance(seconds(2));
        RC_ASSERT(outcome.status == proposal_status::Accepted);
        RC_ASSERT(paths == std::vector<std::string> { "/teams/big/weight" });
        RC_ASSERT(listed >= before - goal);
        fleet.load();
        RC_ASSERT(fleet.head.version == before + 1);
        RC_ASSERT(fleet.head.document.digest() == known[goal].document.digest());
    }));
}
