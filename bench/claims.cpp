/// \brief Key-value calls per order, added wait and bytes per claim of the claim ledger.
///
/// One agent owns all 16 shards and receives orders at the rates of docs/design.md on a manual clock. The
/// key-value service replies after 2 ms. The exit code is 0 if at every rate each order was granted once and
/// the ledger made at most 200 writes/s.

#include <outcome/outcome.h>

#include "../tests/support/fake_kv_store.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

constexpr std::array<int, 4> ratesPerSecond { 10, 170, 340, 3400 };
constexpr double writesPerSecondBound = 200; // 16 shards with one write per 80 ms each
constexpr double meanServiceSeconds = 0.2; // of the plain service
constexpr std::size_t answerBytes = 256;

struct run_options {
    std::uint64_t seed = 1;
    base::duration length = 20s;
};

struct run_results {
    std::size_t orders = 0;
    std::size_t granted = 0;
    double callsPerOrder = 0;
    double writesPerSecond = 0;
    double readsPerSecond = 0;
    double writtenMegabytesPerSecond = 0;
    double waitP50Ms = 0;
    double waitP99Ms = 0;
    double storedBytesPerClaim = 0;
    double memoryBytesPerClaim = 0;
    std::size_t largestValueBytes = 0;
    double cpuMicrosecondsPerOrder = 0;
    bool promisesHeld = false;
};

struct running_order {
    base::time_point end;
    outcome::claim_ticket ticket;
    bool operator>(const running_order& other) const { return end > other.end; }
};

/// Simulates orders at one rate, from their arrival at the agent to the stored result.
class order_run {
public:
    order_run(const run_options& options, int rate)
        : m_options(options)
        , m_rate(rate)
        , m_random(options.seed)
        , m_ledger(m_service, m_time, m_timers, m_random,
              { .service = "orders", .process = "10.0.0.1:7000-0123456789abcdef", .cacheBytes = 1U << 30 })
    {
    }

    run_results run()
    {
        const auto cpuStart = std::chrono::steady_clock::now();
        const base::time_point end = m_time.now() + m_options.length;
        base::time_point nextOrder = m_time.now();
        while (nextOrder < end) {
            advanceTo(nextOrder);
            order();
            nextOrder += base::duration(1 + static_cast<std::int64_t>(m_random.exponential(1e6 / m_rate)));
        }
        const outcome::claim_counts atEnd = m_ledger.counts();
        const auto largest = std::max_element(m_service.entries.begin(), m_service.entries.end(),
            [](const auto& a, const auto& b) { return a.second.value.size() < b.second.value.size(); });
        advanceTo(end + 5s); // until the last calls have ended and their results are stored
        const auto cpu = std::chrono::steady_clock::now() - cpuStart;
        return results(atEnd, largest == m_service.entries.end() ? 0 : largest->second.value.size(),
            std::chrono::duration<double, std::micro>(cpu).count());
    }

private:
    void order()
    {
        ++m_orders;
        const base::time_point arrived = m_time.now();
        m_ledger.claim({ .team = "bergvik",
                           .key = newKey(),
                           .request = outcome::claim_ledger::requestDigest("POST", "/orders", "body") },
            [this, arrived](const base::result<outcome::claim_outcome>& outcome) {
                if (!outcome || !outcome->ticket)
                    return;
                m_waitsMs.push_back(
                    std::chrono::duration<double, std::milli>(m_time.now() - arrived).count());
                const base::duration service(
                    static_cast<std::int64_t>(m_random.exponential(meanServiceSeconds * 1e6)));
                m_running.push({ m_time.now() + service, *outcome->ticket });
            });
    }

    outcome::idempotency_key newKey()
    {
        outcome::idempotency_key key { .bytes = outcome::randomId(m_random) };
        auto milliseconds
            = static_cast<std::uint64_t>(m_time.wallNow().time_since_epoch() / std::chrono::milliseconds(1));
        for (std::size_t i = 6; i-- > 0; milliseconds >>= 8)
            key.bytes[i] = static_cast<std::uint8_t>(milliseconds & 0xff);
        return key;
    }

    void advanceTo(base::time_point target)
    {
        while (!m_running.empty() && m_running.top().end <= target) {
            const running_order done = m_running.top();
            m_running.pop();
            m_timers.advance(std::max(done.end - m_time.now(), base::duration::zero()));
            m_ledger.finished(done.ticket,
                { .status = 201, .contentType = "application/json", .body = std::string(answerBytes, 'x') });
        }
        m_timers.advance(std::max(target - m_time.now(), base::duration::zero()));
    }

    run_results results(const outcome::claim_counts& atEnd, std::size_t largest, double cpuMicroseconds)
    {
        const double seconds = std::chrono::duration<double>(m_options.length).count();
        const auto perOrder = [&](double total) { return total / static_cast<double>(m_orders); };
        const outcome::claim_counts& total = m_ledger.counts();
        std::size_t stored = 0;
        for (const auto& [key, entry] : m_service.entries)
            stored += entry.value.size();
        std::sort(m_waitsMs.begin(), m_waitsMs.end());
        run_results out { .orders = m_orders,
            .granted = m_waitsMs.size(),
            .callsPerOrder = perOrder(static_cast<double>(total.reads + total.writes)),
            .writesPerSecond = static_cast<double>(atEnd.writes) / seconds,
            .readsPerSecond = static_cast<double>(atEnd.reads) / seconds,
            .writtenMegabytesPerSecond = static_cast<double>(atEnd.bytesWritten) / seconds / 1e6,
            .waitP50Ms = percentile(0.50),
            .waitP99Ms = percentile(0.99),
            .storedBytesPerClaim = perOrder(static_cast<double>(stored)),
            .memoryBytesPerClaim = perOrder(static_cast<double>(m_ledger.cachedBytes())),
            .largestValueBytes = largest,
            .cpuMicrosecondsPerOrder = perOrder(cpuMicroseconds) };
        out.promisesHeld = out.granted == out.orders && total.granted == out.orders
            && out.writesPerSecond <= writesPerSecondBound && !m_ledger.hasPending();
        return out;
    }

    double percentile(double share) const
    {
        if (m_waitsMs.empty())
            return 0;
        return m_waitsMs[static_cast<std::size_t>(share * static_cast<double>(m_waitsMs.size() - 1))];
    }

    run_options m_options;
    int m_rate;
    base::random_source m_random;
    base::manual_clock m_time;
    base::manual_scheduler m_timers { m_time };
    testing::fake_kv_store m_service { m_time, m_timers };
    outcome::claim_ledger m_ledger;
    std::size_t m_orders = 0;
    std::vector<double> m_waitsMs;
    std::priority_queue<running_order, std::vector<running_order>, std::greater<>> m_running;
};

std::string print(int rate, const run_results& f)
{
    fmt::print("{:>5} orders/s: {} orders, {:.3f} calls/order, {:.1f} writes/s, {:.1f} reads/s, {:.2f} MB/s "
               "written, wait p50 {:.1f} ms p99 {:.1f} ms, {:.0f} B/claim stored, {:.0f} B/claim in memory, "
               "largest value {:.0f} kB, {:.1f} us/order{}\n",
        rate, f.orders, f.callsPerOrder, f.writesPerSecond, f.readsPerSecond, f.writtenMegabytesPerSecond,
        f.waitP50Ms, f.waitP99Ms, f.storedBytesPerClaim, f.memoryBytesPerClaim,
        static_cast<double>(f.largestValueBytes) / 1000, f.cpuMicrosecondsPerOrder,
        f.promisesHeld ? "" : "  PROMISE BROKEN");
    return fmt::format(
        " calls_per_order_at_{0}={1:.3f} writes_per_s_at_{0}={2:.1f} wait_p50_ms_at_{0}={3:.1f} "
        "wait_p99_ms_at_{0}={4:.1f} written_mb_per_s_at_{0}={5:.2f} stored_bytes_per_claim_at_{0}="
        "{6:.0f} memory_bytes_per_claim_at_{0}={7:.0f}",
        rate, f.callsPerOrder, f.writesPerSecond, f.waitP50Ms, f.waitP99Ms, f.writtenMegabytesPerSecond,
        f.storedBytesPerClaim, f.memoryBytesPerClaim);
}

} // namespace

int main(int argc, char** argv)
{
    run_options options;
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--seed" && i + 1 < argc)
            options.seed = std::strtoull(argv[++i], nullptr, 10);
        else if (argument == "--long")
            options.length = 120s;
        else {
            fmt::print(stderr, "usage: bench_claims [--seed N] [--long]\n");
            return 2;
        }
    }
    fmt::print("seed: {}\n", options.seed);
    bool held = true;
    std::string result;
    for (const int rate : ratesPerSecond) {
        const run_results results = order_run(options, rate).run();
        held = held && results.promisesHeld;
        result += print(rate, results);
    }
    fmt::print("result: promises_held={}{}\n", held ? 1 : 0, result);
    return held ? 0 : 1;
}
