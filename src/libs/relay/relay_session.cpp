#include "relay_session.h"

#include "context_scope.h"
#include "events.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Answers up to this size are read whole before the caller gets them.
constexpr std::size_t collectLimit = 64 << 10;

/// Share of the route's latency goal for which a request waits for a busy store; reading the context again
/// then costs the engines more than the wait costs the caller.
constexpr double fetchPatience = 0.35;

/// Multiple of the route's latency goal for which a request waits for a place; later it would hardly be
/// served before its caller gives up.
constexpr double placePatience = 1.5;

/// Below this, an attempt cannot be answered in time.
constexpr base::duration shortestAttempt = std::chrono::milliseconds(20);

/// Sends of one request, those included that a target refused without running them.
constexpr int maxSends = 4;

/// A busy target has room again within this time, and the caller's retries must not come all at once.
constexpr base::duration busyRetryAfter = std::chrono::milliseconds(400);

/// Time after which a process that knows no configuration or no target may know one.
constexpr base::duration unavailableRetryAfter = std::chrono::milliseconds(700);

} // namespace

relay_session::relay_session(relay_services& services, caller_connection& caller, message_head&& head,
    std::string&& body, finished_handler finished)
    : m_services(services)
    , m_config(services.config)
    , m_caller(&caller)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_finished(std::move(finished))
    , m_arrivedAt(services.clock.now())
{
    caller.setHandler(this);
}

relay_session::~relay_session()
{
    m_services.loop.cancel(m_limitTimer);
}

void relay_session::start()
{
    auto request = m_services.dialect.readRequest(m_head);
    if (!request)
        return answerOwn(400, {}, request.error().message);
    m_request = std::move(*request);
    if (!m_config)
        return answerOwn(503, unconfiguredRetryAfter(), "no_configuration");
    if (!readRoute())
        return;
    const base::duration limit = std::min(m_route->timeout, m_request.timeLimit.value_or(m_route->timeout));
    m_answerBy = m_arrivedAt + limit;
    const auto patience = placePatience * static_cast<double>(m_route->latencyGoal.count());
    m_placeBy = m_arrivedAt + std::min(base::duration(static_cast<std::int64_t>(patience)), limit / 2);
    m_limitTimer = m_services.loop.runAfter(limit, [this] {
        m_limitTimer = 0;
        limitReached();
    });
    m_services.retryBudgets.of(m_service->name).addRequest();
    dispatch();
}

base::duration relay_session::unconfiguredRetryAfter() const
{
    // An outage that has lasted for a while will probably last as long again.
    constexpr base::duration shortest = std::chrono::milliseconds(300);
    constexpr base::duration longest = std::chrono::seconds(3);
    return std::clamp(now() - m_services.startedAt, shortest, longest);
}

bool relay_session::readRoute()
{
    m_route = m_config->findRoute(m_request.host, m_head.target);
    if (!m_route) {
        answerOwn(404, {}, "no_route");
        return false;
    }
    if (m_config->hasTeams() && !m_route->anonymous) {
        m_team = m_config->findTeam(m_request.key);
        if (!m_team) {
            answerOwn(401, {}, "unknown_key");
            return false;
        }
    }
    double total = 0;
    for (const route_share& share : m_route->shares)
        total += share.weight;
    double drawn = m_services.random.uniform() * total;
    for (const route_share& share : m_route->shares) {
        m_service = m_config->findService(share.service);
        drawn -= share.weight;
        if (drawn < 0)
            break;
    }
    if (!m_service) {
        answerOwn(503, unavailableRetryAfter, "no_service");
        return false;
    }
    return true;
}

void relay_session::setScope(int weightVersion)
{
    m_scope = context_scope { .model = m_request.model,
        .weightVersion = weightVersion,
        .isolatedTeam = m_team && m_team->isolated ? m_team->name : std::string() }
                  .text();
}

int relay_session::urgency() const
{
    return m_team && m_team->priority ? *m_team->priority : m_route->priority;
}

placement relay_session::choose()
{
    setScope(m_services.targets.newestVersion(m_service->name, m_request.model));
    m_context = m_services.context.plan(m_scope, m_request.parts);
    const auto patience = fetchPatience * static_cast<double>(m_route->latencyGoal.count());
    if (m_context.mustWait && elapsed() < base::duration(static_cast<std::int64_t>(patience)))
        return { .outcome = placement_outcome::Busy };
    const std::size_t shared = m_request.parts.empty() ? 0 : m_request.parts.size() - 1;
    return m_services.chooser.choose({ .service = m_service->name,
        .model = m_service->engine ? std::string_view(m_request.model) : std::string_view(),
        .promptTokens = m_request.promptTokens,
        .work = work(),
        .sharedTokens = m_request.sharedTokens(),
        .sharedPart = shared > 0 ? std::string_view(m_request.parts[shared - 1].id) : std::string_view(),
        .keptTokens = m_context.keptTokens,
        .transferTime = m_context.transferTime,
        .tried = m_tried });
}

target_load relay_session::work() const
{
    return { .requests = 1,
        .prefillTokens = m_request.promptTokens - m_context.keptTokens,
        .tokens = m_request.promptTokens + m_request.maxOutputTokens };
}

void relay_session::dispatch()
{
    if (!m_services.waiting.mustWaitBehind(*this)) {
        const placement found = choose();
        if (found.outcome == placement_outcome::Chosen && send(*found.target))
            return;
        m_lastChoice = found.outcome;
        if (found.outcome == placement_outcome::NoTarget && !m_tried.empty())
            return noPlace();
    }
    m_waits = true;
    m_services.waiting.add(*this);
}

bool relay_session::tryPlace()
{
    const placement found = choose();
    m_lastChoice = found.outcome;
    if (found.outcome != placement_outcome::Chosen || !send(*found.target))
        return false;
    m_waits = false;
    return true;
}

void relay_session::giveUp()
{
    m_waits = false;
    noPlace();
}

void relay_session::noPlace()
{
    if (m_verdict != base::verdict::NotRun)
        return answerOwn(502, {}, "no_further_target");
    const bool busy = m_lastChoice != placement_outcome::NoTarget;
    answerOwn(503, busy ? busyRetryAfter : unavailableRetryAfter, busy ? "targets_busy" : "no_target");
}

std::string relay_session::requestText(const target_record& target) const
{
    const auto& versions = target.registration.weightVersions;
    const auto version = versions.find(m_request.model);
    forward_fields fields { .attemptId = m_request.attemptId,
        .timeLeft = m_answerBy - now(),
        .targetId = target.registration.id,
        .team = m_team ? std::string_view(m_team->name) : std::string_view() };
    if (m_service->engine && version != versions.end()) {
        fields.weightVersion = version->second;
        fields.priority = urgency();
        fields.cacheScope = m_scope;
        fields.context = &m_context.plan;
    }
    if (!m_events.lastId().empty())
        fields.resumeAfter = m_events.lastId();
    net::http_headers headers = m_services.dialect.forwardedFields(m_head, fields);
    if (!m_body.empty() || m_head.framing != body_framing::None)
        headers.add("Content-Length", std::to_string(m_body.size()));
    return requestHeadText(m_head.method, m_head.target, headers) + m_body;
}

bool relay_session::send(target_record& target)
{
    m_connection = m_services.pool.take(target.registration.address, mayRepeat(),
        std::max<std::size_t>(1, m_service->maxConnections / (m_services.targets.processes() + 1)));
    if (!m_connection)
        return false;
    const auto versions = target.registration.weightVersions;
    const auto version = versions.find(m_request.model);
    if (version != versions.end()) {
        setScope(version->second);
        m_context = m_services.context.plan(m_scope, m_request.parts);
        m_services.context.began(m_scope, m_request.parts, m_context);
        m_transfersOpen = true;
    }
    m_target = m_services.targets.targets().at(target.registration.id);
    m_tried.push_back(target.index);
    m_work = work();
    m_firstTokenSeen = false;
    m_expectedFirst = m_services.targets.expectedPrefill(target, m_work) + m_context.transferTime;
    m_hadPrefillAhead = target.own.prefillTokens + target.peers.prefillTokens > 0;
    m_services.targets.began(target, m_work);
    m_sentAt = now();
    m_lastTarget = target.registration.id;
    m_answer = answer_state::None;
    ++m_sends;
    ++m_possibleRuns;
    m_connection->send(requestText(target), *this);
    return true;
}

bool relay_session::answerBegins(const message_head& head)
{
    const target_answer answer = m_services.dialect.readAnswer(head);
    if (answer.attemptId != m_request.attemptId)
        return false;
    m_services.targets.heard(*m_target);
    m_answerHead = head;
    if (answer.weightVersion)
        m_services.targets.versionSeen(*m_target, m_request.model, *answer.weightVersion);
    constexpr int misdirected = 421;
    if (answer.notRun || head.status == misdirected) {
        m_answer = answer_state::Refused;
        // Most often the target has changed its weights since it was last heard of.
        if (head.status == misdirected && !answer.weightVersion)
            m_services.targets.versionSeen(*m_target, m_request.model,
                m_services.targets.newestVersion(m_service->name, m_request.model));
        return true;
    }
    constexpr int firstFailure = 400;
    constexpr int firstSuccess = 200;
    constexpr int afterSuccess = 300;
    const bool success = head.status >= firstSuccess && head.status < afterSuccess;
    if (answer.encoded || (success && !answer.authentic)) {
        m_answer = answer_state::Failed;
        return true;
    }
    constexpr int serverFailure = 500;
    if (head.status >= serverFailure && mayTryAgain(base::verdict::Ran)) {
        m_answer = answer_state::Failed;
        return true;
    }
    const bool stream = m_route->kind == request_kind::Stream && head.status < firstFailure;
    m_answer = answer_state::Collecting;
    if (stream)
        beginForwarding();
    return true;
}

void relay_session::beginForwarding()
{
    m_answer = answer_state::Forwarding;
    if (!m_callerHasHead) {
        m_callerHasHead = true;
        m_caller->beginAnswer(m_answerHead.status, m_services.dialect.answerFields(m_answerHead));
    }
}

void relay_session::answerPiece(std::string_view piece)
{
    m_services.targets.heard(*m_target);
    if (!m_firstTokenSeen) {
        m_firstTokenSeen = true;
        if (std::exchange(m_transfersOpen, false))
            m_services.context.ended(m_context, now() - m_sentAt - m_expectedFirst);
        m_services.targets.prefillEnded(*m_target, std::exchange(m_work.prefillTokens, 0),
            m_hadPrefillAhead ? base::duration::zero() : now() - m_sentAt);
        m_services.waiting.pumpSoon();
        if (!m_firstByteAfter)
            m_firstByteAfter = elapsed();
    }
    switch (m_answer) {
    case answer_state::None:
    case answer_state::Refused:
    case answer_state::Failed:
        return;
    case answer_state::Collecting:
        m_collected += piece;
        if (m_collected.size() > collectLimit) {
            beginForwarding();
            m_caller->writePiece(std::exchange(m_collected, {}));
        }
        return;
    case answer_state::Forwarding:
        if (m_route->resumable)
            m_caller->writePiece(m_events.feed(piece));
        else
            m_caller->writePiece(piece);
        if (m_caller && m_connection && m_caller->pendingBytes() > caller_connection::pauseAbove)
            m_connection->setPaused(true);
        return;
    }
}

void relay_session::callerDrained()
{
    if (m_connection)
        m_connection->setPaused(false);
}

void relay_session::attemptEnded()
{
    if (!m_target)
        return;
    if (std::exchange(m_transfersOpen, false))
        m_services.context.ended(m_context, std::nullopt);
    m_services.targets.ended(*m_target, m_work, now() - m_sentAt);
    m_services.waiting.pumpSoon();
    m_target = nullptr;
    m_connection = nullptr;
}

void relay_session::checkSilence()
{
    if (!m_connection || m_callerHasHead || !m_services.targets.isSilent(*m_target)
        || !mayTryAgain(base::verdict::MayHaveRun))
        return;
    m_connection->cancel();
    m_services.targets.observe(*m_target, true);
    attemptFailed({ .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::Unavailable,
        .message = "target is silent" });
}

void relay_session::answerEnds()
{
    const std::shared_ptr<target_record> target = m_target;
    const answer_state answer = m_answer;
    constexpr int serverFailure = 500;
    if (answer == answer_state::Refused) {
        --m_possibleRuns;
        return attemptFailed({ .verdict = base::verdict::NotRun,
            .reason = base::error_reason::Overloaded,
            .message = fmt::format("refused with {}", m_answerHead.status) });
    }
    if (answer == answer_state::Failed) {
        m_services.targets.observe(*target, true);
        return attemptFailed({ .verdict = base::verdict::Ran,
            .reason = base::error_reason::Unavailable,
            .message = fmt::format("failed with {}", m_answerHead.status) });
    }
    m_services.targets.observe(*target, m_answerHead.status >= serverFailure);
    attemptEnded();
    m_verdict = base::verdict::Ran;
    if (answer == answer_state::Collecting) {
        m_caller->answer(m_answerHead.status, m_services.dialect.answerFields(m_answerHead), m_collected);
    } else {
        m_caller->writePiece(m_events.takePartial());
        m_caller->endAnswer();
    }
    finish(relay_outcome::Answered, m_answerHead.status, {});
}

void relay_session::answerFails(const base::error& failure)
{
    m_services.targets.observe(*m_target, true);
    if (failure.verdict == base::verdict::NotRun)
        --m_possibleRuns;
    attemptFailed(failure);
}

void relay_session::attemptFailed(const base::error& failure)
{
    const std::string target = m_target->registration.id;
    attemptEnded();
    m_collected.clear();
    m_events.dropPartial();
    m_verdict = base::combine(m_verdict, failure.verdict);
    const bool again = mayTryAgain(failure.verdict) && m_services.retryBudgets.of(m_service->name).tryRetry();
    m_services.log.write(events::attemptFailed,
        { { "request", m_request.attemptId }, { "target", target },
            { "verdict", std::string(base::nameOf(failure.verdict)) }, { "reason", failure.message },
            { "retry", again ? "yes" : "no" }, { "age_ms", std::to_string(elapsed().count() / 1000) } });
    if (again)
        return dispatch();
    if (m_verdict == base::verdict::NotRun)
        return answerOwn(503, busyRetryAfter, failure.message);
    answerOwn(502, {}, failure.message);
}

bool relay_session::mayTryAgain(base::verdict verdict) const
{
    if (m_sends >= maxSends || now() + shortestAttempt >= m_answerBy)
        return false;
    if (verdict == base::verdict::NotRun)
        return true;
    if (!mayRepeat() || m_possibleRuns >= m_route->maxAttempts)
        return false;
    return !m_callerHasHead || (m_route->resumable && !m_events.lastId().empty());
}

void relay_session::limitReached()
{
    if (m_connection) {
        m_connection->cancel();
        m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);
        attemptEnded();
    }
    if (m_verdict == base::verdict::NotRun)
        return answerOwn(503, {}, "time_limit");
    answerOwn(504, {}, "time_limit");
}

void relay_session::callerGone()
{
    m_caller = nullptr;
    if (m_connection) {
        m_connection->cancel();
        m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);
        attemptEnded();
    }
    finish(relay_outcome::CallerGone, 0, "");
}

void relay_session::answerOwn(int status, base::duration retryAfter, std::string_view reason)
{
    if (m_callerHasHead) {
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
    m_services.loop.cancel(std::exchange(m_limitTimer, 0));
    if (std::exchange(m_waits, false))
        m_services.waiting.remove(*this);
    m_services.metrics.requestEnded({ .kind = m_route ? m_route->kind : request_kind::NonIdempotent,
        .outcome = outcome,
        .verdict = m_verdict,
        .status = status,
        .sends = m_sends,
        .firstByteAfter = m_firstByteAfter,
        .promptTokens = m_request.promptTokens,
        .sharedTokens = m_request.sharedTokens(),
        .fetchedTokens = m_context.keptTokens });
    const auto milliseconds = [](base::duration value) { return std::to_string(value.count() / 1000); };
    m_services.log.write(events::requestEnded,
        { { "request", m_request.attemptId }, { "route", m_route ? m_route->name : std::string() },
            { "outcome", std::string(nameOf(outcome)) }, { "status", std::to_string(status) },
            { "verdict", std::string(base::nameOf(m_verdict)) }, { "attempts", std::to_string(m_sends) },
            { "target", m_lastTarget }, { "age_ms", milliseconds(elapsed()) },
            { "placed_ms", m_sends > 0 ? milliseconds(m_sentAt - m_arrivedAt) : "-" },
            { "expected_ms", m_sends > 0 ? milliseconds(m_expectedFirst) : "-" },
            { "first_ms", m_firstByteAfter ? milliseconds(*m_firstByteAfter) : "-" },
            { "prompt_tokens", std::to_string(m_request.promptTokens) },
            { "shared_tokens", std::to_string(m_request.sharedTokens()) },
            { "kept_tokens", std::to_string(m_context.keptTokens) }, { "scope", m_scope },
            { "part", m_request.parts.size() > 1 ? m_request.parts[m_request.parts.size() - 2].id : "" },
            { "config", m_config ? std::to_string(m_config->version()) : "-" },
            { "reason", std::string(reason) } });
    m_finished(*this);
}

} // namespace marigold::relay
