#include "hedged_attempt.h"

#include <utility>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Size up to which an answer is held back; the session buffers answers up to the same size.
constexpr std::size_t maxHeldBytes = 64 << 10;

} // namespace

hedged_attempt::hedged_attempt(net::event_loop& loop, hedge_owner& owner)
    : m_loop(loop)
    , m_owner(owner)
{
}

hedged_attempt::~hedged_attempt()
{
    m_loop.cancel(m_failTimer);
}

void hedged_attempt::cancel()
{
    m_loop.cancel(std::exchange(m_failTimer, 0));
    m_stage = stage::Ended;
    m_held.clear();
}

void hedged_attempt::takeOver()
{
    m_loop.cancel(std::exchange(m_failTimer, 0));
    m_stage = stage::TakenOver;
    if (!m_answer)
        return;
    m_owner.answerBegins(m_head);
    if (const std::string held = std::exchange(m_held, {}); !held.empty())
        m_owner.answerChunk(held);
    // The caller may have disconnected meanwhile, which ends the attempt.
    if (m_answerEnded && isTakenOver())
        m_owner.answerEnds();
}

bool hedged_attempt::answerBegins(const message_head& head)
{
    if (m_stage == stage::TakenOver)
        return m_owner.answerBegins(head);
    const hedge_answer use = m_owner.hedgeAnswerBegins(head);
    if (use == hedge_answer::Foreign)
        return false;
    m_answer = use;
    m_head = head;
    if (use == hedge_answer::Refused)
        failLater({ .verdict = base::verdict::NotRun,
            .reason = base::error_reason::Overloaded,
            .message = fmt::format("refused with {}", head.status) });
    if (use == hedge_answer::Failed)
        failLater({ .verdict = base::verdict::Ran,
            .reason = base::error_reason::Unavailable,
            .message = fmt::format("failed with {}", head.status) });
    return true;
}

void hedged_attempt::answerChunk(std::string_view chunk)
{
    if (m_stage == stage::TakenOver)
        return m_owner.answerChunk(chunk);
    if (m_stage == stage::Ended || m_failure)
        return;
    m_held += chunk;
    m_boundary.feed(chunk);
    if (m_held.size() > maxHeldBytes || (m_answer == hedge_answer::Events && m_boundary.hasEvent()))
        m_owner.hedgeUsable();
}

void hedged_attempt::answerEnds()
{
    if (m_stage == stage::TakenOver)
        return m_owner.answerEnds();
    state.releaseConnection(); // Idle or closed; it may serve another request.
    if (m_failure)
        return fail(*m_failure);
    m_answerEnded = true;
    if (m_answer == hedge_answer::Events && !m_boundary.hasEvent())
        return; // An empty stream is no reason to give up the first attempt.
    // Whether the end of the connection is that of the answer is known only after a check, and the first
    // attempt is not given up for an answer that may be incomplete.
    if (m_head.framing != body_framing::UntilClose)
        m_owner.hedgeUsable();
}

void hedged_attempt::answerFails(const base::error& failure)
{
    if (m_stage == stage::TakenOver)
        return m_owner.answerFails(failure);
    state.releaseConnection();
    fail(m_failure.value_or(failure));
}

void hedged_attempt::failLater(const base::error& failure)
{
    // The connection is parsing the head and cannot be closed before it returns.
    m_failure = failure;
    m_failTimer = m_loop.runAfter(base::duration::zero(), [this] {
        m_failTimer = 0;
        state.cancelConnection();
        fail(*m_failure);
    });
}

void hedged_attempt::fail(const base::error& failure)
{
    m_loop.cancel(std::exchange(m_failTimer, 0));
    if (std::exchange(m_stage, stage::Ended) == stage::HeldBack)
        m_owner.hedgeFailed(failure);
}

} // namespace marigold::relay
