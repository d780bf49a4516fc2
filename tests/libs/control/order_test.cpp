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

/// Passes timers on, but holds them back while its process is paused.
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

    /// Wraps an answer from outside, which a paused process handles late as well.
    void run(const std::function<void()>& task)
    {
        if (paused)
            m_held.push_back(task);
        else if (!ended)
            task();
    }

    void resume()
    {
        paused = false;
        for (const auto& task : std::exchange(m_held, {}))
            run(task);
    }

    bool paused = false;
    bool ended = false; ///< The process is gone: nothing runs any more.

private:
    base::manual_scheduler& m_timers;
    std::vector<std::function<void()>> m_held;
};

/// Makes an answer from outside wait while the process is paused, and drops it when the process is gone.
template <typename T>
std::function<void(base::result<T>)> late(
    pausable_scheduler& process, std::function<void(base::result<T>)> done)
{
    return [&process, done = std::move(done)](
               base::result<T> value) { process.run([done, value = std::move(value)] { done(value); }); };
}

/// One process's access to the shared service.
struct process_store final : platform::kv_store {
    process_store(fake_kv_store& shared, pausable_scheduler& owner)
        : store(shared)
        , process(owner)
    {
    }

    using entry = platform::kv_entry;
    void get(std::string_view key, callback<std::optional<entry>> done) override
    {
        store.get(key, late(process, std::move(done)));
    }
    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        store.put(std::move(write), late(process, std::move(done)));
    }
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<entry>> done) override
    {
        store.range(prefix, after, limit, late(process, std::move(done)));
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

/// One process's access to its engine.
struct process_engine final : platform::model_engine {
    process_engine(fake_engine& beside, pausable_scheduler& owner)
        : engine(beside)
        , process(owner)
    {
    }

    void state(callback<platform::engine_state> done) override
    {
        engine.state(late(process, std::move(done)));
    }
    void order(platform::engine_order order, callback<void> done) override
    {
        engine.order(std::move(order), late(process, std::move(done)));
    }
    void cancelLoading(callback<void> done) override { engine.cancelLoading(late(process, std::move(done))); }

    fake_engine& engine;
    pausable_scheduler& process;
};

struct world;

/// The agent beside one engine.
struct agent {
    agent(world& shared, std::string name, fake_engine& target, std::uint64_t seed);

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

struct world {
    base::manual_clock time;
    base::manual_scheduler timers { time };
    fake_kv_store store { time, timers };
    std::map<std::string, std::unique_ptr<fake_engine>> engines;
    std::map<std::string, std::unique_ptr<agent>> agents;
    std::vector<std::unique_ptr<agent>> ended;
    std::uint64_t bound = 2;
    std::size_t mostLoads = 0;

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
            mostLoads = std::max(mostLoads,
                static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
                    [](const auto& entry) { return entry.second->current.loading; })));
        }
    }

    /// The question to another agent: a paused or missing process gives no answer.
    load_permit::predecessor_check check(pausable_scheduler& asker)
    {
        return [this, &asker](const std::string& target, const std::function<void(predecessor_state)>& done) {
            const auto found = agents.find(target);
            if (found == agents.end() || found->second->timers.paused)
                return asker.runAfter(seconds(1), [done] { done(predecessor_state::Unknown); }), void();
            found->second->sender.answerCheck(
                [&asker, done](predecessor_state state) { asker.run([done, state] { done(state); }); });
        };
    }
};

agent::agent(world& shared, std::string target, fake_engine& beside, std::uint64_t seed)
    : name(std::move(target))
    , engine(beside)
    , random(seed + name.back())
    , timers(shared.timers)
    , store(shared.store, timers)
    , port(beside, timers)
    , permit(
          store, timers, shared.time, random, events, shared.check(timers), { .store = "w", .target = name })
    , sender(port, permit, store, timers, random, events, { .target = name })
{
}

bool allMet(const world& shared, const std::string& version)
{
    return std::all_of(shared.engines.begin(), shared.engines.end(),
        [&](const auto& entry) { return entry.second->current.version == version; });
}

} // namespace

TEST_CASE("loads at once stay below the bound, whatever is paused, lost or slow")
{
    // Guards against a weight store that slows down under more loads than it can carry.
    CHECK(rc::check("bound", [] {
        world shared;
        shared.bound = *rc::gen::inRange<std::uint64_t>(1, 4);
        constexpr int count = 5;
        for (int i = 0; i < count; ++i) {
            auto& started = shared.start("t" + std::to_string(i));
            started.engine.loadTime
                = milliseconds(*rc::gen::weightedElement<int>({ { 4, 333 }, { 1, 15000 } }));
            started.engine.loseAnswers = *rc::gen::inRange(0, 4) == 0;
            started.engine.current.checksFencing = *rc::gen::arbitrary<bool>();
        }
        for (auto& [name, process] : shared.agents)
            process->sender.want({ .version = "v2" }, shared.bound);
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
                shared.start(chosen.name).sender.want({ .version = "v2" }, shared.bound);
            }
            shared.run(milliseconds(*rc::gen::inRange(10, 20000)));
        }
        shared.store.down = false;
        shared.store.faults.clear();
        for (auto& [name, process] : shared.agents)
            process->timers.resume();
        for (int i = 0; i < 60 && !allMet(shared, "v2"); ++i)
            shared.run(seconds(10));
        RC_ASSERT(shared.mostLoads <= shared.bound);
        RC_ASSERT(allMet(shared, "v2"));
    }));
}

TEST_CASE("a checking engine obeys no order of a stale sender")
{
    // Guards against an order that was delayed on its way and undoes what a later sender ordered.
    for (const bool checks : { true, false }) {
        CAPTURE(checks);
        world shared;
        auto& first = shared.start("t0");
        first.engine.current.checksFencing = checks;
        first.engine.orderDelay = seconds(60);
        first.sender.want({ .version = "v2" }, 1);
        shared.run(seconds(1));
        REQUIRE(first.permit.isHeld());
        // The process is replaced while its order is under way; the new one has forgotten the token.
        auto& second = shared.start("t0");
        second.engine.orderDelay = milliseconds(1);
        second.sender.want({ .version = "v3" }, 1);
        shared.run(seconds(30));
        CHECK(second.sender.hasMetGoal());
        CHECK(second.engine.current.version == "v3");
        shared.run(seconds(120));
        CHECK(second.engine.staleObeyed == (checks ? 0 : 1));
        CHECK(second.engine.current.version == (checks ? "v3" : "v2"));
        // The desired state is what counts: an engine that was misled is put right.
        second.sender.want({ .version = "v3", .role = "prefill" }, 1);
        shared.run(seconds(30));
        CHECK(second.engine.current.version == "v3");
        CHECK(second.engine.current.role == "prefill");
    }
}

TEST_CASE("a load whose lease ended before its answer is cancelled")
{
    // Guards against a load that goes on in a slot which the next holder takes.
    world shared;
    auto& process = shared.start("t0");
    process.engine.loadTime = seconds(600);
    process.sender.want({ .version = "v2" }, 1);
    shared.run(seconds(40));
    CHECK(process.engine.current.loading); // Renewed as long as the service answers.
    CHECK(process.engine.cancelled == 0);
    shared.store.down = true;
    shared.run(seconds(10)); // Time to live, less the margin, plus a poll.
    CHECK(process.engine.cancelled == 1);
    CHECK(!process.engine.current.loading);
    CHECK(!process.permit.isHeld());
}

TEST_CASE("a load is cancelled when its answer is handled after a pause that outlasted the lease")
{
    // Guards against a slot that is given back although the next holder may have it.
    world shared;
    auto& process = shared.start("t0");
    process.engine.loadTime = milliseconds(100); // The answer comes before the first look at the lease.
    process.sender.want({ .version = "v2" }, 1);
    for (int i = 0; i < 100 && process.engine.loads == 0; ++i)
        shared.timers.advance(base::duration(500));
    process.timers.paused = true;
    shared.run(seconds(30));
    process.timers.resume();
    CHECK(process.engine.cancelled == 1);
    CHECK(!process.permit.isHeld());
}

TEST_CASE("a lapsed slot is taken over after one lease time and a check, and not before")
{
    // Guards against a new holder beside one whose lease still runs.
    world shared;
    base::random_source random(3);
    const base::event_log events({ .output = [](std::string_view) {} });
    const load_permit::options opts { .store = "w", .target = "new" };
    auto answer = predecessor_state::Unknown;
    int asked = 0;
    load_permit permit(
        shared.store, shared.timers, shared.time, random, events,
        [&](const std::string& target, const auto& done) {
            CHECK(target == "old");
            ++asked;
            done(answer);
        },
        opts);
    shared.store.put({ .key = "loads/w/0000", .value = R"({"held":true,"nonce":"n","target":"old"})" },
        [](const auto&) {});
    shared.run(milliseconds(10));
    std::uint64_t token = 0;
    permit.acquire(1, [&](std::uint64_t value) { token = value; });
    shared.run(opts.timing.timeToLive - milliseconds(100));
    CHECK(asked == 0);
    shared.run(seconds(2));
    CHECK(asked == 1);
    CHECK(token == 0);
    answer = predecessor_state::Idle;
    shared.run(opts.timing.timeToLive + seconds(1));
    CHECK(asked == 2);
    CHECK(token > 1);
    CHECK(permit.remaining() <= opts.timing.timeToLive - opts.timing.margin);
}

TEST_CASE("an order is not sent when the lease ends during a pause before it")
{
    // Guards against a sender that takes a permit, is paused, and orders a load without it.
    world shared;
    auto& process = shared.start("t0");
    process.sender.want({ .version = "v2" }, 1);
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

TEST_CASE("a lost answer is read back, and an order that is met is not repeated")
{
    // Guards against a second load for every lost answer.
    world shared;
    auto& process = shared.start("t0");
    process.engine.loseAnswers = true;
    process.sender.want({ .version = "v2", .role = "prefill", .adapters = { "a", "b" } }, 1);
    shared.run(seconds(30));
    CHECK(process.sender.hasMetGoal());
    CHECK(process.engine.loads == 3);
    CHECK(process.engine.current.adapters == std::vector<std::string> { "a", "b" });
    CHECK(process.engine.current.role == "prefill");
    CHECK(!process.permit.isHeld());
    process.sender.want({ .version = "v2", .role = "prefill", .adapters = { "a", "b" } }, 1);
    shared.run(seconds(10));
    CHECK(process.engine.loads == 3);
}
