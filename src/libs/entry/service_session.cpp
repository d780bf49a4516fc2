#include "service_session.h"

#include "events.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::entry {

namespace {

constexpr std::string_view servicesPath = "/services/";

/// Returns whether \a problem is caused by the agent and not by the call, so that another agent may accept
/// the call.
bool isAgentProblem(const base::error& problem)
{
    return problem.reason == base::error_reason::Overloaded
        || problem.reason == base::error_reason::Unavailable
        || problem.reason == base::error_reason::Unauthorized
        || problem.reason == base::error_reason::StreamBroken
        || problem.reason == base::error_reason::DeadlineExceeded;
}

} // namespace

service_session::service_session(entry_services& services, caller_context caller, node::exchange_ptr exchange)
    : m_services(services)
    , m_caller(std::move(caller))
    , m_exchange(std::move(exchange))
{
}

base::result<void> service_session::parseCall()
{
    const std::string_view rest = m_exchange->path().substr(servicesPath.size());
    const auto slash = rest.find('/');
    m_call = { .team = m_caller.team,
        .service = std::string(rest.substr(0, slash)),
        .method = std::string(m_exchange->method()),
        .path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash)),
        .contentType = std::string(m_exchange->header("Content-Type").value_or("application/octet-stream")),
        .idempotencyKey = std::string(m_exchange->header("Idempotency-Key").value_or("")) };
    const control::config_state* current = m_services.node.config().current();
    if (!current || !m_services.node.config().mayServe())
        return base::notRun(base::error_reason::Unavailable, "this entry has no configuration yet");
    const auto& services = current->document.content().services;
    const auto found = services.find(m_call.service);
    if (found == services.end())
        return base::notRun(
            base::error_reason::NotFound, fmt::format("there is no service \"{}\"", m_call.service), "path");
    m_isIdempotent = std::any_of(
        found->second.idempotent.begin(), found->second.idempotent.end(), [&](const std::string& rule) {
            return rule == m_call.method || (rule.starts_with('/') && m_call.path.starts_with(rule));
        });
    if (m_isIdempotent)
        return {};
    if (m_call.idempotencyKey.empty())
        return base::notRun(base::error_reason::InvalidRequest,
            "a call that is not idempotent requires an Idempotency-Key with a UUIDv7", "Idempotency-Key");
    const auto key = outcome::parseIdempotencyKey(m_call.idempotencyKey);
    if (!key)
        return tl::unexpected(key.error());
    return {};
}

void service_session::start()
{
    const auto parsed = parseCall();
    m_services.explain.begin(m_caller.requestId, m_caller.team, m_call.service);
    if (!parsed)
        return fail(parsed.error());
    const auto work = m_services.node.drain().enter("call " + m_caller.requestId);
    if (!work)
        return fail(work.error());
    m_drainWork = *work;
    if (const auto entered = m_services.limiter.enter(m_caller.team, 0); !entered) {
        m_services.node.metrics().shed(m_caller.team);
        return fail(entered.error());
    }
    m_isCounted = true;
    m_services.retryBudget.addRequest();
    attempt();
}

routing::target_index service_session::chooseTarget()
{
    routing::route_request request { .policy = routing::routing_policy::IdempotentCall,
        .kind = routing::target_kind::Service,
        .model = m_call.service,
        .triedTargets = m_triedTargets };
    if (!m_isIdempotent) {
        auto agents = m_services.targets.serviceAgents(m_call.service);
        std::erase_if(agents, [&](const std::string& address) {
            return std::find(m_triedTargets.begin(), m_triedTargets.end(),
                       m_services.targets.findByAddress(address))
                != m_triedTargets.end();
        });
        if (agents.empty())
            return routing::noTarget;
        const auto key = outcome::parseIdempotencyKey(m_call.idempotencyKey);
        const auto shard
            = outcome::claim_ledger::shardOf(m_caller.team, *key, outcome::claim_ledger::defaultShards);
        request.policy = routing::routing_policy::HomeCall;
        request.home
            = m_services.targets.findByAddress(outcome::claim_ledger::homeOf(m_call.service, shard, agents));
    }
    const auto decision = m_services.router.route(request, m_services.node.clock().now());
    operate::explain_decision record { .at = m_services.node.clock().now() - m_caller.arrival };
    for (const auto& item : decision.candidates())
        record.candidates.push_back({ .target = m_services.targets.table().info(item.target).id,
            .costMs = item.cost.firstTokenSeconds * 1000,
            .reason = m_services.router.explain(item) });
    if (!decision.empty())
        record.chosen = record.candidates.front().target;
    m_services.explain.addDecision(m_caller.requestId, std::move(record));
    return decision.empty() ? routing::noTarget : decision.candidates().front().target;
}

void service_session::attempt()
{
    m_target = chooseTarget();
    if (m_target == routing::noTarget) {
        const base::error none { .verdict = base::verdict::NotRun,
            .reason = base::error_reason::Unavailable,
            .message = "no target is available for the call",
            .retryAfter = std::chrono::seconds(1) };
        return fail(m_attemptsMade > 0 ? m_tally.finalError() : none);
    }
    m_triedTargets.push_back(m_target);
    ++m_attemptsMade;
    m_tally.started();
    const auto kind = m_isIdempotent ? outcome::call_kind::Idempotent : outcome::call_kind::NonIdempotent;
    const base::duration limit = m_services.retryPolicy.attemptTimeout(kind, m_attemptsMade, remaining());
    m_call.remaining = limit;
    m_ticket = m_services.targets.table().recordChoice(m_target, 0, m_services.node.clock().now());
    m_attemptStart = m_services.node.clock().now();
    net::http_call call { .to = m_services.targets.addressOf(m_target),
        .method = "POST",
        .target = "/agent/call",
        .headers = { { std::string(protocol::callHeader), m_call.encode() } },
        .body = std::string(m_exchange->body()),
        .timeout = limit,
        .freshConnection = !m_isIdempotent };
    m_services.node.peers().send(
        std::move(call), [self = shared_from_this()](const base::result<net::http_response>& answer) {
            self->replyReceived(answer);
        });
}

void service_session::replyReceived(const base::result<net::http_response>& answer)
{
    const base::time_point now = m_services.node.clock().now();
    m_services.targets.table().recordEnd(m_ticket, now);
    if (!answer)
        return attemptFailed(answer.error(), false);
    const auto replayed = answer->headers.find(protocol::replayedHeader);
    if (!replayed) {
        // Only refusals by the agent itself lack the header; they contain a verdict.
        const base::error fallback { .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::Unavailable,
            .message = fmt::format("the agent replied with status {}", answer->status) };
        return attemptFailed(protocol::decodeError(answer->body, fallback), true);
    }
    m_services.targets.observe(m_target, false, 1.0);
    m_services.explain.addAttempt(m_caller.requestId,
        { .target = m_services.targets.table().info(m_target).id,
            .start = m_attemptStart - m_caller.arrival,
            .elapsed = now - m_attemptStart,
            .verdict = base::verdict::Ran });
    m_exchange->reply({ .status = answer->status,
        .headers
        = { { "Content-Type",
                std::string(answer->headers.find("Content-Type").value_or("application/octet-stream")) },
            { "X-Request-Id", m_caller.requestId },
            { "Idempotency-Replayed", *replayed == "1" ? "true" : "false" } },
        .body = answer->body });
    end(base::verdict::Ran, "");
}

void service_session::attemptFailed(const base::error& problem, bool isFromAgent)
{
    m_tally.failed(problem);
    // A not_run refusal does not count as a failure of the agent. The agent is alive, and the cause can be
    // external, such as the key-value service.
    const bool isRefusal = isFromAgent && problem.verdict == base::verdict::NotRun;
    if (!isRefusal)
        m_services.targets.observe(m_target, true, 1.0);
    m_services.explain.addAttempt(m_caller.requestId,
        { .target = m_services.targets.table().info(m_target).id,
            .start = m_attemptStart - m_caller.arrival,
            .elapsed = m_services.node.clock().now() - m_attemptStart,
            .verdict = problem.verdict,
            .reason = std::string(base::nameOf(problem.reason)) });
    if (!isAgentProblem(problem))
        return fail(m_tally.finalError());
    const auto kind = m_isIdempotent ? outcome::call_kind::Idempotent : outcome::call_kind::NonIdempotent;
    const auto decision = m_services.retryPolicy.decide({ .kind = kind,
        .verdict = m_isIdempotent ? problem.verdict : m_tally.verdict(),
        .attemptsMade = m_attemptsMade,
        .remaining = remaining(),
        .budgetAllows = m_services.retryBudget.available() > 0 });
    if (decision.action != outcome::retry_action::Retry || !m_services.retryBudget.tryRetry())
        return fail(m_tally.finalError());
    m_services.node.metrics().retry(operate::retry_kind::Retry);
    attempt();
}

void service_session::fail(const base::error& problem)
{
    if (m_isDone)
        return;
    m_services.node.log().write(events::requestFailed,
        { { "request", m_caller.requestId }, { "team", m_caller.team },
            { "verdict", std::string(base::nameOf(problem.verdict)) },
            { "reason", std::string(base::nameOf(problem.reason)) }, { "message", problem.message } });
    node::replyError(m_exchange, problem, { { "X-Request-Id", m_caller.requestId } });
    end(problem.verdict, base::nameOf(problem.reason));
}

void service_session::end(base::verdict verdict, std::string_view reason)
{
    m_isDone = true;
    if (m_isCounted)
        m_services.limiter.leave(m_caller.team);
    m_services.explain.finish(m_caller.requestId, verdict, reason);
    m_services.node.metrics().outcome(
        verdict, reason.empty() ? std::nullopt : std::optional(base::reasonFromString(reason)));
    m_services.node.drain().leave(m_drainWork);
}

} // namespace marigold::entry
