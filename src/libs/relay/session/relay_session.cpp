#include "relay_session.h"
#include <relay/log_fields.h>

#include <relay/context/context_scope.h>
#include <relay/events.h>
#include <relay/message/http_status.h>

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Longest wait for a store at its transfer limit, as a share of the route's latency goal. Up to it,
/// recomputing the context costs the engines more than the wait costs the caller.
constexpr double maxContextWaitShare = 0.35;

/// Longest wait for a target, as a multiple of the route's latency goal. After it, the request would hardly
/// be served before its caller times out.
constexpr double maxQueueTimeFactor = 2.0;

/// Retry time for callers of a process that ends: their next connection goes to another one.
constexpr base::duration stoppingRetryAfter = std::chrono::milliseconds(50);

/// Retry time for callers while this process has no configuration or no target.
constexpr base::duration unavailableRetryAfter = std::chrono::milliseconds(700);

} // namespace

relay_session::relay_session(relay_services& services, caller_connection& caller, message_head&& head,
    content_buffer&& body, finished_handler finished)
    : m_services(services)
    , m_config(services.config)
    , m_caller(&caller)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_onFinished(std::move(finished))
    , m_arrivedAt(services.clock.now())
{
    caller.setHandler(this);
}

relay_session::~relay_session()
{
    m_services.loop.cancel(m_deadlineTimer);
    m_services.loop.cancel(m_discardTimer);
    m_services.loop.cancel(m_hedgeTimer);
}

void relay_session::start()
{
    auto request = m_services.dialect.readRequest(m_head);
    if (!request)
        return sendOwnAnswer(http_status::badRequest, {}, request.error().message);
    m_request = std::move(*request);
    accountFor(0);
    if (!m_config)
        return sendOwnAnswer(http_status::serviceUnavailable, unconfiguredRetryAfter(), "no_configuration");
    if (!resolveRoute())
        return;
    m_sharedParts = scopedParts();
    const base::duration limit = std::min(m_route->timeout, m_request.timeLimit.value_or(m_route->timeout));
    m_deadline = m_arrivedAt + limit;
    const auto maxWait = maxQueueTimeFactor * static_cast<double>(m_route->latencyGoal.count());
    m_waitDeadline = m_arrivedAt + std::min(base::duration(static_cast<std::int64_t>(maxWait)), limit / 2);
    m_deadlineTimer = m_services.loop.runAfter(limit, [this] {
        m_deadlineTimer = 0;
        deadlineReached();
    });
    m_services.retryBudgets.budgetFor(m_service->name).addRequest();
    if (m_services.admission)
        recogniseReturn();
    m_services.hedging.requestArrived(m_service->name);
    dispatch();
}

base::duration relay_session::unconfiguredRetryAfter() const
{
    // An outage is expected to last as long again as it has lasted so far.
    constexpr base::duration shortest = std::chrono::milliseconds(300);
    constexpr base::duration longest = std::chrono::seconds(3);
    return returnAfter(std::clamp(now() - m_services.startedAt, shortest, longest));
}

bool relay_session::resolveRoute()
{
    m_route = m_config->findRoute(m_request.host, m_head.target);
    if (!m_route) {
        sendOwnAnswer(http_status::notFound, {}, "no_route");
        return false;
    }
    if (m_config->hasTeams() && !m_route->anonymous) {
        m_team = m_config->findTeam(m_request.key);
        if (!m_team) {
            sendOwnAnswer(http_status::unauthorized, {}, "unknown_key");
            return false;
        }
    }
    double total = 0;
    for (const route_share& share : m_route->shares)
        total += share.weight;
    double drawnWeight = m_services.random.uniform() * total;
    for (const route_share& share : m_route->shares) {
        m_service = m_config->findService(share.service);
        drawnWeight -= share.weight;
        if (drawnWeight < 0)
            break;
    }
    if (!m_service) {
        sendOwnAnswer(http_status::serviceUnavailable, returnAfter(unavailableRetryAfter), "no_service");
        return false;
    }
    return true;
}

void relay_session::setScope(int weightVersion)
{
    // A team may have become isolated since the request arrived.
    m_scope = context_scope::of(*m_services.config, m_team, m_request.model, weightVersion).text();
}

int relay_session::urgency() const
{
    return m_team && m_team->priority ? *m_team->priority : m_route->priority;
}

base::time_point relay_session::dispatchDeadline() const
{
    return m_arrivedAt + m_route->latencyGoal - m_context.transferTime
        - m_services.targets.idlePrefillTime(m_service->name, work());
}

placement relay_session::choose()
{
    setScope(m_services.targets.newestVersion(m_service->name, m_request.model));
    m_context = m_services.context.plan(m_scope, m_request.parts);
    const auto maxWait = maxContextWaitShare * static_cast<double>(m_route->latencyGoal.count());
    if (m_context.sourceBusy && elapsed() < base::duration(static_cast<std::int64_t>(maxWait)))
        return { .outcome = placement_outcome::ContextBusy };
    const std::size_t shared = m_request.parts.empty() ? 0 : m_request.parts.size() - 1;
    placement_request request { .service = m_service->name,
        .model = m_service->engine ? std::string_view(m_request.model) : std::string_view(),
        .promptTokens = m_request.promptTokens,
        .work = work(),
        .sharedTokens = m_request.sharedTokens(),
        .sharedPart = shared > 0 ? std::string_view(m_request.parts[shared - 1].id) : std::string_view(),
        .cachedTokens = m_context.cachedTokens,
        .transferTime = m_context.transferTime,
        .outputTokens = m_request.maxOutputTokens,
        .triedTargets = m_tried };
    const lane_choice lanes = m_services.rollouts.lanesFor(m_service->name, m_sends > 0);
    request.lane = lanes.first;
    placement found = m_services.chooser.choose(request);
    if (found.outcome == placement_outcome::Chosen || !lanes.second)
        return found;
    request.lane = *lanes.second;
    const placement other = m_services.chooser.choose(request);
    return other.outcome == placement_outcome::NoTarget ? found : other;
}

void relay_session::reportAttempt(rollout_control::attempt_outcome outcome)
{
    if (!m_target)
        return;
    base::duration took = m_firstChunkAfter.value_or(now() - m_sentAt);
    if (m_service->engine) {
        // Engines of a new version have no cached context at first. The time is therefore stated relative to
        // the one that the prompt needs, in percent as milliseconds; the fixed costs are not part of that.
        constexpr base::duration fixedCost = std::chrono::milliseconds(20);
        constexpr base::duration whole = std::chrono::milliseconds(100);
        took = whole * took.count() / (m_usualFirstToken + fixedCost).count();
    }
    m_services.rollouts.attemptEnded(m_target->registration, m_route->name, outcome, took);
}

target_load relay_session::work() const
{
    return { .requests = 1,
        .prefillTokens = m_request.promptTokens - m_context.cachedTokens,
        .tokens = m_request.promptTokens + m_request.maxOutputTokens };
}

void relay_session::dispatch()
{
    if (refuseBlocked() || refuseUnwanted() || refuseForStop())
        return;
    if (!m_services.waitQueue.mustWaitBehind(*this)) {
        const placement found = choose();
        if (found.outcome == placement_outcome::Chosen && send(*found.target))
            return;
        m_lastChoice = found.outcome;
        // Waiting for a descriptor would keep the one of the caller from others.
        if (found.outcome == placement_outcome::Chosen
            && m_services.pool.isLimited(found.target->registration.address))
            return rejectUnplaced();
        if (found.outcome == placement_outcome::NoTarget && !m_tried.empty()
            && found.pauseEnd > m_waitDeadline)
            return rejectUnplaced();
    }
    m_isQueued = true;
    m_services.waitQueue.add(*this);
}

dispatch_result relay_session::tryDispatch()
{
    if (refuseBlocked() || refuseUnwanted() || refuseForStop())
        return dispatch_result::Dispatched;
    const placement found = choose();
    m_lastChoice = found.outcome;
    if (found.outcome == placement_outcome::ContextBusy)
        return dispatch_result::NotReady;
    if (found.outcome != placement_outcome::Chosen || !send(*found.target))
        return dispatch_result::NoCapacity;
    m_isQueued = false;
    return dispatch_result::Dispatched;
}

void relay_session::waitTimedOut()
{
    m_isQueued = false;
    rejectUnplaced();
}

void relay_session::rejectUnplaced()
{
    if (m_verdict != base::verdict::NotRun)
        return sendOwnAnswer(http_status::badGateway, {}, "no_further_target");
    const bool busy = m_lastChoice != placement_outcome::NoTarget;
    sendOwnAnswer(http_status::serviceUnavailable, retryAfter(busy ? busyRetryAfter : unavailableRetryAfter),
        busy ? "targets_busy" : "no_target");
}

bool relay_session::refuseUnwanted()
{
    const auto wanted = m_services.targets.nextWanted(m_service->name);
    if (!wanted || *wanted <= m_waitDeadline)
        return false;
    m_isQueued = false;
    if (m_verdict != base::verdict::NotRun)
        sendOwnAnswer(http_status::badGateway, {}, "no_further_target");
    else
        sendOwnAnswer(http_status::serviceUnavailable, retryAfter(unavailableRetryAfter),
            *wanted == base::time_point::max() ? "targets_leaving" : "targets_paused");
    return true;
}

bool relay_session::refuseForStop()
{
    if (!m_services.endsAt || *m_services.endsAt - now() >= m_route->latencyGoal)
        return false;
    m_isQueued = false;
    if (m_verdict != base::verdict::NotRun)
        sendOwnAnswer(http_status::badGateway, {}, "stopping");
    else
        sendOwnAnswer(http_status::serviceUnavailable, stoppingRetryAfter, "stopping");
    return true;
}

void relay_session::endForStop()
{
    if (m_ended || m_isCheckingEnd)
        return;
    abandonAttempt();
    if (m_verdict == base::verdict::NotRun)
        return sendOwnAnswer(http_status::serviceUnavailable, stoppingRetryAfter, "stopping");
    sendOwnAnswer(http_status::badGateway, {}, "stopping");
}

base::duration relay_session::retryAfter(base::duration usual) const
{
    const auto wanted = m_services.targets.nextWanted(m_service->name);
    if (!wanted || *wanted == base::time_point::max())
        return returnAfter(usual);
    // A pause that the targets asked for is never shortened to what callers honour.
    return std::max(returnAfter(usual), *wanted - now());
}

std::vector<std::string> relay_session::scopedParts() const
{
    const std::string_view isolatedTeam = m_team && m_team->isolated ? m_team->name : std::string_view();
    std::vector<std::string> names;
    for (std::size_t i = 0; i + 1 < m_request.parts.size(); ++i)
        names.push_back(scopedPartName(m_request.model, isolatedTeam, m_request.parts[i].id));
    return names;
}

bool relay_session::refuseBlocked()
{
    const blocked_part* block = m_isTrial ? nullptr : m_services.quarantine.find(m_sharedParts);
    if (!block)
        return false;
    if (claimTrial(*block))
        return true;
    m_isQueued = false;
    const base::duration retryAfter = m_services.quarantine.retryAfter(block->part);
    if (m_verdict == base::verdict::NotRun)
        sendOwnAnswer(http_status::serviceUnavailable, retryAfter, "part_blocked");
    else
        sendOwnAnswer(http_status::badGateway, {}, "part_blocked");
    return true;
}

bool relay_session::claimTrial(const blocked_part& block)
{
    const auto number = m_services.quarantine.dueTrial(block.part);
    if (!number || m_isQueued || m_sends > 0)
        return false;
    m_isClaimingTrial = true;
    m_services.claimTrial(block.part, *number, [this, alive = std::weak_ptr(m_alive)](bool granted) {
        if (alive.expired() || m_ended)
            return;
        m_isClaimingTrial = false;
        m_isTrial = granted;
        dispatch();
    });
    return true;
}

void relay_session::cancelBlocked()
{
    if (m_ended || m_isTrial || m_isClaimingTrial || !m_services.quarantine.find(m_sharedParts))
        return;
    if (isHedged() && !m_hedge->state.m_answerBegun)
        cancelHedge();
    if (m_target && m_answerBegun)
        return; // Too late to spare the target, and the answer may be a sound one.
    abandonAttempt();
    if (m_isQueued)
        m_services.waitQueue.remove(*this);
    refuseBlocked();
}

void relay_session::abandonAttempt()
{
    cancelHedge();
    if (!m_target)
        return;
    if (m_connection)
        m_connection->cancel();
    m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);
    releaseTarget();
}

void relay_session::deadlineReached()
{
    if (m_isCheckingEnd)
        return; // The answer is ready but for the result of one probe.
    reportAttempt(rollout_control::attempt_outcome::Failed);
    abandonAttempt();
    if (m_verdict == base::verdict::NotRun)
        return sendOwnAnswer(http_status::serviceUnavailable, {}, "time_limit");
    sendOwnAnswer(http_status::gatewayTimeout, {}, "time_limit");
}

void relay_session::callerDisconnected()
{
    m_caller = nullptr;
    // The attempt took at least this long; callers that give up on slow answers would hide these.
    reportAttempt(rollout_control::attempt_outcome::Answered);
    abandonAttempt();
    finish(relay_outcome::CallerGone, 0, "");
}

void relay_session::sendOwnAnswer(int status, base::duration retryAfter, std::string_view reason)
{
    if (m_callerStatus) {
        m_caller->abort();
        return finish(relay_outcome::Broken, 0, reason);
    }
    m_caller->answer(status, m_services.dialect.ownAnswerFields(m_request.attemptId, retryAfter), {});
    finish(relay_outcome::OwnAnswer, status, reason);
}

void relay_session::finish(relay_outcome outcome, int status, std::string_view reason)
{
    if (std::exchange(m_ended, true))
        return;
    m_services.loop.cancel(std::exchange(m_deadlineTimer, 0));
    cancelHedge();
    if (m_hedge)
        m_hedge->cancel();
    if (std::exchange(m_isQueued, false))
        m_services.waitQueue.remove(*this);
    m_services.metrics.requestEnded({ .kind = m_route ? m_route->kind : request_kind::NonIdempotent,
        .outcome = outcome,
        .verdict = m_verdict,
        .status = status,
        .sends = m_sends,
        .firstByteAfter = m_firstByteAfter,
        .sentAfter = m_sends > 0 ? std::optional(m_sentAt - m_arrivedAt) : std::nullopt,
        .reason = reason,
        .framing = m_answerBegun ? std::optional(m_answerHead.framing) : std::nullopt,
        .promptTokens = m_request.promptTokens,
        .sharedTokens = m_request.sharedTokens(),
        .fetchedTokens = m_context.cachedTokens });
    m_services.log.write(events::requestEnded,
        { { "request", m_request.attemptId }, { "route", m_route ? m_route->name : std::string() },
            { "outcome", std::string(nameOf(outcome)) }, { "status", std::to_string(status) },
            { "verdict", std::string(base::nameOf(m_verdict)) }, { "attempts", std::to_string(m_sends) },
            { "target", m_lastTarget }, { "age_ms", milliseconds(elapsed()) },
            { "placed_ms", m_sends > 0 ? milliseconds(m_sentAt - m_arrivedAt) : "-" },
            { "expected_ms", m_sends > 0 ? milliseconds(m_expectedFirstToken) : "-" },
            { "first_ms", m_firstByteAfter ? milliseconds(*m_firstByteAfter) : "-" },
            { "pause_ms", milliseconds(m_longestPause) },
            { "prompt_tokens", std::to_string(m_request.promptTokens) },
            { "shared_tokens", std::to_string(m_request.sharedTokens()) },
            { "kept_tokens", std::to_string(m_context.cachedTokens) }, { "scope", m_scope },
            { "part", m_request.parts.size() > 1 ? m_request.parts[m_request.parts.size() - 2].id : "" },
            { "parts", fmt::format("{}", fmt::join(m_sharedParts, ",")) },
            { "answer", std::string(answerProgress()) }, { "events", std::to_string(answerEvents()) },
            { "answer_status", std::to_string(m_answerBegun ? m_answerHead.status : 0) },
            { "caller_status", std::to_string(m_callerStatus.value_or(0)) },
            { "framing", std::string(answerFraming()) },
            { "config", m_config ? std::to_string(m_config->version()) : "-" },
            { "reason", std::string(reason) } });
    m_onFinished(*this);
}

} // namespace marigold::relay
