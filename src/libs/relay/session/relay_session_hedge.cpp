#include "answer_begin.h"
#include "answer_end.h"
#include "relay_session.h"
#include <relay/events.h>
#include <relay/log_fields.h>
#include <relay/message/http_status.h>

#include <algorithm>

namespace marigold::relay {

namespace {

/// The targets of a service, as far as a hedge depends on them.
struct service_survey {
    double utilisation = 0; ///< Share of the slots in use.
    std::vector<routing::target_index> cold;
    /// State of those that the request has not been sent to: usable if one of them is.
    hedge_target others = hedge_target::None;
};

hedge_target stateOf(const target_record& target, const target_registry& targets, base::time_point now)
{
    if (target.leaving)
        return hedge_target::Leaving;
    if (targets.isPaused(target) || now < target.pausedUntil)
        return hedge_target::Paused;
    return now < target.coldUntil ? hedge_target::Cold : hedge_target::Usable;
}

service_survey survey(const target_registry& targets, std::string_view service,
    const std::vector<routing::target_index>& tried, base::time_point now)
{
    service_survey found;
    double slots = 0;
    double requests = 0;
    for (const auto& [id, target] : targets.targets()) {
        if (target->registration.service != service || !target->assigned)
            continue;
        const hedge_target state = stateOf(*target, targets, now);
        if (state == hedge_target::Cold)
            found.cold.push_back(target->index);
        if (state == hedge_target::Usable || state == hedge_target::Cold) {
            slots += std::max(target->registration.slots, 1);
            requests += std::max(target->own.requests + target->peers.requests, 0);
        }
        const bool isTried = std::ranges::find(tried, target->index) != tried.end();
        if (!isTried && found.others != hedge_target::Usable)
            found.others = state;
    }
    found.utilisation = slots > 0 ? requests / slots : 1;
    return found;
}

} // namespace

void relay_session::scheduleHedge()
{
    const hedge_policy& hedging = m_services.hedging;
    if (!hedging.isEnabled() || m_hedge || !mayRepeat() || m_possibleRuns >= m_route->maxAttempts
        || !m_events.lastId().empty())
        return;
    const auto delay = hedging.delay(m_service->name, m_route->kind);
    if (!delay)
        return hedgeDenied(hedge_denial::TooFewSamples);
    m_hedgeTimer = m_services.loop.runAfter(std::max(*delay, m_expectedFirstToken), [this] {
        m_hedgeTimer = 0;
        hedgeDue();
    });
}

void relay_session::hedgeDue()
{
    if (m_ended || !m_target || m_isCheckingEnd)
        return;
    const std::string first = m_lastTarget;
    const base::duration delay = now() - m_sentAt;
    if (const auto denial = trySendHedge())
        return hedgeDenied(*denial);
    m_services.hedging.hedgeSent(m_service->name);
    m_services.metrics.hedgeCounted("sent");
    m_services.log.write(events::hedgeSent,
        { { "request", m_request.attemptId }, { "target", m_hedge->state.m_lastTarget },
            { "first_target", first }, { "due_ms", milliseconds(delay) },
            { "age_ms", milliseconds(elapsed()) } });
}

std::optional<hedge_denial> relay_session::trySendHedge()
{
    const service_survey found = survey(m_services.targets, m_service->name, m_tried, now());
    routing::retry_budget& budget = m_services.retryBudgets.budgetFor(m_service->name);
    hedge_facts facts { .kind = m_route->kind,
        .mayRepeat = mayRepeat(),
        .resumable = m_route->mayResume(),
        .answerBegan = m_firstTokenReceived || !m_events.lastId().empty(),
        .partBlocked = m_isTrial || m_services.quarantine.find(m_sharedParts) != nullptr,
        .possibleRuns = m_possibleRuns,
        .maxAttempts = m_route->maxAttempts,
        .timeLeft = m_deadline - now(),
        .usualTime = m_services.hedging.usualTime(m_service->name, m_route->kind),
        .othersWait = m_services.waitQueue.hasWaiting(m_service->name),
        .utilisation = found.utilisation,
        .target = found.others,
        .withinLimit = m_services.hedging.isWithinLimit(m_service->name),
        .withinBudget = budget.available() > 0 };
    if (const auto denial = judgeHedge(facts))
        return denial;
    m_hedge = std::make_unique<hedged_attempt>(m_services.loop, *this);
    swapAttempts();
    const std::vector<routing::target_index> tried = m_tried;
    m_tried.insert(m_tried.end(), found.cold.begin(), found.cold.end());
    const placement place = choose();
    m_tried = tried;
    // A target that is registered twice must not get the request twice.
    const bool isUsable = place.outcome == placement_outcome::Chosen
        && std::ranges::find(m_triedAddresses, place.target->registration.address) == m_triedAddresses.end();
    const bool sent = isUsable && budget.tryHedge(mayRepeat()) && send(*place.target, m_hedge.get());
    swapAttempts();
    if (sent)
        return std::nullopt;
    m_hedge.reset();
    return hedge_denial::NoTarget;
}

void relay_session::hedgeDenied(hedge_denial denial)
{
    m_services.metrics.hedgeDenied(nameOf(denial));
    m_services.log.write(events::hedgeDenied,
        { { "request", m_request.attemptId }, { "reason", std::string(nameOf(denial)) },
            { "age_ms", milliseconds(elapsed()) } });
}

hedge_answer relay_session::hedgeAnswerBegins(const message_head& head)
{
    const target_record& target = *m_hedge->state.m_target;
    const target_answer answer = m_services.dialect.readAnswer(head);
    m_services.targets.noticeReceived(target.registration, answer.notice);
    if (answer.attemptId != m_request.attemptId)
        return hedge_answer::Foreign;
    m_hedge->state.m_answerBegun = true;
    m_hedge->state.m_answerHead = head;
    m_services.targets.bytesReceived(*m_hedge->state.m_target);
    if (answer.weightVersion)
        m_services.targets.observeVersion(*m_hedge->state.m_target, m_request.model, *answer.weightVersion);
    if (answer.notRun || head.status == http_status::misdirectedRequest) {
        if (head.status == http_status::serviceUnavailable)
            m_services.targets.refused(*m_hedge->state.m_target);
        return hedge_answer::Refused;
    }
    const answer_use use = judgeBegin({ .status = head.status,
        .authentic = answer.authentic,
        .encoded = answer.encoded,
        .mayBeEventStream = mayBeEventStream(head),
        .isStreamRoute = m_route->kind == request_kind::Stream,
        .isFalseRefusal = answer.impliesNotRun, // The first attempt may have run.
        .mayRetry = true,
        .callerStatus = m_callerStatus });
    if (use == answer_use::Discard)
        return hedge_answer::Failed;
    const bool isEventStream = use == answer_use::Forward && mayBeEventStream(head);
    m_hedge->state.m_isEventStream = isEventStream;
    return isEventStream ? hedge_answer::Events : hedge_answer::Whole;
}

void relay_session::hedgeUsable()
{
    if (m_isCheckingEnd)
        return; // The first answer is ready but for the result of one probe.
    if (!m_firstTokenReceived && isFirstAttempt())
        m_services.hedging.firstByteReceived(m_service->name, m_route->kind, now() - m_sentAt);
    if (m_connection)
        m_connection->cancel();
    m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);
    releaseTarget();
    takeOverHedge("won");
}

void relay_session::hedgeFailed(const base::error& failure)
{
    const std::string target = m_hedge->state.m_lastTarget;
    swapAttempts();
    if (failure.reason == base::error_reason::StreamBroken)
        reportLost();
    if (failure.verdict == base::verdict::NotRun)
        --m_possibleRuns;
    if (failure.reason != base::error_reason::Overloaded)
        m_services.targets.observe(*m_target, true);
    m_verdict = base::combine(m_verdict, failure.verdict);
    releaseTarget();
    swapAttempts();
    m_services.metrics.hedgeCounted("failed");
    logHedgeEnd("failed", target, failure.message);
}

void relay_session::cancelHedge()
{
    m_services.loop.cancel(std::exchange(m_hedgeTimer, 0));
    if (!isHedged())
        return;
    const std::string target = m_hedge->state.m_lastTarget;
    swapAttempts();
    if (m_connection)
        m_connection->cancel();
    m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);
    releaseTarget();
    swapAttempts();
    m_hedge->cancel();
    m_services.metrics.hedgeCounted("cancelled");
    logHedgeEnd("cancelled", target, {});
}

bool relay_session::hedgeCanReplace() const
{
    return isHedged() && (now() < m_deadline || m_hedge->hasEnded());
}

void relay_session::takeOverHedge(std::string_view outcome)
{
    swapAttempts();
    m_collected.clear();
    m_events.dropPartial();
    m_services.metrics.hedgeCounted(outcome);
    logHedgeEnd(outcome, m_lastTarget, {});
    m_hedge->takeOver();
}

bool relay_session::isFirstAttempt() const
{
    return m_hedge ? m_sends == 2 && !m_hedge->isTakenOver() : m_sends == 1;
}

void relay_session::logHedgeEnd(
    std::string_view outcome, std::string_view target, std::string_view reason) const
{
    m_services.log.write(events::hedgeEnded,
        { { "request", m_request.attemptId }, { "target", std::string(target) },
            { "outcome", std::string(outcome) }, { "reason", std::string(reason) },
            { "age_ms", milliseconds(elapsed()) } });
}

} // namespace marigold::relay
