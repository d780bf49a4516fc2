#include "completion_session.h"

#include "events.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

constexpr int bytesPerToken = 4;

/// Rounds in which a request waits for a target after no candidate accepted it. With more rounds, the entry
/// would hold requests that the fleet cannot serve before their deadlines.
constexpr int maxWaitRounds = 3;

constexpr auto maxWait = std::chrono::milliseconds(500);
constexpr auto resumeDelay = std::chrono::milliseconds(100);

base::digest128 newId(base::random_source& random)
{
    return outcome::randomId(random);
}

} // namespace

completion_session::completion_session(
    entry_services& services, completion_request request, node::exchange_ptr exchange)
    : m_services(services)
    , m_request(std::move(request))
    , m_exchange(std::move(exchange))
    , m_writer(makeCompletionWriter(m_request, m_exchange))
{
}

base::result<void> completion_session::validate()
{
    const control::config_state* current = m_services.node.config().current();
    if (!current || !m_services.node.config().mayServe())
        return base::notRun(base::error_reason::Unavailable, "this entry has no configuration yet");
    const auto& content = current->document.content();
    const auto team = content.teams.find(m_request.caller.team);
    if (team == content.teams.end())
        return base::notRun(base::error_reason::Unauthorized, "the team is unknown");
    const auto model = content.models.find(m_request.model);
    if (model == content.models.end())
        return base::notRun(
            base::error_reason::NotFound, fmt::format("there is no model \"{}\"", m_request.model), "model");
    if (!m_request.adapter.empty()) {
        const auto adapter = model->second.adapters.find(m_request.adapter);
        if (adapter == model->second.adapters.end()
            || (!adapter->second.team.empty() && adapter->second.team != m_request.caller.team))
            return base::notRun(base::error_reason::NotFound,
                fmt::format("there is no adapter \"{}\"", m_request.adapter), "model");
    }
    m_blockSecret = team->second.blockSecret;
    m_goal = model->second.policy == control::model_policy::FirstToken
        ? routing::serving_goal::FirstToken
        : routing::serving_goal::LeastRecomputation;
    return {};
}

void completion_session::start()
{
    m_services.explain.begin(m_request.caller.requestId, m_request.caller.team, m_request.model);
    if (const auto valid = validate(); !valid)
        return endWith(valid.error());
    auto work = m_services.node.drain().enter("completion " + m_request.caller.requestId);
    if (!work)
        return endWith(work.error());
    m_drainWork = *work;
    m_exchange->onClosed([self = weak_from_this()] {
        if (const auto session = self.lock())
            session->callerDisconnected();
    });
    if (!m_request.lastEventId.empty())
        return startResume();
    if (const auto entered = m_services.limiter.enter(m_request.caller.team, m_request.maxTokens); !entered) {
        m_services.node.metrics().shed(m_request.caller.team);
        return endWith(entered.error());
    }
    m_isCounted = true;
    // A request with 1024 prompt tokens and max_tokens 100 costs 3.
    constexpr double promptTokensPerUnit = 1024;
    constexpr double generatedTokensPerUnit = 100;
    const double cost = 1 + static_cast<double>(m_request.prompt.size()) / bytesPerToken / promptTokensPerUnit
        + m_request.maxTokens / generatedTokensPerUnit;
    m_services.gate.enter(m_request.caller.team, cost, m_request.caller.deadline,
        [self = shared_from_this()](const base::result<void>& admitted) {
            if (!admitted) {
                self->m_services.node.metrics().shed(self->m_request.caller.team);
                return self->endWith(admitted.error());
            }
            self->m_isAdmitted = true;
            self->m_services.retryBudget.addRequest();
            // The caller may have disconnected while the request was queued.
            if (self->m_isDone)
                return self->endWith({});
            self->findContext();
        });
}

void completion_session::findContext()
{
    if (m_isDone)
        return;
    const auto& content = m_services.node.config().current()->document.content();
    const auto firstBlock = std::string_view(m_request.prompt)
                                .substr(0, static_cast<std::size_t>(m_services.settings.blockBytes));
    m_version = m_services.targets.versionFor(content, m_request.model, base::hash64(firstBlock));
    const context::block_scope scope { .teamSecret = m_blockSecret,
        .model = m_request.model,
        .weightVersion = m_version,
        .adapter = m_request.adapter };
    m_services.contexts.find(scope, m_request.caller.team, m_request.prompt,
        [self = shared_from_this()](
            base::result<prompt_context> found) { self->contextFound(std::move(found)); });
}

void completion_session::contextFound(base::result<prompt_context> found)
{
    if (m_isDone)
        return;
    if (!found)
        return endWith(found.error());
    m_promptContext = std::move(*found);
    routeNext();
}

void completion_session::routeNext()
{
    if (m_isDone)
        return;
    const int blockTokens = m_services.settings.blockBytes / bytesPerToken;
    int cachedTokens = m_promptContext.storedBlocks * blockTokens;
    for (const auto& hint : m_promptContext.hints)
        cachedTokens = std::max(cachedTokens, hint.tokens);
    const routing::route_request request {
        .policy = routing::routing_policy::Prompt,
        .kind = routing::target_kind::Engine,
        .model = m_request.model,
        .version = m_version,
        .goal = m_goal,
        .size = { .promptTokens = static_cast<int>(m_request.prompt.size()) / bytesPerToken,
            .prefixTokens = cachedTokens },
        .prefixKey = m_promptContext.chain.empty() ? 0 : m_promptContext.chain.front().high(),
        .hints = m_promptContext.hints,
        .storedContext = { .tokens = m_promptContext.storedBlocks * blockTokens,
            .transferTime = m_promptContext.transferTime },
        .triedTargets = m_triedTargets,
    };
    const auto decision = m_services.router.route(request, m_services.node.clock().now());
    operate::explain_decision record { .at = elapsed() };
    for (const auto& item : decision.candidates())
        record.candidates.push_back({ .target = m_services.targets.table().info(item.target).id,
            .costMs = item.cost.firstTokenSeconds * 1000,
            .reason = m_services.router.explain(item) });
    if (!decision.empty())
        record.chosen = record.candidates.front().target;
    m_services.explain.addDecision(m_request.caller.requestId, std::move(record));
    if (decision.empty())
        return waitForTarget({ .verdict = base::verdict::NotRun,
            .reason = base::error_reason::Unavailable,
            .message = "no target is available for the request",
            .retryAfter = std::chrono::seconds(1) });
    sendRun(decision.candidates().front());
}

protocol::run_request completion_session::runRequest(const routing::candidate& chosen) const
{
    protocol::run_request request {
        .run = m_runId,
        .attempt = base::toHex(m_attempt->id()),
        .epoch = m_attempt->epoch(),
        .team = m_request.caller.team,
        .owner = m_services.node.membership().self().id,
        .model = m_request.model,
        .version = m_version,
        .prompt = m_request.prompt,
        .maxTokens = m_request.maxTokens,
        .temperature = m_request.temperature,
        .priority = static_cast<int>(m_request.caller.priority),
        .remaining = remaining(),
        .waitLimit = chosen.waitLimit,
        .cacheSalt = m_promptContext.cacheSalt,
    };
    for (const auto& key : m_promptContext.chain)
        request.blockKeys.push_back(key.hex());
    // A hint about an engine may be stale: the agent queries its engine and loads only the missing blocks.
    if (chosen.cost.action != routing::context_action::Recompute) {
        request.loadBlocks = m_promptContext.storedBlocks;
        request.loadFrom = m_promptContext.storeAddress;
    }
    if (static_cast<std::size_t>(m_promptContext.storedBlocks) < m_promptContext.chain.size())
        request.saveTo = m_promptContext.saveTo;
    return request;
}

void completion_session::sendRun(const routing::candidate& chosen)
{
    if (!m_attempt) {
        m_attempt.emplace(m_services.node.random());
        m_merger.emplace(*m_attempt);
    } else {
        m_attempt = m_attempt->restarted(m_services.node.random());
        if (const auto step = m_merger->restart(*m_attempt); step.broken)
            return endWith(*step.broken);
    }
    m_runId = base::toHex(newId(m_services.node.random()));
    m_resumePoint = { .attempt = m_attempt->id(), .epoch = m_attempt->epoch() };
    m_target = chosen.target;
    m_triedTargets.push_back(chosen.target);
    m_expectedSeconds = std::max(chosen.cost.firstTokenSeconds, 0.001);
    m_ticket = m_services.targets.table().recordChoice(
        chosen.target, chosen.cost.prefillTokens, m_services.node.clock().now());
    m_tally.started();
    ++m_attemptsMade;
    openStream({ .to = m_services.targets.addressOf(m_target),
        .method = "POST",
        .target = "/agent/run",
        .body = runRequest(chosen).encode(),
        .timeout = remaining(),
        .freshConnection = false });
}

void completion_session::startResume()
{
    const auto token = m_services.resumeTokens.decode(m_request.lastEventId, m_request.caller.team);
    if (!token)
        return endWith(token.error());
    m_runId = base::toHex(token->run);
    m_target = m_services.targets.find(token->target);
    if (m_target == routing::noTarget)
        return endWith({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::StreamBroken,
            .message = "the target of the stream has been removed",
            .field = "Last-Event-ID" });
    const outcome::resume_request resumePoint {
        .attempt = token->attempt, .epoch = token->epoch, .afterSequence = token->sequence
    };
    m_resumePoint = resumePoint;
    m_merger.emplace(resumePoint, outcome::stream_merger::options {});
    m_tally.started();
    ++m_attemptsMade;
    sendResume(resumePoint);
}

void completion_session::sendResume(const outcome::resume_request& resumePoint)
{
    const protocol::resume_message message { .run = m_runId,
        .attempt = base::toHex(resumePoint.attempt),
        .epoch = resumePoint.epoch,
        .team = m_request.caller.team,
        .owner = m_services.node.membership().self().id,
        .afterSequence = resumePoint.afterSequence };
    ++m_resumeCount;
    openStream({ .to = m_services.targets.addressOf(m_target),
        .method = "POST",
        .target = "/agent/resume",
        .body = message.encode(),
        .timeout = remaining(),
        .freshConnection = true });
}

void completion_session::closeAttempt(bool failed)
{
    if (m_ticket.target == routing::noTarget)
        return;
    const base::time_point now = m_services.node.clock().now();
    m_services.targets.table().recordEnd(m_ticket, now);
    const double seconds = std::chrono::duration<double>(now - m_attemptStart).count();
    m_services.targets.observe(m_ticket.target, failed, seconds / m_expectedSeconds);
    m_ticket = {};
}

void completion_session::attemptFailed(base::error problem, bool isRunHeld)
{
    m_services.explain.addAttempt(m_request.caller.requestId,
        { .target = m_services.targets.table().info(m_target).id,
            .start = m_attemptStart - m_request.caller.arrival,
            .elapsed = m_services.node.clock().now() - m_attemptStart,
            .verdict = problem.verdict,
            .reason = std::string(base::nameOf(problem.reason)) });
    const bool canResume = isRunHeld && m_merger && m_merger->resumeRequest() && m_resumeCount < maxResumes;
    if (!canResume) {
        m_tally.failed(problem);
        closeAttempt(problem.verdict != base::verdict::NotRun || m_isTransportError);
    }
    // A refused run or connection costs the target nothing, so the next candidate is tried without using the
    // retry budget.
    const bool isWithoutCost = problem.verdict == base::verdict::NotRun
        && (problem.reason == base::error_reason::Overloaded
            || problem.reason == base::error_reason::Unavailable);
    if (isWithoutCost && !m_merger->hasDelivered() && m_attempt) {
        --m_attemptsMade;
        if (m_triedTargets.size() < routing::route_decision::defaultCandidates)
            return routeNext();
        return waitForTarget(problem);
    }
    const outcome::failed_attempt failure {
        .kind = outcome::call_kind::Stream,
        .verdict = problem.verdict,
        .runResumable = canResume,
        .delivered = m_merger && m_merger->hasDelivered(),
        .temperatureZero = m_request.temperature == 0,
        .sameVersion = m_merger && m_merger->canRestart(),
        .attemptsMade = m_attemptsMade,
        .remaining = remaining(),
        .retryAfter = problem.retryAfter,
        .budgetAllows = m_services.retryBudget.available() > 0,
    };
    const auto decision = m_services.retryPolicy.decide(failure);
    m_services.node.log().write(events::attemptFailed,
        { { "request", m_request.caller.requestId },
            { "target", m_services.targets.table().info(m_target).id },
            { "verdict", std::string(base::nameOf(problem.verdict)) }, { "message", problem.message },
            { "next", std::string(outcome::nameOf(decision.action)) } });
    applyRetryDecision(decision, problem);
}

void completion_session::applyRetryDecision(
    const outcome::retry_decision& decision, const base::error& problem)
{
    switch (decision.action) {
    case outcome::retry_action::Abandon:
        return endWith(m_merger && m_merger->hasDelivered() ? problem : m_tally.finalError());
    case outcome::retry_action::Resume: {
        m_services.node.metrics().retry(operate::retry_kind::Retry);
        const auto delay = resumeDelay * m_resumeCount;
        m_services.node.loop().runAfter(delay, [self = shared_from_this(), number = m_attemptNumber] {
            if (!self->m_isDone && number == self->m_attemptNumber)
                self->sendResume(*self->m_merger->resumeRequest());
        });
        return;
    }
    case outcome::retry_action::Retry:
    case outcome::retry_action::Restart:
        break;
    }
    // A stream resumed from another entry has no prompt context, which a new run needs.
    if (!m_attempt || !m_services.retryBudget.tryRetry())
        return endWith(problem);
    m_services.node.metrics().retry(operate::retry_kind::Retry);
    m_resumeCount = 0;
    routeNext();
}

void completion_session::waitForTarget(const base::error& problem)
{
    m_triedTargets.clear();
    const auto wait
        = std::clamp<std::chrono::milliseconds>(problem.retryAfter, std::chrono::milliseconds(20), maxWait);
    const auto jitter
        = std::chrono::milliseconds(m_services.node.random().below(static_cast<std::uint64_t>(wait.count())));
    if (++m_waitRounds > maxWaitRounds || wait + jitter >= remaining())
        return endWith(m_attempt ? m_tally.finalError() : problem);
    // Weights may have been swapped in the meantime, so version and context are looked up again.
    m_services.node.loop().runAfter(wait + jitter, [self = shared_from_this()] { self->findContext(); });
}

void completion_session::complete()
{
    m_services.explain.addAttempt(m_request.caller.requestId,
        { .target = m_services.targets.table().info(m_target).id,
            .start = m_attemptStart - m_request.caller.arrival,
            .elapsed = m_services.node.clock().now() - m_attemptStart,
            .verdict = base::verdict::Ran });
    closeAttempt(false);
    if (!m_promptContext.chain.empty())
        m_services.contexts.recordServed(m_promptContext.chain, m_target);
    m_services.explain.finish(m_request.caller.requestId, base::verdict::Ran, "");
    m_services.node.metrics().outcome(base::verdict::Ran, std::nullopt);
    m_isDone = true;
    releaseAdmission();
    m_services.node.drain().leave(m_drainWork);
    m_services.node.loop().cancel(m_stallTimer);
}

void completion_session::releaseAdmission()
{
    if (std::exchange(m_isAdmitted, false))
        m_services.gate.leave();
    if (std::exchange(m_isCounted, false))
        m_services.limiter.leave(m_request.caller.team);
}

void completion_session::endWith(const base::error& problem)
{
    const bool wasDone = m_isDone;
    m_isDone = true;
    releaseAdmission();
    if (wasDone)
        return;
    closeAttempt(false);
    m_services.node.loop().cancel(m_stallTimer);
    m_services.node.peers().cancel(m_call);
    m_services.explain.finish(m_request.caller.requestId, problem.verdict, base::nameOf(problem.reason));
    m_services.node.metrics().outcome(problem.verdict, problem.reason);
    m_services.node.log().write(events::requestFailed,
        { { "request", m_request.caller.requestId }, { "team", m_request.caller.team },
            { "verdict", std::string(base::nameOf(problem.verdict)) },
            { "reason", std::string(base::nameOf(problem.reason)) }, { "message", problem.message } });
    if (m_writer->isOpen())
        m_writer->fail(problem);
    m_services.node.drain().leave(m_drainWork);
}

void completion_session::callerDisconnected()
{
    if (m_isDone)
        return;
    // A stream can be resumed through another entry, so the agent keeps its run for the grace period. A
    // response that is not streamed cannot be resumed, so its run is cancelled.
    if (!m_request.isStream && m_target != routing::noTarget) {
        const nlohmann::json body { { "run", m_runId }, { "team", m_request.caller.team } };
        m_services.node.peers().send({ .to = m_services.targets.addressOf(m_target),
                                         .method = "POST",
                                         .target = "/agent/cancel",
                                         .body = body.dump() },
            [](const auto&) {});
    }
    endWith({ .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::DeadlineExceeded,
        .message = "the caller has disconnected" });
}

} // namespace marigold::entry
