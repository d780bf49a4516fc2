#include <routing/admission.h>
#include <routing/cold_ramp.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::routing;

namespace {

/// Admission of an agent, with an engine whose actual runs are known.
struct fixture {
    explicit fixture(admission::options opts, int adopted = 0)
    {
        opts.start = [this](const work& item) {
            running.insert(item.id);
            started.push_back(item);
        };
        opts.refuse = [this](const work& item, const base::error& why) {
            refused.push_back(item.id);
            errors.push_back(why);
        };
        subject.emplace(time, opts, adopted);
    }

    std::optional<base::error> submit(const work& item)
    {
        const auto outcome = subject->submit(item);
        if (!outcome)
            return outcome.error();
        if (*outcome == admission_outcome::Started) {
            running.insert(item.id);
            started.push_back(item);
        }
        return std::nullopt;
    }

    void finish(work_id id)
    {
        running.erase(id);
        subject->finish(id);
    }

    base::manual_clock time;
    std::optional<admission> subject;
    std::set<work_id> running;
    std::vector<work> started;
    std::vector<work_id> refused;
    std::vector<base::error> errors;
};

work drawWork(work_id id, const base::manual_clock& time)
{
    const auto deadline = time.now() + base::duration(*rc::gen::inRange(0, 5'000'000));
    return { .id = id,
        .priority = static_cast<priority>(*rc::gen::inRange(0, 3)),
        .deadline = *rc::gen::arbitrary<bool>() ? deadline : base::time_point::max(),
        .prefillTokens = *rc::gen::inRange(0, 20'000) };
}

} // namespace

TEST_CASE("an admission never raises the runs at the engine above the bound")
{
    // Guards I4 under delayed engine reports, an agent restart with remaining runs, and a changing bound.
    CHECK(rc::check("bound", [] {
        const int bound = *rc::gen::inRange(1, 9);
        int leftOver = *rc::gen::inRange(0, bound + 1);
        fixture agent({ .bound = bound, .queueCapacity = 8 }, leftOver);
        std::deque<std::pair<base::time_point, int>> samples; // actual counts, delivered late and with gaps
        work_id next = 1;
        for (int step = 0; step < 60; ++step) {
            const std::size_t before = agent.started.size();
            agent.time.advance(base::duration(*rc::gen::inRange(0, 200'000)));
            samples.emplace_back(agent.time.now(), leftOver + static_cast<int>(agent.running.size()));
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
            case 1:
                agent.submit(drawWork(next++, agent.time));
                break;
            case 2:
                if (!agent.running.empty())
                    agent.finish(*std::next(agent.running.begin(),
                        *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(agent.running.size()))));
                break;
            case 3:
                leftOver = std::max(leftOver - 1, 0);
                break;
            case 4:
                agent.subject->setBound(*rc::gen::inRange(1, bound + 1));
                break;
            default: {
                const auto index = *rc::gen::inRange<std::size_t>(0, samples.size());
                agent.subject->engineReported(samples[index].second, samples[index].first);
                samples.erase(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index));
            }
            }
            const int actualRuns = leftOver + static_cast<int>(agent.running.size());
            if (agent.started.size() > before)
                RC_ASSERT(actualRuns <= agent.subject->bound());
            RC_ASSERT(agent.subject->running() >= actualRuns);
            RC_ASSERT(agent.subject->queued() <= 8);
        }
    }));
}

TEST_CASE("work waits only for work of at least the same urgency, and long prefills leave slots for "
          "interactive calls")
{
    // Guards against an interactive call that waits while all slots are occupied by only less urgent work.
    CHECK(rc::check("priority", [] {
        const int bound = *rc::gen::inRange(2, 9);
        fixture agent({ .bound = bound, .queueCapacity = 100 });
        std::map<work_id, work> waiting;
        for (work_id id = 1; id <= 60; ++id) {
            const std::size_t before = agent.started.size();
            work item = drawWork(id, agent.time);
            item.deadline = base::time_point::max();
            waiting.emplace(id, item);
            if (*rc::gen::arbitrary<bool>() && !agent.running.empty())
                agent.finish(*agent.running.begin());
            RC_ASSERT(!agent.submit(item));
            for (std::size_t i = before; i < agent.started.size(); ++i) {
                const work& startedWork = agent.started[i];
                waiting.erase(startedWork.id);
                // Work that arrived earlier and still waits is less urgent or a long prefill.
                for (const auto& [other, entry] : waiting)
                    RC_ASSERT((entry.priority > startedWork.priority || other >= startedWork.id
                        || entry.prefillTokens > 8'000));
            }
            long interactive = 0;
            long longPrefills = 0;
            for (const work& startedWork : agent.started) {
                if (!agent.running.contains(startedWork.id))
                    continue;
                interactive += startedWork.priority == priority::Interactive;
                longPrefills
                    += startedWork.priority != priority::Interactive && startedWork.prefillTokens > 8'000;
            }
            const bool interactiveWaits = std::ranges::any_of(
                waiting, [](const auto& entry) { return entry.second.priority == priority::Interactive; });
            RC_ASSERT((!interactiveWaits || interactive >= 1));
            RC_ASSERT(longPrefills <= 1);
        }
    }));
}

TEST_CASE("a refusal has verdict not_run, a reason and the expected time until the queue has drained")
{
    // Guards against a caller that retries too early, and against queued work that is dropped without an
    // answer.
    fixture agent({ .bound = 1, .queueCapacity = 2 });
    CHECK(!agent.submit({ .id = 1 }));
    agent.time.advance(base::duration(4'000'000));
    agent.finish(1);
    CHECK(!agent.submit({ .id = 2 }));
    CHECK(!agent.submit({ .id = 3, .priority = priority::Batch }));
    CHECK(!agent.submit(
        { .id = 4, .priority = priority::Batch, .deadline = agent.time.now() + base::duration(9'000'000) }));

    const auto full = agent.submit({ .id = 5, .priority = priority::Batch });
    REQUIRE(full);
    CHECK(full->verdict == base::verdict::NotRun);
    CHECK(full->reason == base::error_reason::Overloaded);
    CHECK(full->retryAfter == std::chrono::milliseconds(12'000)); // two queued and the new one, 4 s each

    const auto late = agent.submit({ .id = 6, .deadline = agent.time.now() + base::duration(1'000'000) });
    REQUIRE(late);
    CHECK(late->reason == base::error_reason::DeadlineExceeded);

    CHECK(!agent.submit({ .id = 7, .priority = priority::Interactive }));
    CHECK(agent.refused == std::vector<work_id> { 4 });
    CHECK(agent.errors.back().verdict == base::verdict::NotRun);
    CHECK(agent.subject->cancelQueued(3));
    CHECK_FALSE(agent.subject->cancelQueued(3));
}

TEST_CASE("work that the prefill backlog would delay too long is refused immediately")
{
    // Guards against overload collapse, where every run starts but every first token is late, and against a
    // wait at one target while another is free.
    fixture agent({ .bound = 8, .prefillTokensPerSecond = 4'000 });
    const auto at = [&](int seconds) { return agent.time.now() + std::chrono::seconds(seconds); };
    CHECK(!agent.submit({ .id = 1, .prefillTokens = 8'000 }));
    CHECK(agent.subject->pendingPrefillTokens() == 8'000);
    const auto late = agent.submit({ .id = 2, .deadline = at(3), .prefillTokens = 4'000 });
    REQUIRE(late);
    CHECK(late->verdict == base::verdict::NotRun);
    CHECK(late->reason == base::error_reason::DeadlineExceeded);
    const auto elsewhere = agent.submit({ .id = 3, .waitLimit = std::chrono::seconds(1) });
    REQUIRE(elsewhere);
    CHECK(elsewhere->reason == base::error_reason::Overloaded);
    CHECK(!agent.submit(
        { .id = 4, .deadline = at(4), .waitLimit = std::chrono::seconds(2), .prefillTokens = 4'000 }));
    agent.time.advance(std::chrono::seconds(1));
    CHECK(agent.subject->pendingPrefillTokens() == 8'000);
    agent.subject->prefillDone(1);
    agent.subject->prefillDone(4);
    CHECK(agent.subject->pendingPrefillTokens() == 0);
}

TEST_CASE("queued work whose deadline passes is refused and never starts")
{
    // Guards against engine time spent on answers whose callers no longer wait, since the deadline has
    // passed.
    fixture agent({ .bound = 1 });
    CHECK(!agent.submit({ .id = 1 }));
    CHECK(!agent.submit({ .id = 2, .deadline = agent.time.now() + base::duration(1'000'000) }));
    CHECK(agent.subject->nextDeadline() == agent.time.now() + base::duration(1'000'000));
    agent.time.advance(base::duration(1'000'000));
    agent.finish(1);
    CHECK(agent.refused == std::vector<work_id> { 2 });
    CHECK(agent.errors.back().reason == base::error_reason::DeadlineExceeded);
    CHECK(agent.started.size() == 1);
}

TEST_CASE("the ramp stays within its limits and grows only after a full round without overload")
{
    // Guards I4 at a new target.
    CHECK(rc::check("ramp", [] {
        const int full = *rc::gen::inRange(1, 65);
        const int lowest = std::min(2, full);
        cold_ramp ramp({ .full = full });
        RC_ASSERT(ramp.bound() == lowest);
        std::vector<int> round;
        for (const int ratio : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(1, 14))) {
            const int before = ramp.bound();
            round.push_back(ratio);
            const int after = ramp.observe(base::duration(ratio * 1'000), base::duration(1'000));
            RC_ASSERT(after >= lowest);
            RC_ASSERT(after <= full);
            if (after > before) {
                RC_ASSERT(static_cast<int>(round.size()) >= before);
                RC_ASSERT(after <= 2 * before);
                const int sum = std::accumulate(round.end() - before, round.end(), 0);
                RC_ASSERT(sum <= 8 * before);
            }
            if (after != before)
                round.clear();
        }
    }));
}

TEST_CASE(
    "the ramp grows at a steady target, falls when load slows it down, and restarts when it becomes cold")
{
    // Guards against a cold target that stays at the lowest step forever, is overloaded, or is not detected.
    const auto observeRuns = [](cold_ramp& ramp, int runs, int ratio) {
        for (int i = 0; i < runs; ++i)
            ramp.observe(base::duration(ratio * 1'000), base::duration(1'000));
    };
    cold_ramp ramp({ .full = 16 });
    observeRuns(ramp, 2, 5);
    CHECK(ramp.bound() == 2); // one slow round has no previous round to compare with
    observeRuns(ramp, 2, 5);
    CHECK(ramp.bound() == 4);
    observeRuns(ramp, 4, 9);
    CHECK(ramp.bound() == 2);
    observeRuns(ramp, 2 + 4 + 8, 1);
    CHECK(ramp.bound() == 16);
    observeRuns(ramp, 2, 5);
    CHECK(ramp.bound() == 16);
    observeRuns(ramp, 1, 5);
    CHECK(ramp.bound() == 2);
    observeRuns(ramp, 100, 20);
    CHECK(ramp.bound() == 2);
    observeRuns(ramp, 2, 1);
    ramp.restart();
    CHECK(ramp.bound() == 2);
}
