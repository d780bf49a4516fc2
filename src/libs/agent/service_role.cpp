#include "service_role.h"

#include "http_plain_service.h"
#include "plain_caller.h"

#include <routing/routing.h>

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace marigold::agent {

namespace {

std::string processIdentity(const node::node_settings& settings, const base::clock& clock)
{
    // Differs between two starts of the process, so that a restarted process does not treat claims of its
    // predecessor as its own.
    return fmt::format("{}@{}", settings.memberId(), clock.wallNow().time_since_epoch().count());
}

} // namespace

struct service_role::private_data {
    /// A call that is queued for admission or running.
    struct pending_call {
        protocol::call_request call;
        std::string body;
        bool isIdempotent = false;
        node::exchange_ptr exchange;
        outcome::drain::work_id drainWork = 0;
        base::time_point startedAt {};
    };

    node::fleet_node& node;
    work_gate& gate;
    const agent_settings& settings;
    http_plain_service service;
    std::unique_ptr<outcome::claim_ledger> ledger;
    std::unique_ptr<plain_caller> caller;
    routing::cold_ramp ramp;
    routing::admission admission;
    std::map<routing::work_id, pending_call> calls;
    routing::work_id nextWork = 1;
    std::string serviceName;

    private_data(node::fleet_node& node, work_gate& gate, const agent_settings& settings);

    void createLedger(const std::string& name);
    bool isAlive(std::string_view process) const;
    bool isIdempotent(const protocol::call_request& call) const;
    void handle(const node::exchange_ptr& exchange);
    void startCall(routing::work_id id);
    void callEnded(routing::work_id id, const base::result<plain_answer>& answer);
    void callRefused(routing::work_id id, const base::error& problem);
    std::optional<pending_call> removeCall(routing::work_id id);
};

service_role::private_data::private_data(
    node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : node(node)
    , gate(gate)
    , settings(settings)
    , service(node.client(), node.loop(), net::endpoint::parse(settings.target).value_or(net::endpoint {}))
    , ramp({ .first = settings.firstSlots,
          .full = settings.slots,
          .target = settings.node.process.id,
          .log = &node.log() })
    , admission(node.clock(),
          { .bound = settings.firstSlots,
              .queueCapacity = static_cast<std::size_t>(settings.queueCapacity),
              .start = [this](const routing::work& item) { startCall(item.id); },
              .refuse = [this](const routing::work& item,
                            const base::error& problem) { callRefused(item.id, problem); } })
{
}

void service_role::private_data::createLedger(const std::string& name)
{
    if (ledger)
        return;
    serviceName = name;
    ledger = std::make_unique<outcome::claim_ledger>(node.store(), node.clock(), node.loop(), node.random(),
        outcome::claim_ledger::options { .service = name,
            .process = processIdentity(settings.node, node.clock()),
            .isAlive = [this](std::string_view process) { return isAlive(process); },
            .log = &node.log() });
    caller = std::make_unique<plain_caller>(service, *ledger);
}

bool service_role::private_data::isAlive(std::string_view process) const
{
    const auto at = process.rfind('@');
    if (at == std::string_view::npos)
        return false;
    const auto* tracked = node.membership().table().find(process.substr(0, at));
    if (!tracked || tracked->info.state == control::member_state::Dead)
        return false;
    // A later incarnation is another process, which has no record of the claim.
    std::uint64_t started = 0;
    for (const char digit : process.substr(at + 1))
        started = started * 10 + static_cast<std::uint64_t>(digit - '0');
    // The two time stamps of one start are microseconds apart.
    constexpr std::uint64_t startToleranceUs = 1'000'000;
    return tracked->info.incarnation < started + startToleranceUs;
}

bool service_role::private_data::isIdempotent(const protocol::call_request& call) const
{
    const control::config_state* current = node.config().current();
    const auto& services = current->document.content().services;
    const auto found = services.find(serviceName);
    if (found == services.end())
        return false;
    return std::any_of(
        found->second.idempotent.begin(), found->second.idempotent.end(), [&](const std::string& rule) {
            return rule == call.method || (rule.starts_with('/') && call.path.starts_with(rule));
        });
}

void service_role::private_data::handle(const node::exchange_ptr& exchange)
{
    const auto call = protocol::call_request::decode(exchange->header(protocol::callHeader).value_or(""));
    if (!call)
        return node::replyError(exchange, call.error());
    const auto work = gate.enter("call " + call->service);
    const std::string loadText = protocol::agent_load { .running = admission.running(),
        .queued = admission.queued(),
        .bound = admission.bound(),
        .serviceTime = admission.serviceTime() }
                                     .encode();
    if (!work)
        return node::replyError(exchange, work.error(), { { std::string(protocol::loadHeader), loadText } });
    if (!ledger || call->service != serviceName) {
        gate.leave(*work);
        return node::replyError(exchange,
            { .reason = base::error_reason::NotFound,
                .message = "the agent serves another service",
                .field = "service" });
    }
    const routing::work_id id = nextWork++;
    calls[id] = { .call = *call,
        .body = std::string(exchange->body()),
        .isIdempotent = isIdempotent(*call),
        .exchange = exchange,
        .drainWork = *work };
    const auto admitted = admission.submit({ .id = id,
        .priority = routing::priority::Interactive,
        .deadline = node.clock().now() + call->remaining });
    if (!admitted)
        return callRefused(id, admitted.error());
    if (*admitted == routing::admission_outcome::Started)
        startCall(id);
}

void service_role::private_data::startCall(routing::work_id id)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    found->second.startedAt = node.clock().now();
    caller->call(found->second.call, found->second.body, found->second.isIdempotent,
        [this, id](const base::result<plain_answer>& answer) { callEnded(id, answer); });
}

std::optional<service_role::private_data::pending_call> service_role::private_data::removeCall(
    routing::work_id id)
{
    auto node = calls.extract(id);
    if (node.empty())
        return std::nullopt;
    gate.leave(node.mapped().drainWork);
    return std::move(node.mapped());
}

void service_role::private_data::callRefused(routing::work_id id, const base::error& problem)
{
    if (const auto pending = removeCall(id))
        node::replyError(pending->exchange, problem);
}

void service_role::private_data::callEnded(routing::work_id id, const base::result<plain_answer>& answer)
{
    const auto pending = removeCall(id);
    admission.finish(id);
    if (!pending)
        return;
    if (!answer)
        return node::replyError(pending->exchange, answer.error());
    if (!answer->isReplayed && pending->isIdempotent)
        admission.setBound(ramp.observe(node.clock().now() - pending->startedAt, settings.tokenTime));
    pending->exchange->reply({ .status = answer->answer.status,
        .headers = { { "Content-Type", answer->answer.contentType },
            { std::string(protocol::replayedHeader), answer->isReplayed ? "1" : "0" } },
        .body = answer->answer.body });
}

service_role::service_role(node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : d(std::make_unique<private_data>(node, gate, settings))
{
}

service_role::~service_role() = default;

void service_role::start()
{
    d->node.router().add("POST", "/agent/call",
        d->node.peers().authenticated([this](const auto& exchange) { d->handle(exchange); }));
    d->node.drain().addHook(
        outcome::drain_phase::AfterWork, "write claims", [this](const std::function<void()>& done) {
            if (!d->ledger)
                return done();
            d->ledger->flush(done);
        });
}

void service_role::configChanged(const control::config_content& content)
{
    const auto self = content.targets.find(d->settings.node.process.id);
    if (self != content.targets.end() && !self->second.service.empty())
        d->createLedger(self->second.service);
}

void service_role::memberChanged(const control::member&) { }

protocol::agent_load service_role::load() const
{
    return { .running = d->admission.running(),
        .queued = d->admission.queued(),
        .bound = d->admission.bound(),
        .serviceTime = d->admission.serviceTime() };
}

int service_role::rampStep() const
{
    return d->ramp.isWarm() ? fullRampStep : 0;
}

std::string service_role::describe() const
{
    const auto load = this->load();
    const auto counts = d->ledger ? d->ledger->counts() : outcome::claim_counts {};
    return fmt::format(
        R"({{"kind":"service","service":"{}","running":{},"queued":{},"bound":{},"claims":{{"calls":{},"granted":{},"reads":{},"writes":{},"conflicts":{},"lost_answers":{}}}}})",
        d->serviceName, load.running, load.queued, load.bound, counts.calls, counts.granted, counts.reads,
        counts.writes, counts.conflicts, counts.lostAnswers);
}

} // namespace marigold::agent
