#include "fake_engine.h"

#include <control/control.h>
#include <support/fake_kv_store.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;
using marigold::testing::fake_engine;
using marigold::testing::fake_kv_store;
using marigold::testing::kv_fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Forwards timers, but defers them while its process is paused.
class pausable_scheduler final : public base::scheduler {
public:
    explicit pausable_scheduler(base::manual_scheduler& timers)
        : m_timers(timers)
    {
    }

    base::timer_id runAfter(base::duration delay, std::function<void()> task) override
    {
        return m_timers.runAfter(delay, [this, task = std::move(task)] { run(task); });
    }

    void cancel(base::timer_id id) override { m_timers.cancel(id); }

    /// Runs the callback of a reply, which is also deferred while the process is paused.
    void run(const std::function<void()>& task)
    {
        if (paused)
            m_deferred.push_back(task);
        else if (!ended)
            task();
    }

    void resume()
    {
        paused = false;
        for (const auto& task : std::exchange(m_deferred, {}))
            run(task);
    }

    bool paused = false;
    bool ended = false; ///< The process has ended; nothing is run any more.

private:
    base::manual_scheduler& m_timers;
    std::vector<std::function<void()>> m_deferred;
};

/// Wraps a reply callback: it is deferred while the process is paused, and dropped once the process has
/// ended.
template <typename T>
std::function<void(base::result<T>)> deferred(
    pausable_scheduler& process, std::function<void(base::result<T>)> done)
{
    return [&process, done = std::move(done)](
               base::result<T> value) { process.run([done, value = std::move(value)] { done(value); }); };
}

/// Access of one process to the shared key-value service.
struct process_store final : platform::kv_store {
    process_store(fake_kv_store& shared, pausable_scheduler& owner)
        : store(shared)
        , process(owner)
    {
    }

    using entry = platform::kv_entry;
    void get(std::string_view key, callback<std::optional<entry>> done) override
    {
        store.get(key, deferred(process, std::move(done)));
    }
    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        store.put(std::move(write), deferred(process, std::move(done)));
    }
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<entry>> done) override
    {
        store.range(prefix, after, limit, deferred(process, std::move(done)));
    }
    void remove(std::string_view, std::uint64_t, callback<void>) override { }
    void grantLease(base::duration, callback<std::uint64_t>) override { }
    void keepAlive(std::uint64_t, callback<void>) override { }
    void revokeLease(std::uint64_t, callback<void>) override { }
    void watch(std::string_view, std::uint64_t, base::duration, callback<platform::kv_watch_batch>) override
    {
    }

    fake_kv_store& store;
    pausable_scheduler& process;
};

/// Access of one process to its engine.
struct process_engine final : platform::model_engine {
    process_engine(fake_engine& ownEngine, pausable_scheduler& owner)
        : engine(ownEngine)
        , process(owner)
    {
    }

    void state(callback<platform::engine_state> done) override
    {
        engine.state(deferred(process, std::move(done)));
    }
    void order(platform::engine_order order, callback<void> done) override
    {
        engine.order(std::move(order), deferred(process, std::move(done)));
    }
    void cancelLoading(callback<void> done) override
    {
        engine.cancelLoading(deferred(process, std::move(done)));
    }

    fake_engine& engine;
    pausable_scheduler& process;
};

struct order_fixture;

/// An agent and its engine.
struct agent {
    agent(order_fixture& shared, std::string name, fake_engine& target, std::uint64_t seed);

    std::string name;
    fake_engine& engine;
    base::random_source random;
    pausable_scheduler timers;
    process_store store;
    process_engine port;
    base::event_log events { { .output = [](std::string_view) {} } };
    load_permit permit;
    order_sender sender;
};

struct order_fixture {
    base::manual_clock time;
    base::manual_scheduler timers { time };
    fake_kv_store store { time, timers };
    std::map<std::string, std::unique_ptr<fake_engine>> engines;
    std::map<std::string, std::unique_ptr<agent>> agents;
    std::vector<std::unique_ptr<agent>> ended;
    std::uint64_t bound = 2;
    std::size_t peakLoads = 0;

    agent& start(const std::string& name)
    {
        auto& engine = engines[name];
        if (!engine)
            engine = std::make_unique<fake_engine>(timers);
        auto& process = agents[name];
        if (process) {
            process->timers.ended = true;
            ended.push_back(std::move(process));
        }
        process = std::make_unique<agent>(*this, name, *engine, 40 + ended.size());
        return *process;
    }

    void run(base::duration span)
    {
        constexpr base::duration step = milliseconds(10);
        for (base::duration done { 0 }; done < span; done += step) {
            timers.advance(step);
            peakLoads = std::max(peakLoads,
                static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
                    [](const auto& entry) { return entry.second->current.loading; })));
        }
    }

    /// Returns the query to another agent; a paused or missing process does not reply.
    load_permit::predecessor_check check(pausable_scheduler& requester)
    {
        return [this, &requester](
                   const std::string& target, const std::function<void(predecessor_state)>& done) {
            const auto found = agents.find(target);
            if (found == agents.end() || found->second->timers.paused)
                return requester.runAfter(seconds(1), [done] { done(predecessor_state::Unknown); }), void();
            found->second->sender.answerCheck([&requester, done](predecessor_state state) {
                requester.run([done, state] { done(state); });
            });
        };
    }
};

agent::agent(order_fixture& shared, std::string target, fake_engine& ownEngine, std::uint64_t seed)
    : name(std::move(target))
    , engine(ownEngine)
    , random(seed + name.back())
    , timers(shared.timers)
    , store(shared.store, timers)
    , port(ownEngine, timers)
    , permit(
          store, timers, shared.time, random, events, shared.check(timers), { .store = "w", .target = name })
    , sender(port, permit, store, timers, random, events, { .target = name })
{
}

bool allServe(const order_fixture& shared, const std::string& version)
{
    return std::all_of(shared.engines.begin(), shared.engines.end(),
        [&](const auto& entry) { return entry.second->current.version == version; });
}

} // namespace

TEST_CASE("concurrent loads never exceed the bound under pauses, losses and slow loads")
{
    // Guards against a weight store that slows down because of too many concurrent loads.
    CHECK(rc::check("bound", [] {
        order_fixture shared;
        shared.bound = *rc::gen::inRange<std::uint64_t>(1, 4);
        constexpr int count = 5;
        for (int i = 0; i < count; ++i) {
            auto& started = shared.start("t" + std::to_string(i));
            started.engine.loadTime
                = milliseconds(*rc::gen::weightedElement<int>({ { 4, 333 }, { 1, 15000 } }));
            started.engine.loseReplies = *rc::gen::inRange(0, 4) == 0;
            started.engine.current.checksFencing = *rc::gen::arbitrary<bool>();
        }
        for (auto& [name, process] : shared.agents)
            process->sender.setGoal({ .version = "v2" }, shared.bound);
        for (int step = 0; step < 8; ++step) {
            auto& chosen = *shared.agents.at("t" + std::to_string(*rc::gen::inRange(0, count)));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                chosen.timers.paused = true;
                break;
            case 1:
                chosen.timers.resume();
                break;
            case 2:
                shared.store.faults.insert(shared.store.faults.end(), *rc::gen::inRange(0, 4),
                    *rc::gen::element(kv_fault::LostAnswer, kv_fault::LostRequest, kv_fault::Unavailable));
                break;
            case 3:
                shared.store.down = !shared.store.down;
                break;
            default:
                shared.start(chosen.name).sender.setGoal({ .version = "v2" }, shared.bound);
            }
            shared.run(milliseconds(*rc::gen::inRange(10, 20000)));
        }
        shared.store.down = false;
        shared.store.faults.clear();
        for (auto& [name, process] : shared.agents)
            process->timers.resume();
        for (int i = 0; i < 60 && !allServe(shared, "v2"); ++i)
            shared.run(seconds(10));
        RC_ASSERT(shared.peakLoads <= shared.bound);
        RC_ASSERT(allServe(shared, "v2"));
    }));
}

TEST_CASE("an engine that checks fencing tokens executes no order of a stale sender")
{
    // Guards against a delayed order that overrides the order of a later sender.
    for (const bool checks : { true, false }) {
        CAPTURE(checks);
        order_fixture shared;
        auto& first = shared.start("t0");
        first.engine.current.checksFencing = checks;
        first.engine.orderDelay = seconds(60);
        first.sender.setGoal({ .version = "v2" }, 1);
        shared.run(seconds(1));
        REQUIRE(first.permit.isHeld());
        // The process is replaced while its order is in flight; the new one does not have the token.
        auto& second = shared.start("t0");
        second.engine.orderDelay = milliseconds(1);
        second.sender.setGoal({ .version = "v3" }, 1);
        shared.run(seconds(30));
        CHECK(second.sender.hasMetGoal());
        CHECK(second.engine.current.version == "v3");
        shared.run(seconds(120));
        CHECK(second.engine.staleExecuted == (checks ? 0 : 1));
        CHECK(second.engine.current.version == (checks ? "v3" : "v2"));
        // An engine in a wrong state is corrected, since orders are derived from the desired state.
        second.sender.setGoal({ .version = "v3", .role = "prefill" }, 1);
        shared.run(seconds(30));
        CHECK(second.engine.current.version == "v3");
        CHECK(second.engine.current.role == "prefill");
    }
}

TEST_CASE("a load whose lease expires before its reply is cancelled")
{
    // Guards against a load that continues while the next holder takes over its slot.
    order_fixture shared;
    auto& process = shared.start("t0");
    process.engine.loadTime = seconds(600);
    process.sender.setGoal({ .version = "v2" }, 1);
    shared.run(seconds(40));
    CHECK(process.engine.current.loading); // Renewed as long as the service responds.
    CHECK(process.engine.cancellations == 0);
    shared.store.down = true;
    shared.run(seconds(10)); // Time to live minus the margin, plus one poll.
    CHECK(process.engine.cancellations == 1);
    CHECK(!process.engine.current.loading);
    CHECK(!process.permit.isHeld());
}

TEST_CASE("a load is cancelled if its reply is handled after a pause longer than the lease")
{
    // Guards against releasing a slot that the next holder may already have taken over.
    order_fixture shared;
    auto& process = shared.start("t0");
    process.engine.loadTime = milliseconds(100); // The reply arrives before the first lease check.
    process.sender.setGoal({ .version = "v2" }, 1);
    for (int i = 0; i < 100 && process.engine.loads == 0; ++i)
        shared.timers.advance(base::duration(500));
    process.timers.paused = true;
    shared.run(seconds(30));
    process.timers.resume();
    CHECK(process.engine.cancellations == 1);
    CHECK(!process.permit.isHeld());
}

TEST_CASE("an expired slot is taken over after one lease time and a check, and not before")
{
    // Guards against a second holder while the lease of the first is still valid.
    order_fixture shared;
    base::random_source random(3);
    const base::event_log events({ .output = [](std::string_view) {} });
    const load_permit::options opts { .store = "w", .target = "new" };
    auto answer = predecessor_state::Unknown;
    int queries = 0;
    load_permit permit(
        shared.store, shared.timers, shared.time, random, events,
        [&](const std::string& target, const auto& done) {
            CHECK(target == "old");
            ++queries;
            done(answer);
        },
        opts);
    shared.store.put({ .key = "loads/w/0000", .value = R"({"held":true,"nonce":"n","target":"old"})" },
        [](const auto&) {});
    shared.run(milliseconds(10));
    std::uint64_t token = 0;
    permit.acquire(1, [&](std::uint64_t value) { token = value; });
    shared.run(opts.timing.timeToLive - milliseconds(100));
    CHECK(queries == 0);
    shared.run(seconds(2));
    CHECK(queries == 1);
    CHECK(token == 0);
    answer = predecessor_state::Idle;
    shared.run(opts.timing.timeToLive + seconds(1));
    CHECK(queries == 2);
    CHECK(token > 1);
    CHECK(permit.remaining() <= opts.timing.timeToLive - opts.timing.margin);
}

TEST_CASE("an order is not sent if the lease expired during a pause before it")
{
    // Guards against a sender that acquires a permit, is paused, and orders the load after the permit has
    // expired.
    order_fixture shared;
    auto& process = shared.start("t0");
    process.sender.setGoal({ .version = "v2" }, 1);
    for (int i = 0; i < 100 && !process.permit.isHeld(); ++i)
        shared.timers.advance(base::duration(500));
    REQUIRE(process.permit.isHeld());
    REQUIRE(process.engine.loads == 0);
    process.timers.paused = true;
    shared.run(seconds(30));
    process.timers.resume();
    CHECK(process.permit.remaining() <= base::duration::zero());
    shared.run(milliseconds(5));
    CHECK(process.engine.loads == 0);
    shared.run(seconds(60));
    CHECK(process.engine.current.version == "v2");
}

TEST_CASE("after a lost reply, the engine state is read and a completed order is not repeated")
{
    // Guards against a second load after every lost reply.
    order_fixture shared;
    auto& process = shared.start("t0");
    process.engine.loseReplies = true;
    process.sender.setGoal({ .version = "v2", .role = "prefill", .adapters = { "a", "b" } }, 1);
    shared.run(seconds(30));
    CHECK(process.sender.hasMetGoal());
    CHECK(process.engine.loads == 3);
    CHECK(process.engine.current.adapters == std::vector<std::string> { "a", "b" });
    CHECK(process.engine.current.role == "prefill");
    CHECK(!process.permit.isHeld());
    process.sender.setGoal({ .version = "v2", .role = "prefill", .adapters = { "a", "b" } }, 1);
    shared.run(seconds(10));
    CHECK(process.engine.loads == 3);
}
