#include <context/context.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::context;
using namespace std::chrono_literals;

namespace {

constexpr double bytesPerSecond = 1e6;
constexpr std::uint64_t chunkBytes = 1000;
constexpr base::duration chunkTime = 1ms;

/// Simulates a link with a fixed rate on a manual clock.
struct simulated_link {
    base::manual_clock time;
    transfer_link link { { .time = time,
        .initialBytesPerSecond = bytesPerSecond,
        .chunkBytes = chunkBytes,
        .backgroundShare = 0.25,
        .backgroundBurst = 10ms } };
    std::map<transfer_id, std::uint64_t> sent;
    std::map<transfer_id, base::time_point> completed;
    std::size_t chunks = 0;

    /// Sends one chunk, after waiting for the background budget if needed. \return false if nothing is queued
    bool sendChunk(double slowdown = 1)
    {
        const auto wait = link.backgroundWait();
        auto chunk = link.nextChunk();
        if (!chunk && wait) {
            time.advance(*wait);
            chunk = link.nextChunk();
        }
        if (!chunk)
            return false;
        RC_ASSERT(!link.nextChunk());
        RC_ASSERT(chunk->offset == sent[chunk->id]);
        sent[chunk->id] += chunk->bytes;
        ++chunks;
        time.advance(base::duration(static_cast<long>(static_cast<double>(chunk->bytes) * slowdown)));
        if (link.chunkDone())
            completed[chunk->id] = time.now();
        return true;
    }

    transfer_id add(int priority, std::uint64_t bytes, std::optional<base::duration> recomputeTime = {})
    {
        return link
            .submit({ .priority = static_cast<transfer_priority>(priority),
                .bytes = bytes,
                .recomputeTime = recomputeTime })
            .value();
    }
};

using arrival = std::tuple<int, std::uint64_t>;

rc::Gen<std::vector<arrival>> arrivals(int priorities)
{
    return rc::gen::nonEmpty(rc::gen::container<std::vector<arrival>>(
        rc::gen::tuple(rc::gen::inRange(0, priorities), rc::gen::inRange<std::uint64_t>(1, 9000))));
}

} // namespace

TEST_CASE("chunks are sent by priority and order of arrival, each byte once")
{
    // Guards against interactive transfers that wait for more than one chunk of others, and against bytes
    // that are lost or sent twice.
    CHECK(rc::check("order", [] {
        simulated_link simulated;
        std::map<transfer_id, std::uint64_t> submitted;
        for (const auto& [priority, bytes] : *arrivals(4)) {
            submitted[simulated.add(priority, bytes)] = bytes;
            const auto before = simulated.sent;
            const auto chunks = *rc::gen::inRange(0, 4);
            for (int i = 0; i < chunks; ++i) {
                const auto first = std::find_if(submitted.begin(), submitted.end(),
                    [&](const auto& entry) { return !simulated.completed.contains(entry.first); });
                if (first == submitted.end())
                    break;
                const std::uint64_t sent = simulated.sent[first->first];
                RC_ASSERT(simulated.sendChunk());
                RC_ASSERT(simulated.sent[first->first] > sent);
            }
        }
        while (simulated.sendChunk()) { }
        RC_ASSERT(simulated.sent == submitted);
        RC_ASSERT(simulated.link.transfers() == 0U);
    }));
}

TEST_CASE("the estimate for a new transfer equals its completion time")
{
    // Guards against loading context that arrives later than it could have been recomputed.
    CHECK(rc::check("estimate", [] {
        simulated_link simulated;
        for (const auto& [priority, bytes] : *arrivals(4))
            simulated.add(priority, bytes);
        const auto priority = *rc::gen::inRange(0, 4);
        const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 9000);
        const auto expected = simulated.link.estimate(static_cast<transfer_priority>(priority), bytes);
        const auto start = simulated.time.now();
        const auto id = simulated.add(priority, bytes);
        RC_ASSERT(*simulated.link.remaining(id) == expected);
        while (!simulated.completed.contains(id))
            RC_ASSERT(simulated.sendChunk());
        // The tolerance per chunk covers the rounding of the clock and the microsecond added to background
        // waits.
        const auto tolerance = base::duration(2 + 2 * static_cast<long>(simulated.chunks));
        const auto actual = simulated.completed[id] - start;
        RC_ASSERT(std::chrono::abs(actual - expected) <= tolerance);
    }));
}

TEST_CASE("the estimated rate converges to that of the link")
{
    // Guards against estimates from an outdated bandwidth.
    CHECK(rc::check("rate", [] {
        const auto slowdown = *rc::gen::inRange(1, 50);
        simulated_link simulated;
        simulated.add(1, 1'000'000'000);
        // After twelve half-lives, the initial rate has a weight of less than 0.1%.
        const auto end = simulated.time.now() + 60s;
        while (simulated.time.now() < end)
            RC_ASSERT(simulated.sendChunk(slowdown * 10));
        const double expected = bytesPerSecond / (slowdown * 10);
        RC_ASSERT(std::abs(simulated.link.bytesPerSecond() - expected) < 0.05 * expected);
    }));
}

TEST_CASE("transfers that are slower than recomputation are cancelled, and no others")
{
    // Guards against waiting for a slow or stalled link, and against cancelling transfers that arrive in
    // time.
    CHECK(rc::check("cancellation", [] {
        simulated_link simulated;
        struct pending {
            transfer_id id;
            std::uint64_t bytes;
            std::optional<base::duration> recomputeTime;
        };
        std::vector<pending> queue;
        for (const auto& [priority, bytes] : *arrivals(3)) {
            const auto allowed = *rc::gen::inRange(0, 40);
            const auto recomputeTime = allowed == 0 ? std::nullopt : std::optional(allowed * chunkTime);
            queue.push_back({ simulated.add(priority, bytes, recomputeTime), bytes, recomputeTime });
        }
        std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
        std::vector<transfer_id> expected;
        std::uint64_t ahead = 0;
        for (const auto& entry : queue) {
            const base::duration complete(static_cast<long>(ahead + entry.bytes));
            if (entry.recomputeTime && complete > *entry.recomputeTime * 11 / 10)
                expected.push_back(entry.id);
            else
                ahead += entry.bytes;
        }
        RC_ASSERT(simulated.link.cancelLate() == expected);
        RC_ASSERT(simulated.link.cancelLate().empty());
        // The link stalls while a chunk is being sent: all transfers that can be recomputed are cancelled.
        const auto running = simulated.link.nextChunk();
        RC_PRE(running.has_value());
        simulated.time.advance(10s);
        simulated.link.cancelLate();
        for (const auto& entry : queue) {
            const bool left = simulated.link.remaining(entry.id).has_value();
            RC_ASSERT(left == !entry.recomputeTime);
        }
        simulated.link.chunkFailed();
        RC_ASSERT(!simulated.link.remaining(running->id));
    }));
}

TEST_CASE("background transfers stay within their share")
{
    // Guards against moves between tiers that saturate the link, and against a budget that accumulates
    // without limit while the link is idle.
    CHECK(rc::check("budget", [] {
        simulated_link simulated;
        simulated.time.advance(std::chrono::seconds(*rc::gen::inRange(0, 1000)));
        const auto id = simulated.add(3, 100'000'000);
        const auto start = simulated.time.now();
        const auto chunks = *rc::gen::inRange(100, 1000);
        for (int i = 0; i < chunks; ++i)
            RC_ASSERT(simulated.sendChunk());
        const double elapsed = std::chrono::duration<double>(simulated.time.now() - start).count();
        const double share = 0.25 * bytesPerSecond;
        const double burst = share * 0.01;
        const auto sent = static_cast<double>(simulated.sent[id]);
        RC_ASSERT(sent <= share * elapsed + burst + 2 * chunkBytes);
        RC_ASSERT(sent >= share * elapsed * 0.95 - 2 * chunkBytes);
    }));
}

TEST_CASE("requests beyond the limits are rejected, and reports without a chunk in flight are ignored")
{
    // Guards against an unbounded queue, and against a late report that completes the wrong transfer.
    base::manual_clock time;
    transfer_link link({ .time = time, .maximumTransfers = 1 });
    CHECK(link.submit({ .bytes = 0 }).error().reason == base::error_reason::InvalidRequest);
    const auto id = link.submit({ .bytes = 5 }).value();
    CHECK(link.submit({ .bytes = 5 }).error().reason == base::error_reason::Overloaded);
    CHECK(!link.chunkDone());
    REQUIRE(link.nextChunk());
    CHECK(link.cancel(id));
    CHECK(!link.cancel(id));
    const auto next = link.submit({ .bytes = 5 }).value();
    CHECK(!link.nextChunk());
    CHECK(!link.chunkDone());
    CHECK(link.remaining(next).has_value());
}
