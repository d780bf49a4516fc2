#include <routing/outlier_detector.h>
#include <routing/retry_budget.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::routing;

TEST_CASE("never more than half of a failure domain is ejected")
{
    // Guards against a failure domain without targets because of a network fault or removed targets.
    CHECK(rc::check("half", [] {
        std::set<target_index> reported;
        outlier_detector detector({ .changed = [&](target_index target, bool ejected) {
            RC_ASSERT(ejected == reported.insert(target).second);
            if (!ejected)
                reported.erase(target);
        } });
        std::map<std::string, std::set<target_index>> members;
        base::time_point now { std::chrono::seconds(10) };
        target_index next = 0;
        const std::vector<std::string> domains { "a", "b", "c" };
        for (int step = 0; step < 300; ++step) {
            now += base::duration(*rc::gen::inRange(0, 1'000'000));
            const int action = *rc::gen::inRange(0, 40);
            if (next < 6 || (action == 0 && next < 30)) {
                const std::string& domain = domains[*rc::gen::inRange<std::size_t>(0, domains.size())];
                detector.add(next, domain);
                members[domain].insert(next++);
            } else if (action == 1) {
                const auto leaving = *rc::gen::inRange<target_index>(0, next);
                detector.remove(leaving);
                for (auto& [domain, all] : members)
                    all.erase(leaving);
            } else if (const auto due = detector.dueProbe(now); action == 2 && due != noTarget) {
                RC_ASSERT(detector.isEjected(due));
                detector.beginProbe(due, now);
                detector.observe(due, *rc::gen::arbitrary<bool>(), 1, now);
            } else {
                const auto target = *rc::gen::inRange<target_index>(0, next);
                const bool failed = *rc::gen::inRange(0, 4) > 0;
                for (int i = 0; i < 5; ++i)
                    detector.observe(target, failed, *rc::gen::inRange(1, 12), now);
            }
            std::size_t ejected = 0;
            for (const auto& [domain, all] : members) {
                RC_ASSERT(2 * detector.ejectedIn(domain) <= all.size());
                ejected += detector.ejectedIn(domain);
            }
            RC_ASSERT(reported.size() == ejected);
        }
    }));
}

TEST_CASE("targets are ejected for errors and latency, but not for the slowness of a whole domain")
{
    // Guards against a failing or slow target that continues to receive its share of the load.
    struct fault_case {
        const char* name;
        bool failed;
        double ratio;
        double othersRatio;
        bool ejected;
    };
    const std::vector<fault_case> cases {
        { "errors", true, 1, 1, true },
        { "slow", false, 8, 1, true },
        { "as expected", false, 1, 1, false },
        { "a little slow", false, 2, 1, false },
        { "all are slow", false, 8, 7, false },
    };
    for (const fault_case& fault : cases) {
        CAPTURE(fault.name);
        outlier_detector detector({});
        for (target_index i = 0; i < 4; ++i)
            detector.add(i, "a");
        const base::time_point now { std::chrono::seconds(10) };
        for (int i = 0; i < 30; ++i) {
            for (target_index other = 1; other < 4; ++other)
                detector.observe(other, false, fault.othersRatio, now);
            detector.observe(0, fault.failed, fault.ratio, now);
        }
        CHECK(detector.isEjected(0) == fault.ejected);
        CHECK(detector.ejectedIn("a") == (fault.ejected ? 1 : 0));
    }
}

TEST_CASE("an ejected target is reinstated after probes, and waits twice as long after a failed probe")
{
    // Guards against a target that stays ejected forever, and against continuous probing.
    outlier_detector detector({});
    detector.add(0, "a");
    detector.add(1, "a");
    base::time_point now { std::chrono::seconds(10) };
    for (int i = 0; i < 5; ++i)
        detector.observe(0, true, 1, now);
    REQUIRE(detector.isEjected(0));
    CHECK(detector.dueProbe(now) == noTarget);
    for (int i = 0; i < 5; ++i)
        detector.observe(0, false, 1, now); // sent before the ejection
    CHECK(detector.isEjected(0));
    now += base::duration(5'000'000);
    REQUIRE(detector.dueProbe(now) == 0);
    detector.beginProbe(0, now);
    CHECK(detector.dueProbe(now) == noTarget);
    detector.observe(0, true, 1, now);
    CHECK(detector.dueProbe(now + base::duration(9'999'999)) == noTarget);
    now += base::duration(10'000'000);
    for (int probe = 0; probe < 2; ++probe) {
        REQUIRE(detector.dueProbe(now) == 0);
        CHECK(detector.isEjected(0));
        detector.beginProbe(0, now);
        detector.observe(0, false, 1, now);
    }
    CHECK_FALSE(detector.isEjected(0));
}

TEST_CASE("retries and hedges stay within a tenth of the requests")
{
    // Guards against retries that multiply the load of an outage, and against a repeated non-idempotent call.
    CHECK(rc::check("budget", [] {
        retry_budget budget({ .percent = 10, .initial = 3, .capacity = 20 });
        long requests = 0;
        long extra = 0;
        for (int step = 0; step < 500; ++step) {
            const int action = *rc::gen::inRange(0, 4);
            if (action < 2) {
                budget.addRequest();
                ++requests;
            } else if (action == 2) {
                extra += budget.tryRetry();
            } else {
                RC_ASSERT(!budget.tryHedge(false));
                extra += budget.tryHedge(true);
            }
            RC_ASSERT(100 * extra <= 300 + 10 * requests);
            RC_ASSERT(budget.available() <= 20);
        }
        for (int i = 0; i < 10; ++i)
            budget.addRequest();
        RC_ASSERT(budget.tryRetry()); // a tenth of them is available
    }));
}
