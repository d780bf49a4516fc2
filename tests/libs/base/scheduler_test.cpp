#include <base/base.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include <rapidcheck.h>

using namespace marigold::base;

TEST_CASE("manual timers fire in order of due time, and cancelled ones do not fire")
{
    // Guards against tests that pass only because manual timers fire in a different order than real ones.
    CHECK(rc::check("order", [](const std::vector<std::uint16_t>& delays) {
        manual_clock time;
        manual_scheduler timers(time);
        std::vector<std::uint16_t> fired;
        for (std::size_t i = 0; i < delays.size(); ++i) {
            const timer_id id = timers.runAfter(
                duration(delays[i]), [&fired, delay = delays[i]] { fired.push_back(delay); });
            if (i % 3 == 2)
                timers.cancel(id);
        }
        timers.advance(duration(70000));
        RC_ASSERT(std::is_sorted(fired.begin(), fired.end()));
        RC_ASSERT(fired.size() == delays.size() - delays.size() / 3);
        RC_ASSERT(timers.pending() == 0U);
    }));
}
