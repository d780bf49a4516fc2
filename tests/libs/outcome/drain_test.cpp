#include "uniform.h"

#include <outcome/outcome.h>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::outcome;
using namespace marigold::outcome::testing;
using namespace std::chrono_literals;

TEST_CASE(
    "a graceful shutdown interrupts no request unless it is forced, and then reports the interrupted ones")
{
    // Guards against a shutdown that interrupts requests (I10), hangs, or ends before its hooks have run.
    CHECK(rc::check("drain", [] {
        base::manual_clock time;
        base::manual_scheduler timers(time);
        std::vector<drain_report> reports;
        std::vector<drain::work_id> open;
        std::size_t openAtEnd = 0;
        std::vector<std::function<void()>> hookDone(2);
        std::size_t runningAtAfterWork = 99;
        drain stop(time, timers, { .limit = 30s, .finished = [&](const drain_report& report) {
                                      reports.push_back(report);
                                      openAtEnd = open.size();
                                  } });
        stop.addHook(drain_phase::OnStart, "announce", [&](auto done) { hookDone[0] = std::move(done); });
        stop.addHook(drain_phase::AfterWork, "write claims", [&](auto done) {
            runningAtAfterWork = stop.running();
            hookDone[1] = std::move(done);
        });
        bool signalled = false;
        int signals = 0;
        const auto actions = *rc::gen::container<std::vector<int>>(uniform(0, 12));
        for (const int action : actions) {
            if (action < 4) {
                const auto entered = stop.enter("request");
                RC_ASSERT(entered.has_value() == !signalled);
                if (entered)
                    open.push_back(*entered);
                else
                    RC_ASSERT(entered.error().verdict == base::verdict::NotRun);
            } else if (action < 8 && !open.empty()) {
                const drain::work_id id = open.back();
                open.pop_back();
                stop.leave(id);
            } else if (action == 8) {
                stop.signal();
                signalled = true;
                ++signals;
            } else if (action == 9) {
                timers.advance(1s);
            } else if (action > 9 && hookDone[action - 10]) {
                hookDone[action - 10]();
            }
            RC_ASSERT(stop.isReady() == !signalled);
            RC_ASSERT(reports.size() == (stop.state() == drain_state::Done ? 1U : 0U));
        }
        if (!signalled)
            return;
        timers.advance(30s);
        RC_ASSERT(reports.size() == 1U);
        RC_ASSERT((runningAtAfterWork == 99 || runningAtAfterWork == 0));
        const drain_report& report = reports.front();
        RC_ASSERT(report.took <= 30s);
        if (!report.forced)
            RC_ASSERT(report.interruptedRequests.empty() && report.unfinishedHooks.empty());
        else if (signals == 1)
            RC_ASSERT(report.took == 30s);
        RC_ASSERT(report.interruptedRequests.size() == openAtEnd);
    }));
}

TEST_CASE("a forced shutdown reports running requests and unfinished hooks")
{
    // Guards against a forced shutdown that does not report interrupted work.
    base::manual_clock time;
    base::manual_scheduler timers(time);
    std::optional<drain_report> report;
    drain stop(time, timers, { .limit = 5s, .finished = [&](const drain_report& r) { report = r; } });
    stop.addHook(drain_phase::OnStart, "at once", [](const auto& done) { done(); });
    stop.addHook(drain_phase::AfterWork, "never started", [](const auto& done) { done(); });
    REQUIRE(stop.enter("run 1").has_value());
    stop.signal();
    timers.advance(4s);
    CHECK_FALSE(report.has_value());
    SUBCASE("by its limit")
    {
        timers.advance(1s);
    }
    SUBCASE("by a second signal")
    {
        stop.signal();
    }
    REQUIRE(report.has_value());
    CHECK(report->forced);
    CHECK(report->interruptedRequests == std::vector<std::string> { "run 1" });
    CHECK(report->unfinishedHooks == std::vector<std::string> { "never started" });
    stop.leave(1);
    CHECK(stop.state() == drain_state::Done);
}
