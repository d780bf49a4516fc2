#include <relay/transfer_window.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace marigold;
using namespace marigold::relay;

namespace {

/// A store whose link carries one transfer after the other.
struct link {
    base::duration nominal = std::chrono::milliseconds(35);
    double slowness = 1;
    base::time_point freeAt {};
    struct transfer {
        base::time_point sent;
        base::time_point ends;
    };
    std::deque<transfer> underWay;

    void send(base::time_point now)
    {
        freeAt = std::max(freeAt, now)
            + base::duration(static_cast<std::int64_t>(slowness * static_cast<double>(nominal.count())));
        underWay.push_back({ .sent = now, .ends = freeAt });
    }
};

/// Offers a transfer each \a interval for \a time; returns the longest delay of the second half.
base::duration longestDelay(
    transfer_window& window, link& store, base::time_point& now, base::duration interval, base::duration time)
{
    base::duration longest { 0 };
    const base::time_point half = now + time / 2;
    const base::time_point end = now + time;
    for (; now < end; now += interval) {
        while (!store.underWay.empty() && store.underWay.front().ends <= now) {
            const base::duration delay = store.underWay.front().ends - store.underWay.front().sent;
            if (now > half)
                longest = std::max(longest, delay);
            window.ended(delay - store.nominal, now);
            store.underWay.pop_front();
        }
        if (!window.hasRoom())
            continue;
        window.began();
        store.send(now);
    }
    return longest;
}

} // namespace

TEST_CASE("a link that turned slow keeps a short queue and is used fully again when it recovers")
{
    // Guards against fetches that queue for seconds at a slow store: worth fell to 0.3 for six seconds after
    // links of the stores were four times slower for five seconds.
    transfer_window window;
    link store;
    base::time_point now { std::chrono::seconds(1) };
    CHECK(longestDelay(window, store, now, std::chrono::milliseconds(40), std::chrono::seconds(4))
        < std::chrono::milliseconds(100));
    CHECK(window.size() >= 8);
    store.slowness = 4;
    CHECK(longestDelay(window, store, now, std::chrono::milliseconds(40), std::chrono::seconds(6))
        < std::chrono::milliseconds(600));
    CHECK(window.size() < 5);
    store.slowness = 1;
    longestDelay(window, store, now, std::chrono::milliseconds(40), std::chrono::seconds(6));
    CHECK(window.size() >= 5);
}

TEST_CASE("transfers without an outcome give their place back")
{
    // Guards against a window that is closed for ever by requests that ended without a first token.
    transfer_window window({ .initial = 2 });
    window.began();
    window.began();
    CHECK_FALSE(window.hasRoom());
    window.dropped();
    CHECK(window.hasRoom());
}

TEST_CASE("single slow transfers are the fault of their targets and leave the window alone")
{
    // Guards against parts that are read again since a few targets crashed: 0.9 M tokens on a day with three
    // crashes.
    transfer_window window({ .initial = 2 });
    base::time_point now { std::chrono::seconds(9) };
    const auto end = [&](base::duration excess) {
        window.began();
        now += std::chrono::seconds(1);
        window.ended(excess, now);
    };
    const double before = window.size();
    for (int i = 0; i < 10; ++i) {
        end(std::chrono::seconds(2));
        end(base::duration::zero());
        end(base::duration::zero());
    }
    CHECK(window.size() > before);
    for (int i = 0; i < 10; ++i)
        end(std::chrono::seconds(2));
    CHECK(window.size() == 1);
    CHECK(window.hasRoom());
}
