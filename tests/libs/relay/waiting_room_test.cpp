#include <relay/waiting_room.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

using namespace marigold;
using namespace marigold::relay;

namespace {

struct world {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    waiting_room room { timers, clock, {} };
    int places = 0; ///< That are free now.
    int largest = 1'000'000; ///< Size that finds room.
    std::vector<std::string> placed;
    std::vector<std::string> givenUp;

    struct request final : waiting_request {
        world* owner;
        std::string name;
        int priority;
        int tokens;
        base::time_point arrived;
        base::time_point goal;

        bool ready = true;

        place_attempt tryPlace() override
        {
            if (!ready)
                return place_attempt::NotReady;
            if (owner->places == 0 || tokens > owner->largest)
                return place_attempt::NoRoom;
            --owner->places;
            owner->placed.push_back(name);
            return place_attempt::Placed;
        }
        void giveUp() override { owner->givenUp.push_back(name); }
        base::time_point waitsUntil() const override { return arrived + std::chrono::milliseconds(1500); }
        std::string_view service() const override { return "svc"; }
        int urgency() const override { return priority; }
        int size() const override { return tokens; }
        base::time_point arrivedAt() const override { return arrived; }
        base::time_point latestPlaceAt() const override { return goal; }
    };
    std::deque<request> requests;

    request& add(
        const std::string& name, int priority, int tokens, base::duration goal = std::chrono::seconds(1))
    {
        request& item = requests.emplace_back();
        item.owner = this;
        item.name = name;
        item.priority = priority;
        item.tokens = tokens;
        item.arrived = clock.now();
        item.goal = clock.now() + goal;
        room.add(item);
        clock.advance(std::chrono::microseconds(1));
        return item;
    }

    void run(base::duration time) { timers.advance(time); }
};

} // namespace

TEST_CASE("urgent requests take the first place, and equals go by their arrival")
{
    // Guards against short prompts that wait behind long ones: the worst-served kind of request of a burst.
    world w;
    w.add("long-1", 1, 12'000);
    w.add("long-2", 1, 12'000);
    w.add("short", 0, 2'000);
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed.empty());
    w.places = 2;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed == std::vector<std::string> { "short", "long-1" });
    w.places = 1;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed.back() == "long-2");
    CHECK(w.room.size() == 0);
}

TEST_CASE("in a burst those go first that can still be answered in time")
{
    // Guards against a queue in which every request is answered late, since each waits for those before it.
    world w;
    w.add("late", 0, 2'000, std::chrono::milliseconds(100));
    w.run(std::chrono::milliseconds(200));
    w.add("fresh", 1, 12'000);
    w.places = 1;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed == std::vector<std::string> { "fresh" });
}

TEST_CASE("twice the load that the targets bear leaves them busy with requests in time")
{
    // Guards against an overload in which each request is placed when its goal passes and is answered late:
    // of four times the load, 37 in 100 short requests were in time instead of 49.
    world w;
    constexpr base::duration step = std::chrono::milliseconds(10);
    constexpr base::duration goal = std::chrono::milliseconds(500);
    constexpr base::duration prefill = std::chrono::milliseconds(200);
    std::map<std::string, base::time_point> arrived;
    int served = 0;
    int inTime = 0;
    for (int i = 0; i < 1000; ++i) {
        for (int j = 0; j < 2; ++j) {
            const std::string name = std::to_string(2 * i + j);
            arrived[name] = w.clock.now();
            w.add(name, 0, 2'000, goal - prefill);
        }
        w.places = 1; // Frees again in each step.
        w.run(step);
        for (const std::string& name : w.placed) {
            ++served;
            inTime += w.clock.now() + prefill - arrived[name] <= goal + step;
        }
        w.placed.clear();
    }
    CHECK(served >= 990);
    CHECK(inTime >= 950);
}

TEST_CASE("the order is that of one moment, also while time goes on")
{
    // Guards against a comparison that changes during a sort, which then reads outside its range (a relay
    // crashed with many waiting requests on the day orders-late, seed 543221757167).
    class ticking_clock final : public base::clock {
    public:
        base::time_point now() const override { return base::time_point(std::chrono::milliseconds(++reads)); }
        base::wall_time wallNow() const override { return {}; }
        mutable int reads = 1000;
    };
    ticking_clock time;
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    waiting_room room { timers, time, {} };
    world w;
    w.places = 1000;
    constexpr int count = 200;
    for (int i = 0; i < count; ++i) {
        auto& item = w.requests.emplace_back();
        item.owner = &w;
        item.name = std::to_string(i);
        item.priority = i % 3;
        item.tokens = 1;
        item.arrived = base::time_point(std::chrono::milliseconds(i));
        item.goal = base::time_point(std::chrono::milliseconds(1000 + (i * 37) % 400));
        room.add(item);
    }
    const base::time_point moment(std::chrono::milliseconds(time.reads + 1));
    room.pump();
    REQUIRE(w.placed.size() == count);
    std::vector<std::tuple<bool, int, base::time_point>> ranks;
    for (const std::string& name : w.placed) {
        const auto& item = w.requests[std::stoul(name)];
        ranks.emplace_back(item.goal < moment, item.priority, item.arrived);
    }
    CHECK(std::is_sorted(ranks.begin(), ranks.end()));
}

TEST_CASE("a request that waits for its context keeps no larger one from a place")
{
    // Guards against large prompts left out of a burst: of the largest tenth 23 in 100 were served, of
    // all 81.
    world w;
    w.add("small", 0, 2'000).ready = false;
    w.add("large", 1, 20'000);
    w.places = 5;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed == std::vector<std::string> { "large" });
}

TEST_CASE("a small request passes a larger one that finds no room")
{
    // Guards against a head of the line that blocks requests for which there is memory.
    world w;
    w.largest = 5'000;
    w.add("large", 0, 12'000);
    w.add("small", 1, 2'000);
    w.places = 5;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed == std::vector<std::string> { "small" });
    w.largest = 20'000;
    w.run(std::chrono::milliseconds(30));
    CHECK(w.placed.back() == "large");
}

TEST_CASE("every request that has waited long enough is refused, also behind another one")
{
    // Guards against requests that are held until their callers leave, since one before them found no room.
    world w;
    w.add("first", 0, 2'000);
    w.add("behind", 0, 2'000);
    w.add("larger", 1, 12'000);
    w.run(std::chrono::milliseconds(1450));
    CHECK(w.givenUp.empty());
    w.run(std::chrono::milliseconds(100));
    CHECK(w.givenUp == std::vector<std::string> { "first", "behind", "larger" });
    CHECK(w.room.size() == 0);
}

TEST_CASE("a request that arrives does not pass those that wait")
{
    // Guards against a stream of new requests that starves one that waits.
    world w;
    w.add("waits", 0, 2'000);
    auto& arrives = w.add("arrives", 0, 2'000);
    w.room.remove(arrives);
    CHECK(w.room.mustWaitBehind(arrives));
    auto& urgent = w.add("urgent", -1, 1'000);
    w.room.remove(urgent);
    CHECK_FALSE(w.room.mustWaitBehind(urgent));
    w.places = 3;
    w.room.pumpSoon();
    w.run(base::duration::zero());
    CHECK(w.placed == std::vector<std::string> { "waits" });
    CHECK_FALSE(w.room.mustWaitBehind(arrives));
}
