#include <routing/fair_queue.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::routing;

namespace {
constexpr base::time_point now { std::chrono::seconds(1) };
}

TEST_CASE("backlogged teams are served in proportion to their weights")
{
    // Guards against a team that receives more than its share while others wait.
    CHECK(rc::check("shares", [] {
        const auto weights = *rc::gen::container<std::vector<int>>(
            *rc::gen::inRange<std::size_t>(2, 8), rc::gen::inRange(1, 6));
        fair_queue queue({ .burst = 0 });
        std::vector<double> served(weights.size(), 0);
        double largestCost = 0;
        for (std::size_t team = 0; team < weights.size(); ++team) {
            queue.setWeight(std::to_string(team), weights[team]);
            for (int i = 0; i < 200; ++i) {
                const double cost = *rc::gen::inRange(1, 10);
                largestCost = std::max(largestCost, cost);
                RC_ASSERT(queue.push(std::to_string(team), { .id = team, .cost = cost }).has_value());
            }
        }
        // No team runs out of its 200 requests in 150 pops.
        for (int i = 0; i < 150; ++i) {
            const auto item = queue.pop(now);
            RC_ASSERT(item.has_value());
            served[item->id] += item->cost;
        }
        // Bound of start-time fair queueing: the normalised service differs by one request of each team.
        for (std::size_t a = 0; a < weights.size(); ++a)
            for (std::size_t b = 0; b < weights.size(); ++b)
                RC_ASSERT(served[a] / weights[a] - served[b] / weights[b]
                    <= largestCost / weights[a] + largestCost / weights[b] + 1e-6);
    }));
}

TEST_CASE("the queue is work-conserving and stays within its limits under random arrivals")
{
    // Guards against lost or duplicated requests, and against a queue that grows without limit.
    CHECK(rc::check("conservation", [] {
        std::map<request_id, int> outcomes; // each request ends once: popped, refused or cancelled
        fair_queue queue(
            { .capacity = 20, .teamCapacity = 12, .refuse = [&](request_id id, const base::error& why) {
                 RC_ASSERT(why.verdict == base::verdict::NotRun);
                 ++outcomes[id];
             } });
        std::map<request_id, std::string> teams;
        for (request_id id = 1; id <= 300; ++id) {
            const std::string team = std::to_string(*rc::gen::inRange(0, 5));
            teams[id] = team;
            const auto deadline = *rc::gen::inRange(0, 10) == 0 ? now : base::time_point::max();
            if (!queue.push(team, { .id = id, .deadline = deadline }))
                ++outcomes[id];
            RC_ASSERT(queue.size() <= 20U);
            if (*rc::gen::inRange(0, 8) == 0) {
                const auto victim = *rc::gen::inRange<request_id>(1, id + 1);
                outcomes[victim] += queue.cancel(teams[victim], victim) ? 1 : 0;
            }
            const bool waiting = queue.size() > 0;
            if (*rc::gen::inRange(0, 3) == 0) {
                const auto item = queue.pop(now);
                RC_ASSERT((item || !waiting || queue.size() == 0));
                if (item)
                    ++outcomes[item->id];
            }
        }
        while (const auto item = queue.pop(now))
            ++outcomes[item->id];
        RC_ASSERT(queue.size() == 0U);
        for (request_id id = 1; id <= 300; ++id)
            RC_ASSERT(outcomes[id] == 1);
    }));
}

TEST_CASE("the backlog of a team delays another team by at most one request")
{
    // Guards against a request of a small team that is queued behind the backlog of a large team.
    CHECK(rc::check("isolation", [] {
        fair_queue queue({ .capacity = 100, .teamCapacity = 100, .burst = 0 });
        const int ahead = *rc::gen::inRange(1, 100);
        for (int i = 0; i < ahead; ++i)
            RC_ASSERT(queue.push("large", { .id = 1 }).has_value());
        for (int i = 0; i < *rc::gen::inRange(0, 3); ++i)
            queue.pop(now);
        RC_ASSERT(queue.push("small", { .id = 2 }).has_value());
        RC_ASSERT(((queue.pop(now)->id == 2) || (queue.pop(now)->id == 2)));
    }));
}

TEST_CASE("a full queue sheds the request that would be served last")
{
    // Guards against a burst of one team that makes the entry refuse all other teams.
    std::vector<request_id> refused;
    fair_queue queue(
        { .capacity = 10, .refuse = [&](request_id id, const base::error&) { refused.push_back(id); } });
    for (request_id id = 1; id <= 8; ++id)
        CHECK(queue.push("large", { .id = id }));
    for (request_id id = 9; id <= 10; ++id)
        CHECK(queue.push("medium", { .id = id }));
    const auto excess = queue.push("large", { .id = 11 });
    REQUIRE_FALSE(excess);
    CHECK(excess.error().reason == base::error_reason::Overloaded);
    CHECK(queue.push("small", { .id = 12 }));
    CHECK(refused == std::vector<request_id> { 8 });
}

TEST_CASE("a team that was idle catches up by at most its burst")
{
    // Guards against bursts that are either suppressed or unlimited.
    fair_queue queue({ .burst = 3 });
    for (request_id id = 0; id < 100; ++id)
        CHECK(queue.push("steady", { .id = 1 }));
    for (int i = 0; i < 50; ++i)
        queue.pop(now);
    for (request_id id = 0; id < 40; ++id)
        CHECK(queue.push("burst", { .id = 2 }));
    std::vector<int> served(3, 0);
    for (int i = 0; i < 20; ++i)
        ++served[queue.pop(now)->id];
    CHECK(served[2] - served[1] >= 2);
    CHECK(served[2] - served[1] <= 5);
}

TEST_CASE("the last slots are given only to teams whose waiting cost is within the burst")
{
    // Guards against a team that occupies all slots, and against requests of other teams that are skipped.
    fair_queue queue({ .burst = 3 });
    for (request_id id = 0; id < 5; ++id)
        CHECK(queue.push("large", { .id = 1 }));
    CHECK_FALSE(queue.pop(now, pop_scope::WithinBurst));
    CHECK(queue.push("small", { .id = 2 }));
    CHECK(queue.pop(now, pop_scope::WithinBurst)->id == 2);
    CHECK_FALSE(queue.pop(now, pop_scope::WithinBurst));
    CHECK(queue.pop(now)->id == 1);
    CHECK(queue.pop(now)->id == 1);
    CHECK(queue.pop(now, pop_scope::WithinBurst)->id == 1);
}
