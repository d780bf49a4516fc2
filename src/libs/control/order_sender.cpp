#include "order_sender.h"

#include "events.h"

#include <algorithm>
#include <array>

namespace marigold::control {

namespace {

using base::error_reason;
using platform::engine_order;
using platform::engine_order_kind;
using platform::engine_state;

std::string kindName(engine_order_kind kind)
{
    constexpr std::array<std::string_view, 4> names { "load_model", "load_adapter", "load_version",
        "change_role" };
    return std::string(names[static_cast<std::size_t>(kind)]);
}

} // namespace

order_sender::order_sender(platform::model_engine& engine, load_permit& permit, platform::kv_store& store,
    base::scheduler& timers, base::random_source& random, const base::event_log& log, options opts)
    : m_engine(engine)
    , m_permit(permit)
    , m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_log(log)
    , m_options(std::move(opts))
{
}

void order_sender::setGoal(engine_goal goal, std::uint64_t bound)
{
    m_bound = bound;
    if (goal == m_goal && (m_goalReached || m_busy))
        return;
    m_goal = std::move(goal);
    m_goalReached = false;
    m_failures = 0;
    if (!m_busy)
        stepLater(base::duration::zero());
}

void order_sender::stepLater(base::duration delay)
{
    m_busy = true;
    m_timers.runAfter(delay, [this] { step(); });
}

void order_sender::retryWithBackoff()
{
    constexpr int maxDoublings = 10;
    const auto limit = std::min(
        m_options.maxBackoff.count(), m_options.minBackoff.count() << std::min(m_failures++, maxDoublings));
    stepLater(base::duration(limit / 2 + static_cast<std::int64_t>(m_random.below(limit / 2 + 1))));
}

void order_sender::step()
{
    m_engine.state([this](const base::result<engine_state>& answer) {
        if (!answer)
            return retryWithBackoff();
        examine(*answer);
    });
}

void order_sender::examine(const engine_state& state)
{
    if (state.loading)
        return waitForLoading();
    m_loadUnknown = false;
    auto order = nextOrder(state);
    if (!order) {
        m_permit.release();
        m_busy = false;
        m_goalReached = true;
        m_failures = 0;
        if (m_goalReachedListener)
            m_goalReachedListener();
        return;
    }
    if (order->kind == engine_order_kind::ChangeRole)
        return takeTokenAndSend(std::move(*order), state.highestToken);
    if (m_permit.isHeld())
        return sendLoad(std::move(*order), state.highestToken);
    // Waiting for the permit may take long, so the state is read again once it is held.
    m_permit.acquire(m_bound, [this](std::uint64_t) { step(); });
}

/// Waits for a load in progress. A load started by a previous process of this agent ends by itself; its slot
/// stays occupied until then.
void order_sender::waitForLoading()
{
    if (m_permit.isHeld() && m_permit.remaining() <= base::duration::zero())
        return cancelExpiredLoad();
    stepLater(m_options.pollInterval);
}

/// Sends an order that needs no load slot. A write to a key of the target provides the fencing token.
void order_sender::takeTokenAndSend(engine_order order, std::uint64_t highestSeen)
{
    platform::kv_write write { .key = "orders/" + m_options.target, .value = kindName(order.kind) };
    m_store.put(std::move(write),
        [this, order = std::move(order), highestSeen](const base::result<std::uint64_t>& answer) mutable {
            if (!answer || *answer < highestSeen)
                return retryWithBackoff();
            order.fencingToken = *answer;
            send(std::move(order), false);
        });
}

void order_sender::sendLoad(engine_order order, std::uint64_t highestSeen)
{
    order.fencingToken = m_permit.token();
    // A higher token at the engine means that a newer sender exists.
    if (m_permit.remaining() <= base::duration::zero() || order.fencingToken < highestSeen) {
        m_permit.release();
        return retryWithBackoff();
    }
    send(std::move(order), true);
}

void order_sender::send(engine_order order, bool isLoad)
{
    const auto sequence = ++m_sequence;
    m_log.write(events::orderSent,
        { { "target", m_options.target }, { "kind", kindName(order.kind) }, { "value", order.value },
            { "token", std::to_string(order.fencingToken) } });
    m_loadOutstanding = isLoad;
    if (isLoad)
        watchLeaseExpiry(sequence);
    m_engine.order(std::move(order), [this, sequence, isLoad](const base::result<void>& answer) {
        if (sequence == m_sequence)
            handleAnswer(sequence, isLoad, answer);
    });
}

void order_sender::handleAnswer(std::uint64_t sequence, bool isLoad, const base::result<void>& answer)
{
    m_sequence = sequence + 1; // Ends the lease watch.
    m_loadOutstanding = false;
    if (isLoad && m_permit.remaining() <= base::duration::zero())
        return cancelExpiredLoad();
    if (answer) {
        m_failures = 0;
        return step();
    }
    if (answer.error().verdict == base::verdict::NotRun) {
        m_log.write(
            events::orderRefused, { { "target", m_options.target }, { "cause", answer.error().message } });
        if (isLoad)
            m_permit.release();
        return retryWithBackoff();
    }
    // The reply was lost: the permit is held until the state of the engine shows whether it is loading.
    m_loadUnknown = isLoad;
    stepLater(m_options.pollInterval);
}

/// Cancels the load if the lease expires while the reply is outstanding.
void order_sender::watchLeaseExpiry(std::uint64_t sequence)
{
    m_timers.runAfter(m_options.pollInterval, [this, sequence] {
        if (sequence != m_sequence)
            return;
        if (m_permit.remaining() > base::duration::zero())
            return watchLeaseExpiry(sequence);
        ++m_sequence;
        m_loadOutstanding = false;
        cancelExpiredLoad();
    });
}

/// Cancels a load whose lease has expired. The slot is not freed, since an agent that takes it over queries
/// this target first.
void order_sender::cancelExpiredLoad()
{
    m_log.write(events::orderCancelled, { { "target", m_options.target } });
    m_permit.abandon();
    m_loadUnknown = true;
    m_engine.cancelLoading([this](const base::result<void>&) { retryWithBackoff(); });
}

void order_sender::answerCheck(std::function<void(predecessor_state)> done)
{
    if (m_loadOutstanding || m_loadUnknown || m_permit.remaining() > base::duration::zero())
        return done(predecessor_state::Loading);
    m_engine.state([this, done = std::move(done)](const base::result<engine_state>& answer) {
        if (!answer)
            return done(predecessor_state::Unknown);
        const bool busy = answer->loading || m_loadOutstanding || m_loadUnknown;
        done(busy ? predecessor_state::Loading : predecessor_state::Idle);
    });
}

std::optional<engine_order> order_sender::nextOrder(const engine_state& state) const
{
    const auto& goal = m_goal;
    const std::string& model = goal.model.empty() ? state.model : goal.model;
    if (state.model != model)
        return engine_order { .kind = engine_order_kind::LoadModel, .model = model, .value = goal.version };
    if (!goal.version.empty() && state.version != goal.version)
        return engine_order { .kind = engine_order_kind::LoadVersion, .model = model, .value = goal.version };
    for (const auto& adapter : goal.adapters)
        if (std::find(state.adapters.begin(), state.adapters.end(), adapter) == state.adapters.end())
            return engine_order { .kind = engine_order_kind::LoadAdapter, .model = model, .value = adapter };
    if (!goal.role.empty() && state.role != goal.role)
        return engine_order { .kind = engine_order_kind::ChangeRole, .model = model, .value = goal.role };
    return {};
}

} // namespace marigold::control
