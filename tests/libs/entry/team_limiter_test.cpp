#include <entry/team_limiter.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;

namespace {

control::name_map<control::team> teamWith(control::team_limits limits, double burst = 1)
{
    control::name_map<control::team> teams;
    teams["t"] = { .burst = burst, .limits = limits };
    return teams;
}

} // namespace

TEST_CASE("no schedule of requests exceeds the rate of a team by more than its burst")
{
    // Guards against a team that takes the share of others by sending requests in bursts.
    CHECK(rc::check("rate", [] {
        base::manual_clock clock;
        entry::team_limiter limiter(clock);
        const int rate = *rc::gen::inRange(1, 50);
        limiter.configure(teamWith({ .requestsPerSecond = rate }, 2), 1);
        const base::time_point start = clock.now();
        double admitted = 0;
        for (const int wait : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200))) {
            clock.advance(std::chrono::milliseconds(wait));
            const auto entered = limiter.enter("t", 1);
            admitted += entered.has_value();
            if (!entered) {
                RC_ASSERT(entered.error().verdict == base::verdict::NotRun);
                clock.advance(entered.error().retryAfter);
                RC_ASSERT(limiter.enter("t", 1).has_value());
                ++admitted;
            }
            const double seconds = std::chrono::duration<double>(clock.now() - start).count();
            RC_ASSERT(admitted <= 2 * rate + rate * seconds + 1e-6);
        }
    }));
}

TEST_CASE("concurrent requests stay below the share of this entry")
{
    // Guards against a limit that each of several entries grants in full.
    base::manual_clock clock;
    entry::team_limiter limiter(clock);
    limiter.configure(teamWith({ .concurrentRequests = 8 }), 4);
    CHECK(limiter.enter("t", 1).has_value());
    CHECK(limiter.enter("t", 1).has_value());
    CHECK(!limiter.enter("t", 1).has_value());
    limiter.leave("t");
    CHECK(limiter.enter("t", 1).has_value());
    CHECK(limiter.running("t") == 2);
    CHECK(!limiter.enter("unknown", 1).has_value());
}

TEST_CASE("a request larger than the bucket is admitted once and charged in full")
{
    // Guards against a request larger than the bucket that can never run, and against one that is not
    // charged.
    base::manual_clock clock;
    entry::team_limiter limiter(clock);
    limiter.configure(teamWith({ .tokensPerSecond = 100 }), 1);
    CHECK(limiter.enter("t", 1000).has_value());
    clock.advance(std::chrono::seconds(9));
    CHECK(!limiter.enter("t", 10).has_value());
    clock.advance(std::chrono::seconds(1));
    CHECK(limiter.enter("t", 10).has_value());
}
