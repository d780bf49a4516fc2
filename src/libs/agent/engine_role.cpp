#include "engine_role.h"

#include "engine_runner.h"
#include "events.h"
#include "http_block_mover.h"
#include "http_run_reader.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::agent {

namespace {

constexpr auto statePollInterval = std::chrono::milliseconds(200);
constexpr auto orderCheckInterval = std::chrono::milliseconds(500);

/// Consecutive failed polls after which the engine is considered lost.
constexpr int failedPollsUntilLost = 3;

engine_runner::options runnerOptions(const agent_settings& settings, const base::event_log& log, int adopted)
{
    return { .slots = settings.slots,
        .firstSlots = settings.firstSlots,
        .queueCapacity = settings.queueCapacity,
        .prefillTokensPerSecond = settings.prefillTokensPerSecond,
        .tokenTime = settings.tokenTime,
        .adoptedRuns = adopted,
        .target = settings.node.process.id,
        .log = &log };
}

} // namespace

struct engine_role::private_data {
    node::fleet_node& node;
    work_gate& gate;
    const agent_settings& settings;
    platform::http_completion_engine engine;
    platform::http_model_engine control;
    http_block_mover mover;
    std::unique_ptr<engine_runner> runner; ///< Set once the engine has reported the number of its runs.
    control::load_permit permit;
    control::order_sender orders;
    control::rollout rollout;
    platform::engine_state state;
    int failedPolls = 0;
    bool isSwapping = false; ///< New runs are refused, since the weights are about to be swapped.
    std::map<std::string, outcome::drain::work_id> drainWork;

    private_data(node::fleet_node& node, work_gate& gate, const agent_settings& settings);

    void poll();
    void stateReceived(const base::result<platform::engine_state>& answer, base::time_point measuredAt);
    void checkOrders();
    void run(const node::exchange_ptr& exchange);
    void resume(const node::exchange_ptr& exchange);
    void cancel(const node::exchange_ptr& exchange) const;
    void queryPredecessor(
        const std::string& target, const std::function<void(control::predecessor_state)>& done);
    std::shared_ptr<run_reader> makeReader(const node::exchange_ptr& exchange) const;
};

engine_role::private_data::private_data(
    node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : node(node)
    , gate(gate)
    , settings(settings)
    , engine(node.client(), { .engine = net::endpoint::parse(settings.target).value_or(net::endpoint {}) })
    , control(node.client(), { .engine = net::endpoint::parse(settings.target).value_or(net::endpoint {}) })
    , mover(node, engine, { .prefillTokensPerSecond = settings.prefillTokensPerSecond })
    , permit(node.store(), node.loop(), node.clock(), node.random(), node.log(),
          [this](const std::string& target, std::function<void(control::predecessor_state)> done) {
              queryPredecessor(target, done);
          },
          { .store = settings.weightStore.empty() ? "default" : settings.weightStore,
              .target = settings.node.process.id })
    , orders(control, permit, node.store(), node.loop(), node.random(), node.log(),
          { .target = settings.node.process.id })
    , rollout(node.clock(), { .fullRampStep = fullRampStep })
{
}

void engine_role::private_data::poll()
{
    const base::time_point measuredAt = node.clock().now();
    control.state([this, measuredAt](const base::result<platform::engine_state>& answer) {
        stateReceived(answer, measuredAt);
        node.loop().runAfter(statePollInterval, [this] { poll(); });
    });
}

void engine_role::private_data::stateReceived(
    const base::result<platform::engine_state>& answer, base::time_point measuredAt)
{
    if (!answer) {
        if (++failedPolls == failedPollsUntilLost && runner) {
            node.log().write(events::engineLost, { { "message", answer.error().message } });
            runner->engineLost();
        }
        return;
    }
    failedPolls = 0;
    state = *answer;
    if (!runner) {
        runner = std::make_unique<engine_runner>(
            engine, mover, node.clock(), node.loop(), runnerOptions(settings, node.log(), state.running));
        runner->onEnded([this](const std::string& run) {
            const auto work = drainWork.extract(run);
            if (!work.empty())
                gate.leave(work.mapped());
        });
    }
    runner->engineReported(state, measuredAt);
}

void engine_role::private_data::checkOrders()
{
    const control::config_state* current = node.config().current();
    const control::target* self = gate.target();
    if (!current || !self)
        return;
    const auto& content = current->document.content();
    const auto model = content.models.find(self->model);
    if (model == content.models.end())
        return;
    const auto weights = content.weightStores.find(settings.weightStore);
    const std::uint64_t bound = weights == content.weightStores.end() ? 1 : weights->second.concurrentLoads;
    control::engine_goal goal { .model = self->model, .version = {}, .role = {}, .adapters = {} };
    const bool wantsSwap = runner && !state.version.empty() && state.version != model->second.wantedVersion
        && (state.loading || rollout.maySwap(content, node.settings().process.id, node.membership()));
    // The order is sent one check after admission has stopped, when the runs that were in flight have
    // started.
    if (wantsSwap && isSwapping)
        goal.version = model->second.wantedVersion;
    isSwapping = wantsSwap;
    if (runner)
        runner->setSwapping(isSwapping);
    for (const auto& [name, adapter] : model->second.adapters)
        goal.adapters.push_back(name);
    orders.setGoal(std::move(goal), bound);
}

std::shared_ptr<run_reader> engine_role::private_data::makeReader(const node::exchange_ptr& exchange) const
{
    return std::make_shared<http_run_reader>(exchange, [this] { return runner->load().encode(); });
}

void engine_role::private_data::run(const node::exchange_ptr& exchange)
{
    const auto request = protocol::run_request::decode(exchange->body());
    if (!request)
        return node::replyError(exchange, request.error());
    if (!runner)
        return node::replyError(exchange,
            { .reason = base::error_reason::Unavailable,
                .message = "the engine has not reported its state yet" });
    const auto work = gate.enter("run " + request->run);
    if (!work)
        return node::replyError(
            exchange, work.error(), { { std::string(protocol::loadHeader), runner->load().encode() } });
    drainWork[request->run] = *work;
    exchange->onClosed(
        [this, run = request->run, owner = request->owner] { runner->readerDisconnected(run, owner); });
    runner->submit(*request, makeReader(exchange));
    // `onEnded` is not called for a refused run.
    if (!exchange->isOpen()) {
        const auto refused = drainWork.extract(request->run);
        if (!refused.empty())
            gate.leave(refused.mapped());
    }
}

void engine_role::private_data::resume(const node::exchange_ptr& exchange)
{
    const auto request = protocol::resume_message::decode(exchange->body());
    if (!request)
        return node::replyError(exchange, request.error());
    if (!runner)
        return node::replyError(exchange,
            { .verdict = base::verdict::MayHaveRun,
                .reason = base::error_reason::Unavailable,
                .message = "the engine has not reported its state yet" });
    exchange->onClosed(
        [this, run = request->run, owner = request->owner] { runner->readerDisconnected(run, owner); });
    runner->resume(*request, makeReader(exchange));
}

void engine_role::private_data::cancel(const node::exchange_ptr& exchange) const
{
    const auto value = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!value.is_object() || !value.contains("run") || !value.contains("team") || !value["run"].is_string()
        || !value["team"].is_string())
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "run and team are required",
                .field = "run" });
    if (runner)
        runner->cancel(value["run"].get<std::string>(), value["team"].get<std::string>());
    node::replyJson(exchange, 200, "{}");
}

void engine_role::private_data::queryPredecessor(
    const std::string& target, const std::function<void(control::predecessor_state)>& done)
{
    const control::config_state* current = node.config().current();
    const auto& targets = current ? current->document.content().targets : control::config_content().targets;
    const auto found = targets.find(target);
    if (found == targets.end())
        return done(control::predecessor_state::VmRemoved);
    node.peers().call(
        found->second.address, "engine.loading", "{}", [done](const base::result<std::string>& answer) {
            if (!answer)
                return done(control::predecessor_state::Unknown);
            done(*answer == "idle" ? control::predecessor_state::Idle : control::predecessor_state::Loading);
        });
}

engine_role::engine_role(node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : d(std::make_unique<private_data>(node, gate, settings))
{
}

engine_role::~engine_role() = default;

void engine_role::start()
{
    auto& router = d->node.router();
    auto& peers = d->node.peers();
    router.add("POST", "/agent/run", peers.authenticated([this](const auto& exchange) { d->run(exchange); }));
    router.add(
        "POST", "/agent/resume", peers.authenticated([this](const auto& exchange) { d->resume(exchange); }));
    router.add(
        "POST", "/agent/cancel", peers.authenticated([this](const auto& exchange) { d->cancel(exchange); }));
    d->node.rpc().add("engine.loading", [this](std::string_view) -> base::result<std::string> {
        // An order without a reply counts as a load, since the engine may execute it at any time.
        return std::string(d->state.loading || d->permit.isHeld() ? "loading" : "idle");
    });
    d->node.drain().addHook(outcome::drain_phase::AfterWork, "save blocks",
        [this](const std::function<void()>& done) { d->mover.flush(done); });
    d->poll();
    d->node.loop().runEvery(orderCheckInterval, [this] { d->checkOrders(); });
}

void engine_role::configChanged(const control::config_content&)
{
    d->checkOrders();
}

void engine_role::memberChanged(const control::member& changed)
{
    const bool isGone
        = changed.state == control::member_state::Dead || changed.state == control::member_state::Leaving;
    if (isGone && changed.kind == control::member_kind::Entry && d->runner)
        d->runner->ownerLost(changed.id);
}

protocol::agent_load engine_role::load() const
{
    return d->runner ? d->runner->load() : protocol::agent_load {};
}

int engine_role::rampStep() const
{
    if (!d->runner)
        return 0;
    if (d->runner->rampBound() >= d->settings.slots)
        return fullRampStep;
    const double steps = std::log2(static_cast<double>(d->runner->rampBound()) / d->settings.firstSlots);
    return std::clamp(static_cast<int>(steps), 0, fullRampStep - 1);
}

std::string engine_role::describe() const
{
    const auto load = this->load();
    return fmt::format(
        R"({{"kind":"engine","version":"{}","loading":{},"running":{},"queued":{},"bound":{},"ramp_step":{},"queued_saves":{},"bytes_loaded":{},"bytes_saved":{},"goal_met":{}}})",
        d->state.version, d->state.loading, load.running, load.queued, load.bound, rampStep(),
        d->mover.queuedSaves(), d->mover.bytesLoaded(), d->mover.bytesSaved(), d->orders.hasMetGoal());
}

} // namespace marigold::agent
