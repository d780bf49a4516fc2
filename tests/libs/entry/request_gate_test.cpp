#include <entry/request_gate.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;

TEST_CASE("the gate admits at most as many requests as its bound, and each request has one outcome")
{
    // Guards against requests that are lost in the queue, and against an entry that overloads the targets.
    CHECK(rc::check("bound and outcome", [] {
        base::manual_clock clock;
        base::manual_scheduler timers(clock);
        entry::request_gate gate(clock, timers, { .capacity = 8, .bound = 3 });
        int entered = 0;
        int outcomes = 0;
        int running = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::element(0, 1, 2, 3));
        for (const int step : steps) {
            if (step < 2) {
                ++entered;
                gate.enter(step == 0 ? "a" : "b", 1.0, clock.now() + std::chrono::milliseconds(200),
                    [&](const base::result<void>& admitted) {
                        ++outcomes;
                        if (admitted)
                            ++running;
                        else
                            RC_ASSERT(admitted.error().verdict == base::verdict::NotRun);
                    });
            } else if (step == 2 && running > 0) {
                --running;
                gate.leave();
            } else {
                timers.advance(std::chrono::milliseconds(60));
            }
            RC_ASSERT(running <= 3);
        }
        timers.advance(std::chrono::seconds(1));
        while (running > 0) {
            --running;
            gate.leave();
            timers.advance(std::chrono::milliseconds(100));
        }
        RC_ASSERT(outcomes == entered);
        RC_ASSERT(gate.waiting() == 0U);
    }));
}
