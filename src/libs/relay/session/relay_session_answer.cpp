#include "answer_begin.h"
#include "answer_end.h"
#include "relay_session.h"
#include <relay/events.h>
#include <relay/message/http_status.h>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Answers up to this size are buffered completely before they are forwarded.
constexpr std::size_t maxCollectedBytes = 64 << 10;

/// With less time left, an attempt cannot be answered in time.
constexpr base::duration minAttemptTime = std::chrono::milliseconds(20);

/// Limit of the sends of one request, including those that a target refused without running the request.
constexpr int maxSends = 4;

/// Time for the body of an answer that is discarded. Its head has told the outcome, and another attempt
/// waits; the body may have no end.
constexpr base::duration discardTimeout = std::chrono::milliseconds(100);
constexpr std::size_t maxDiscardedBytes = 256 << 10;

/// Limit of one event of a stream that can be resumed: its bytes are kept until the event is complete.
constexpr std::size_t maxEventBytes = 1 << 20;

/// Limit of a head that is searched for in a body, which bounds the cost of bodies that begin many.
constexpr std::size_t maxEmbeddedHeadBytes = 8 << 10;

/// Returns whether \a body contains the head of another answer to a request. A target that answers twice
/// writes it there if only the end of the connection ends the body.
bool containsAnswer(std::string_view body, const wire_dialect& dialect)
{
    constexpr std::string_view statusLineStart = "HTTP/1.";
    bool found = false;
    for (std::size_t at = body.find(statusLineStart); at != std::string_view::npos && !found;
         at = body.find(statusLineStart, at + 1)) {
        message_parser parser(message_parser::kind::Answer,
            { .head = [&](message_head&& head) { found = !dialect.readAnswer(head).attemptId.empty(); },
                .body = [](std::string_view) {} },
            maxEmbeddedHeadBytes);
        parser.feed(body.substr(at));
    }
    return found;
}

} // namespace

bool relay_session::answerBegins(const message_head& head)
{
    const target_answer answer = m_services.dialect.readAnswer(head);
    m_services.targets.noticeReceived(m_target->registration, answer.notice);
    if (answer.attemptId != m_request.attemptId)
        return false;
    m_services.targets.bytesReceived(*m_target);
    if (answer.load)
        m_services.targets.loadReported(*m_target, *answer.load);
    m_answerHead = head;
    m_answerBegun = true;
    if (answer.weightVersion)
        m_services.targets.observeVersion(*m_target, m_request.model, *answer.weightVersion);
    if (answer.notRun || head.status == http_status::misdirectedRequest) {
        m_answer = answer_state::Refused;
        scheduleDiscardEnd(discardTimeout);
        if (head.status == http_status::serviceUnavailable)
            m_services.targets.refused(*m_target);
        // The usual cause is that the target has loaded newer weights since its last answer.
        if (head.status == http_status::misdirectedRequest && !answer.weightVersion)
            m_services.targets.observeVersion(*m_target, m_request.model,
                m_services.targets.newestVersion(m_service->name, m_request.model));
        return true;
    }
    const answer_use use = judgeBegin({ .status = head.status,
        .authentic = answer.authentic,
        .encoded = answer.encoded,
        .mayBeEventStream = mayBeEventStream(head),
        .isStreamRoute = m_route->kind == request_kind::Stream,
        .isFalseRefusal = answer.impliesNotRun && (!mayRepeat() || m_possibleRuns > 1 || m_hedge),
        .mayRetry = isHedged() || mayRetry(base::verdict::Ran),
        .callerStatus = m_callerStatus });
    m_isEventStream = use == answer_use::Forward && mayBeEventStream(head);
    switch (use) {
    case answer_use::Discard:
        m_answer = answer_state::Failed;
        scheduleDiscardEnd(discardTimeout);
        break;
    case answer_use::Collect:
        m_answer = answer_state::Collecting;
        break;
    case answer_use::Forward:
        beginForwarding();
        break;
    }
    return true;
}

void relay_session::beginForwarding()
{
    m_answer = answer_state::Forwarding;
    if (!m_callerStatus) {
        m_callerStatus = m_answerHead.status;
        m_caller->beginAnswer(m_answerHead.status, m_services.dialect.answerFields(m_answerHead));
    }
}

void relay_session::answerChunk(std::string_view chunk)
{
    m_services.targets.bytesReceived(*m_target);
    m_boundary.feed(chunk);
    const auto secondAnswer = m_isEventStream ? m_boundary.statusLine() : std::nullopt;
    if (secondAnswer)
        chunk = chunk.substr(0, *secondAnswer);
    if (m_firstTokenReceived)
        m_longestPause = std::max(m_longestPause, now() - m_lastChunkAt);
    m_lastChunkAt = now();
    if (!m_firstTokenReceived) {
        m_firstTokenReceived = true;
        m_firstChunkAfter = now() - m_sentAt;
        m_services.loop.cancel(std::exchange(m_hedgeTimer, 0));
        if (isFirstAttempt())
            m_services.hedging.firstByteReceived(m_service->name, m_route->kind, now() - m_sentAt);
        if (std::exchange(m_transfersInFlight, false))
            m_services.context.planFinished(
                m_context, now() - m_sentAt - m_expectedFirstToken, fetchEndedInTime());
        m_services.targets.prefillFinished(*m_target, std::exchange(m_work.prefillTokens, 0),
            m_hadPrefillAhead ? base::duration::zero() : now() - m_sentAt);
        m_services.waitQueue.scheduleDispatch();
        if (!m_firstByteAfter)
            m_firstByteAfter = elapsed();
    }
    switch (m_answer) {
    case answer_state::None:
        return;
    case answer_state::Refused:
    case answer_state::Failed:
        if (m_discardedBytes <= maxDiscardedBytes && m_discardedBytes + chunk.size() > maxDiscardedBytes)
            scheduleDiscardEnd(base::duration::zero());
        m_discardedBytes += chunk.size();
        return;
    case answer_state::Collecting:
        m_collected += chunk;
        if (!accountFor(m_collected.size()) || m_collected.size() > maxCollectedBytes) {
            cancelHedge();
            beginForwarding();
            m_caller->writeChunk(std::exchange(m_collected, {}));
            accountFor(0);
        }
        return;
    case answer_state::Forwarding:
        if (!m_isEventStream || m_boundary.hasEvent())
            cancelHedge();
        reportStage();
        if (m_route->mayResume() && m_isEventStream) {
            const std::string events = m_events.feed(chunk);
            if (m_events.beganAnew())
                return breakOffStream("resumed stream began anew");
            m_caller->writeChunk(events);
            if (!accountFor(m_events.partialBytes()) || m_events.partialBytes() > maxEventBytes)
                return breakOffStream("event without end");
        } else
            m_caller->writeChunk(chunk);
        if (secondAnswer)
            return breakOffStream("second answer inside the stream");
        if (m_caller && m_connection && m_caller->pendingBytes() > m_caller->pendingLimit())
            m_connection->setPaused(true);
        return;
    }
}

void relay_session::scheduleDiscardEnd(base::duration delay)
{
    m_services.loop.cancel(m_discardTimer);
    m_discardTimer = m_services.loop.runAfter(delay, [this] {
        m_discardTimer = 0;
        m_connection->cancel();
        answerEnds();
    });
}

void relay_session::breakOffStream(std::string_view message)
{
    m_events.dropPartial();
    accountFor(0);
    m_answer = answer_state::Failed;
    // The connection is parsing the bytes of this chunk and cannot be closed before it returns.
    m_services.loop.cancel(m_discardTimer);
    m_discardTimer = m_services.loop.runAfter(base::duration::zero(), [this, message = std::string(message)] {
        m_discardTimer = 0;
        m_connection->cancel();
        answerFails({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::Unavailable,
            .message = message });
    });
}

void relay_session::callerWritable()
{
    if (m_connection && m_caller->mayResume())
        m_connection->setPaused(false);
}

void relay_session::releaseTarget()
{
    if (!m_target)
        return;
    m_services.loop.cancel(std::exchange(m_discardTimer, 0));
    m_services.loop.cancel(std::exchange(m_hedgeTimer, 0));
    m_discardedBytes = 0;
    if (std::exchange(m_transfersInFlight, false))
        m_services.context.planFinished(m_context, std::nullopt);
    m_services.targets.requestFinished(*m_target, m_work, now() - m_sentAt);
    m_services.waitQueue.scheduleDispatch();
    if (m_target->leaving)
        m_services.pool.closeIdle(m_target->registration.address);
    m_target = nullptr;
    m_connection = nullptr;
}

void relay_session::checkUnresponsive()
{
    if (!m_connection || m_callerStatus || !m_services.targets.isUnresponsive(*m_target)
        || !mayRetry(base::verdict::MayHaveRun))
        return;
    m_connection->cancel();
    m_services.targets.observe(*m_target, true);
    attemptFailed({ .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::Unavailable,
        .message = "target is unresponsive" });
}

void relay_session::answerEnds()
{
    const std::shared_ptr<target_record> target = m_target;
    if (m_answer == answer_state::Refused) {
        --m_possibleRuns;
        return attemptFailed({ .verdict = base::verdict::NotRun,
            .reason = base::error_reason::Overloaded,
            .message = fmt::format("refused with {}", m_answerHead.status) });
    }
    if (m_answer == answer_state::Failed) {
        m_services.targets.observe(*target, true);
        return attemptFailed({ .verdict = base::verdict::Ran,
            .reason = base::error_reason::Unavailable,
            .message = fmt::format("failed with {}", m_answerHead.status) });
    }
    if (m_answer == answer_state::Collecting && m_answerHead.framing == body_framing::UntilClose
        && containsAnswer(m_collected, m_services.dialect))
        return answerFails({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::Unavailable,
            .message = "second answer inside the body" });
    const answer_end end = judgeEnd({ .status = m_answerHead.status,
        .framing = m_answerHead.framing,
        .isCutJson = m_answer == answer_state::Collecting && m_answerHead.framing == body_framing::UntilClose
            && net::isCutJson(m_answerHead.headers, m_collected),
        .stream = m_isEventStream ? &m_boundary : nullptr });
    if (end == answer_end::BrokenOff)
        return answerFails({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::StreamBroken,
            .message = "answer broken off by the target" });
    if (end == answer_end::Complete)
        return completeAnswer();
    m_connection = nullptr; // Closed; it may be destroyed before the check ends.
    m_isCheckingEnd = true;
    m_services.targetEnds.checkEnded(
        target->registration, [this, alive = std::weak_ptr(m_alive)](target_presence found) {
            if (!alive.expired() && !m_ended)
                endChecked(found);
        });
}

void relay_session::endChecked(target_presence found)
{
    m_isCheckingEnd = false;
    const bool isLeaving = m_target->removed || m_target->leaving;
    if (isComplete(found, isLeaving))
        return completeAnswer();
    // The planned end of a target is no evidence against the parts of the prompt.
    answerFails({ .verdict = base::verdict::MayHaveRun,
        .reason = isLeaving ? base::error_reason::Unavailable : base::error_reason::StreamBroken,
        .message = "target ended when it closed the answer" });
}

void relay_session::completeAnswer()
{
    cancelHedge();
    const bool isError = m_answerHead.status >= http_status::serverError;
    m_services.targets.observe(*m_target, isError);
    reportAttempt(
        isError ? rollout_control::attempt_outcome::Failed : rollout_control::attempt_outcome::Answered);
    if (m_isEventStream && m_firstByteAfter)
        m_services.targets.observeRun(*m_target, m_request.maxOutputTokens, elapsed() - *m_firstByteAfter);
    releaseTarget();
    m_verdict = base::verdict::Ran;
    reportAnswered();
    if (m_answer == answer_state::Collecting) {
        m_caller->answer(m_answerHead.status, m_services.dialect.answerFields(m_answerHead), m_collected);
    } else {
        m_caller->writeChunk(m_events.takePartial());
        m_caller->endAnswer();
    }
    finish(relay_outcome::Answered, m_answerHead.status, {});
}

std::string_view relay_session::answerProgress() const
{
    if (!m_answerBegun)
        return "none";
    return m_boundary.hasEvent() ? "event" : "begun";
}

std::string_view relay_session::answerFraming() const
{
    return m_answerBegun ? nameOf(m_answerHead.framing) : "-";
}

void relay_session::reportLost()
{
    // The planned end of a target cuts the streams that run there.
    const bool isPlanned = m_target->leaving || (m_target->removed && answerStage(answerEvents()) > 0);
    if (!m_sharedParts.empty() && !isPlanned && m_answer != answer_state::Refused)
        m_services.targetEnds.requestLost(m_target->registration,
            { .id = m_request.attemptId,
                .sharedParts = m_sharedParts,
                .answerBegun = m_answerBegun,
                .events = answerEvents() });
}

bool relay_session::isSuccess() const
{
    return m_answerHead.status >= http_status::ok && m_answerHead.status < http_status::multipleChoices;
}

void relay_session::reportStage()
{
    const int stage = answerStage(answerEvents());
    if (stage <= m_stage)
        return;
    m_stage = stage;
    if (!m_sharedParts.empty() && isSuccess())
        m_services.quarantine.stageReached(m_sharedParts, stage);
}

void relay_session::reportAnswered()
{
    if (isSuccess() && !m_sharedParts.empty()
        && (m_route->kind != request_kind::Stream || m_boundary.hasEvent()))
        m_services.quarantine.answered(m_sharedParts);
}

void relay_session::answerFails(const base::error& failure)
{
    if (failure.reason == base::error_reason::StreamBroken)
        reportLost();
    m_services.targets.observe(*m_target, true);
    if (failure.verdict == base::verdict::NotRun)
        --m_possibleRuns;
    attemptFailed(failure);
}

void relay_session::attemptFailed(const base::error& failure)
{
    const std::string target = m_target->registration.id;
    if (failure.verdict != base::verdict::NotRun)
        reportAttempt(failure.verdict == base::verdict::Ran ? rollout_control::attempt_outcome::Failed
                                                            : rollout_control::attempt_outcome::Lost);
    releaseTarget();
    m_collected.clear();
    m_events.dropPartial();
    m_verdict = base::combine(m_verdict, failure.verdict);
    const bool isReplaced = hedgeCanReplace();
    bool retry = !isReplaced && mayRetry(failure.verdict);
    if (retry && !m_services.retryBudgets.budgetFor(m_service->name).tryRetry()) {
        m_services.metrics.retryDenied();
        retry = false;
    }
    m_services.log.write(events::attemptFailed,
        { { "request", m_request.attemptId }, { "target", target },
            { "verdict", std::string(base::nameOf(failure.verdict)) }, { "reason", failure.message },
            { "answer", std::string(answerProgress()) }, { "events", std::to_string(answerEvents()) },
            { "framing", std::string(answerFraming()) }, { "retry", retry ? "yes" : "no" },
            { "age_ms", std::to_string(elapsed().count() / 1000) } });
    if (isReplaced)
        return takeOverHedge("took_over");
    // A trial is one send: its part is blocked for a repeat, or this would end another target.
    m_isTrial = m_isTrial && failure.verdict == base::verdict::NotRun;
    if (retry)
        return dispatch();
    cancelHedge();
    if (m_verdict == base::verdict::NotRun)
        return sendOwnAnswer(http_status::serviceUnavailable, retryAfter(busyRetryAfter), failure.message);
    sendOwnAnswer(http_status::badGateway, {}, failure.message);
}

bool relay_session::mayRetry(base::verdict verdict) const
{
    if (m_sends >= maxSends || now() + minAttemptTime >= m_deadline)
        return false;
    if (verdict == base::verdict::NotRun)
        return true;
    if (!mayRepeat() || m_possibleRuns >= m_route->maxAttempts)
        return false;
    return !m_callerStatus || (m_route->mayResume() && !m_events.lastId().empty());
}

} // namespace marigold::relay
