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
constexpr std::uint64_t pieceBytes = 1000;
constexpr base::duration pieceTime = 1ms;

/// A link at a fixed rate under a manual clock.
struct simulated_link {
    base::manual_clock time;
    transfer_link link { { .time = time,
        .initialBytesPerSecond = bytesPerSecond,
        .pieceBytes = pieceBytes,
        .backgroundShare = 0.25,
        .backgroundBurst = 10ms } };
    std::map<transfer_id, std::uint64_t> sent;
    std::map<transfer_id, base::time_point> completed;
    std::size_t pieces = 0;

    /// Sends one piece, or waits for the budget of background transfers. \return false when nothing is left
    bool sendPiece(double slowdown = 1)
    {
        const auto wait = link.backgroundWait();
        auto piece = link.nextPiece();
        if (!piece && wait) {
            time.advance(*wait);
            piece = link.nextPiece();
        }
        if (!piece)
            return false;
        RC_ASSERT(!link.nextPiece());
        RC_ASSERT(piece->offset == sent[piece->id]);
        sent[piece->id] += piece->bytes;
        ++pieces;
        time.advance(base::duration(static_cast<long>(static_cast<double>(piece->bytes) * slowdown)));
        if (link.pieceDone())
            completed[piece->id] = time.now();
        return true;
    }

    transfer_id add(int priority, std::uint64_t bytes, std::optional<base::duration> recompute = {})
    {
        return link
            .submit({ .priority = static_cast<transfer_priority>(priority),
                .bytes = bytes,
                .recompute = recompute })
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

TEST_CASE("pieces go out by priority and order of arrival, each byte once")
{
    // Guards against interactive transfers that wait behind others for more than a piece, and against bytes
    // that are lost or sent twice.
    CHECK(rc::check("order", [] {
        simulated_link simulated;
        std::map<transfer_id, std::uint64_t> wanted;
        for (const auto& [priority, bytes] : *arrivals(4)) {
            wanted[simulated.add(priority, bytes)] = bytes;
            const auto before = simulated.sent;
            const auto pieces = *rc::gen::inRange(0, 4);
            for (int i = 0; i < pieces; ++i) {
                const auto first = std::find_if(wanted.begin(), wanted.end(),
                    [&](const auto& entry) { return !simulated.completed.contains(entry.first); });
                if (first == wanted.end())
                    break;
                const std::uint64_t sent = simulated.sent[first->first];
                RC_ASSERT(simulated.sendPiece());
                RC_ASSERT(simulated.sent[first->first] > sent);
            }
        }
        while (simulated.sendPiece()) { }
        RC_ASSERT(simulated.sent == wanted);
        RC_ASSERT(simulated.link.transfers() == 0U);
    }));
}

TEST_CASE("the estimate for a new transfer is when it completes")
{
    // Guards against choosing to load context that arrives later than it could have been recomputed.
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
            RC_ASSERT(simulated.sendPiece());
        // Each piece may be off by the rounding of the clock and by the microsecond that background waits
        // add.
        const auto tolerance = base::duration(2 + 2 * static_cast<long>(simulated.pieces));
        const auto actual = simulated.completed[id] - start;
        RC_ASSERT(std::chrono::abs(actual - expected) <= tolerance);
    }));
}

TEST_CASE("the rate follows the link")
{
    // Guards against estimates from the bandwidth that the link once had.
    CHECK(rc::check("rate", [] {
        const auto slowdown = *rc::gen::inRange(1, 50);
        simulated_link simulated;
        simulated.add(1, 1'000'000'000);
        // Twelve half lives leave less than 0.1% of the earlier rate.
        const auto end = simulated.time.now() + 60s;
        while (simulated.time.now() < end)
            RC_ASSERT(simulated.sendPiece(slowdown * 10));
        const double expected = bytesPerSecond / (slowdown * 10);
        RC_ASSERT(std::abs(simulated.link.bytesPerSecond() - expected) < 0.05 * expected);
    }));
}

TEST_CASE("transfers that recomputation would overtake are cancelled, and no others")
{
    // Guards against waiting for a slow or stalled link, and against dropping context that arrives in time.
    CHECK(rc::check("cancellation", [] {
        simulated_link simulated;
        struct pending {
            transfer_id id;
            std::uint64_t bytes;
            std::optional<base::duration> recompute;
        };
        std::vector<pending> queue;
        for (const auto& [priority, bytes] : *arrivals(3)) {
            const auto allowed = *rc::gen::inRange(0, 40);
            const auto recompute = allowed == 0 ? std::nullopt : std::optional(allowed * pieceTime);
            queue.push_back({ simulated.add(priority, bytes, recompute), bytes, recompute });
        }
        std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
        std::vector<transfer_id> expected;
        std::uint64_t ahead = 0;
        for (const auto& entry : queue) {
            const base::duration complete(static_cast<long>(ahead + entry.bytes));
            if (entry.recompute && complete > *entry.recompute * 11 / 10)
                expected.push_back(entry.id);
            else
                ahead += entry.bytes;
        }
        RC_ASSERT(simulated.link.cancelLate() == expected);
        RC_ASSERT(simulated.link.cancelLate().empty());
        // The link stalls in the middle of a piece: everything that has an alternative is cancelled.
        const auto running = simulated.link.nextPiece();
        RC_PRE(running.has_value());
        simulated.time.advance(10s);
        simulated.link.cancelLate();
        for (const auto& entry : queue) {
            const bool left = simulated.link.remaining(entry.id).has_value();
            RC_ASSERT(left == !entry.recompute);
        }
        simulated.link.pieceFailed();
        RC_ASSERT(!simulated.link.remaining(running->id));
    }));
}

TEST_CASE("background transfers keep to their share")
{
    // Guards against moves between tiers that fill the link, and against a budget that piles up while idle.
    CHECK(rc::check("budget", [] {
        simulated_link simulated;
        simulated.time.advance(std::chrono::seconds(*rc::gen::inRange(0, 1000)));
        const auto id = simulated.add(3, 100'000'000);
        const auto start = simulated.time.now();
        const auto pieces = *rc::gen::inRange(100, 1000);
        for (int i = 0; i < pieces; ++i)
            RC_ASSERT(simulated.sendPiece());
        const double elapsed = std::chrono::duration<double>(simulated.time.now() - start).count();
        const double share = 0.25 * bytesPerSecond;
        const double burst = share * 0.01;
        const auto sent = static_cast<double>(simulated.sent[id]);
        RC_ASSERT(sent <= share * elapsed + burst + 2 * pieceBytes);
        RC_ASSERT(sent >= share * elapsed * 0.95 - 2 * pieceBytes);
    }));
}

TEST_CASE("requests outside of the limits are refused, and reports for nothing are ignored")
{
    // Guards against an unbounded queue and against a late report that completes the wrong transfer.
    base::manual_clock time;
    transfer_link link({ .time = time, .maximumTransfers = 1 });
    CHECK(link.submit({ .bytes = 0 }).error().reason == base::error_reason::InvalidRequest);
    const auto id = link.submit({ .bytes = 5 }).value();
    CHECK(link.submit({ .bytes = 5 }).error().reason == base::error_reason::Overloaded);
    CHECK(!link.pieceDone());
    REQUIRE(link.nextPiece());
    CHECK(link.cancel(id));
    CHECK(!link.cancel(id));
    const auto next = link.submit({ .bytes = 5 }).value();
    CHECK(!link.nextPiece());
    CHECK(!link.pieceDone());
    CHECK(link.remaining(next).has_value());
}
