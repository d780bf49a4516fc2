#pragma once

#include <outcome/outcome.h>

#include <support/fake_kv_store.h>

#include <fmt/format.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigold::outcome::testing {

using marigold::testing::fake_kv_store;

/// Timers of a process that can be paused and killed.
class process_timers final : public base::scheduler {
public:
    process_timers(base::manual_clock& time, base::manual_scheduler& timers)
        : m_clock(time)
        , m_scheduler(timers)
    {
    }

    base::timer_id runAfter(base::duration delay, std::function<void()> task) override
    {
        const base::timer_id id = ++m_last;
        start(id, delay, std::move(task));
        return id;
    }

    void cancel(base::timer_id id) override
    {
        m_deferred.erase(id);
        const auto node = m_pending.extract(id);
        if (!node.empty())
            m_scheduler.cancel(node.mapped());
    }

    void pause(base::duration length)
    {
        m_pausedUntil = m_clock.now() + length;
        m_scheduler.runAfter(length, [this] {
            if (!isPaused())
                resume();
        });
    }

    void resume()
    {
        m_pausedUntil = m_clock.now();
        for (auto& [id, task] : std::exchange(m_deferred, {}))
            start(id, base::duration::zero(), std::move(task));
    }

    bool isPaused() const { return m_clock.now() < m_pausedUntil; }
    void kill() { m_dead = true; }
    bool isDead() const { return m_dead; }

private:
    void start(base::timer_id id, base::duration delay, std::function<void()> task)
    {
        m_pending[id] = m_scheduler.runAfter(delay, [this, id, task = std::move(task)] {
            m_pending.erase(id);
            if (m_dead)
                return;
            if (isPaused()) {
                m_deferred.emplace(id, task);
                return;
            }
            task();
        });
    }

    base::manual_clock& m_clock;
    base::manual_scheduler& m_scheduler;
    base::time_point m_pausedUntil {};
    bool m_dead = false;
    base::timer_id m_last = 0;
    std::map<base::timer_id, base::timer_id> m_pending;
    std::map<base::timer_id, std::function<void()>> m_deferred; ///< Timers that expired during a pause.
};

/// Wall clock of one VM with a constant offset.
class skewed_clock final : public base::clock {
public:
    skewed_clock(base::clock& time, base::duration skew)
        : m_clock(time)
        , m_skew(skew)
    {
    }
    base::time_point now() const override { return m_clock.now(); }
    base::wall_time wallNow() const override { return m_clock.wallNow() + m_skew; }

private:
    base::clock& m_clock;
    base::duration m_skew;
};

enum class call_fault {
    None,
    Unavailable,
    LostRequest,
    LostAnswer,
    Slow, ///< Takes effect with a delay and is answered afterwards.
    Late, ///< Is reported as lost but takes effect up to 8 s later.
    Last = Late,
};

/// Connection of one process to the shared service, with random faults and a check of the write rate.
class faulty_store final : public platform::kv_store {
public:
    faulty_store(fake_kv_store& inner, base::manual_clock& time, base::manual_scheduler& network,
        process_timers& process, std::uint64_t seed)
        : m_inner(inner)
        , m_clock(time)
        , m_network(network)
        , m_process(process)
        , m_random(seed)
    {
    }

    int faultPercent = 0;
    std::deque<call_fault> nextFaults; ///< Applied before random faults.
    base::duration slowest = std::chrono::milliseconds(300);
    bool writeRateViolated = false; ///< Two writes of a shard overlapped or started within 80 ms.

    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override
    {
        call<std::optional<platform::kv_entry>>(
            done, [this, key = std::string(key)](auto answer) { m_inner.get(key, std::move(answer)); });
    }

    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        auto& [started, busy] = m_shards[write.key.substr(write.key.rfind('/'))];
        writeRateViolated
            = writeRateViolated || busy || m_clock.now() < started + std::chrono::milliseconds(80);
        started = m_clock.now();
        busy = true;
        call<std::uint64_t>(
            [&busy = busy, done = std::move(done)](const base::result<std::uint64_t>& result) {
                busy = false;
                done(result);
            },
            [this, write = std::move(write)](auto answer) { m_inner.put(write, std::move(answer)); });
    }

    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override
    {
        call<void>(done, [this, key = std::string(key), expectedRevision](auto answer) {
            m_inner.remove(key, expectedRevision, std::move(answer));
        });
    }

    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override
    {
        call<std::vector<platform::kv_entry>>(
            done, [this, prefix = std::string(prefix), after = std::string(after), limit](auto answer) {
                m_inner.range(prefix, after, limit, std::move(answer));
            });
    }

    void grantLease(base::duration, callback<std::uint64_t>) override { }
    void keepAlive(std::uint64_t, callback<void>) override { }
    void revokeLease(std::uint64_t, callback<void>) override { }
    void watch(std::string_view, std::uint64_t, base::duration, callback<platform::kv_watch_batch>) override
    {
    }

private:
    call_fault pick()
    {
        call_fault fault = call_fault::None;
        if (!nextFaults.empty()) {
            fault = nextFaults.front();
            nextFaults.pop_front();
        } else if (m_random.below(100) < static_cast<std::uint64_t>(faultPercent)) {
            fault = static_cast<call_fault>(m_random.below(static_cast<std::uint64_t>(call_fault::Last) + 1));
        }
        return fault;
    }

    base::duration randomDelay(base::duration longest)
    {
        return base::duration(m_random.below(static_cast<std::uint64_t>(longest.count())));
    }

    template <typename T> void call(const callback<T>& done, const std::function<void(callback<T>)>& send)
    {
        constexpr base::duration timeout = std::chrono::milliseconds(50);
        const callback<T> answer = [this, done](const base::result<T>& result) {
            m_process.runAfter(base::duration::zero(), [done, result] { done(result); });
        };
        const callback<T> lost = [answer](const base::result<T>&) {
            answer(base::mayHaveRun(base::error_reason::Unavailable, "lost answer"));
        };
        const call_fault fault = pick();
        if (fault == call_fault::None)
            return send(answer);
        if (fault == call_fault::Unavailable)
            return answer(base::notRun(base::error_reason::Unavailable, "service is down"));
        if (fault == call_fault::LostAnswer)
            return send(lost);
        if (fault == call_fault::Slow) {
            m_network.runAfter(randomDelay(slowest), [send, answer] { send(answer); });
            return;
        }
        m_network.runAfter(timeout, [lost] { lost(base::result<T>(tl::unexpected(base::error {}))); });
        if (fault == call_fault::Late)
            m_network.runAfter(randomDelay(std::chrono::seconds(8)), [send] { send([](const auto&) {}); });
    }

    fake_kv_store& m_inner;
    base::manual_clock& m_clock;
    base::manual_scheduler& m_network;
    process_timers& m_process;
    base::random_source m_random;
    std::map<std::string, std::pair<base::time_point, bool>> m_shards;
};

/// One incarnation of a process with its ledger.
struct claim_process {
    claim_process(fake_kv_store& service, base::manual_clock& time, base::manual_scheduler& network,
        std::string processName, base::duration skew, std::uint64_t seed, claim_ledger::options options)
        : name(std::move(processName))
        , clock(time, skew)
        , timers(time, network)
        , store(service, time, network, timers, seed)
        , random(seed + 1)
    {
        options.service = "orders";
        options.process = name;
        ledger = std::make_unique<claim_ledger>(store, clock, timers, random, std::move(options));
    }

    void kill()
    {
        timers.kill();
        ledger.reset();
    }

    std::string name;
    skewed_clock clock;
    process_timers timers;
    faulty_store store;
    base::random_source random;
    std::unique_ptr<claim_ledger> ledger;
};

/// Returns a key that was created at \a created.
inline idempotency_key keyAt(base::wall_time created, base::random_source& random)
{
    idempotency_key key { .bytes = randomId(random) };
    auto milliseconds = static_cast<std::uint64_t>(created.time_since_epoch() / std::chrono::milliseconds(1));
    for (std::size_t i = 6; i-- > 0; milliseconds >>= 8)
        key.bytes[i] = static_cast<std::uint8_t>(milliseconds & 0xff);
    return key;
}

} // namespace marigold::outcome::testing
