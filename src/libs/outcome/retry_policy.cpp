#include "retry_policy.h"

#include <algorithm>
#include <array>

namespace marigold::outcome {

namespace {

using base::verdict;

constexpr std::array<std::string_view, 3> kindNames { "non_idempotent", "idempotent", "stream" };
constexpr std::array<std::string_view, 4> actionNames { "give_up", "retry", "resume", "restart" };

enum class match {
    Any,
    No,
    Yes,
};

bool matches(match wanted, bool value)
{
    return wanted == match::Any || (wanted == match::Yes) == value;
}

struct decision_row {
    call_kind kind;
    base::verdict verdict;
    match resumable;
    match delivered;
    match deterministic;
    retry_action action;
    std::string_view reason;
};

// The first matching row decides; without a match, the request is abandoned.
constexpr std::array<decision_row, 9> decisions { {
    { call_kind::NonIdempotent, verdict::NotRun, match::Any, match::Any, match::Any, retry_action::Retry,
        "not_run" },
    { call_kind::Idempotent, verdict::NotRun, match::Any, match::Any, match::Any, retry_action::Retry,
        "not_run" },
    { call_kind::Idempotent, verdict::MayHaveRun, match::Any, match::Any, match::Any, retry_action::Retry,
        "idempotent" },
    { call_kind::Stream, verdict::NotRun, match::Yes, match::Any, match::Any, retry_action::Resume,
        "run_is_held" },
    { call_kind::Stream, verdict::NotRun, match::No, match::No, match::Any, retry_action::Retry, "not_run" },
    { call_kind::Stream, verdict::NotRun, match::No, match::Yes, match::Yes, retry_action::Restart,
        "same_answer" },
    { call_kind::Stream, verdict::MayHaveRun, match::Yes, match::Any, match::Any, retry_action::Resume,
        "run_is_held" },
    { call_kind::Stream, verdict::MayHaveRun, match::No, match::No, match::Any, retry_action::Restart,
        "nothing_delivered" },
    { call_kind::Stream, verdict::MayHaveRun, match::No, match::Yes, match::Yes, retry_action::Restart,
        "same_answer" },
} };

const decision_row* findRow(const failed_attempt& failure)
{
    const bool deterministic = failure.temperatureZero && failure.sameVersion;
    const auto* found = std::find_if(decisions.begin(), decisions.end(), [&](const decision_row& row) {
        return row.kind == failure.kind && row.verdict == failure.verdict
            && matches(row.resumable, failure.runResumable) && matches(row.delivered, failure.delivered)
            && matches(row.deterministic, deterministic);
    });
    return found == decisions.end() ? nullptr : found;
}

retry_decision giveUp(std::string_view reason)
{
    return { .action = retry_action::Abandon, .timeout = {}, .reason = reason };
}

} // namespace

std::string_view nameOf(call_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string_view nameOf(retry_action action)
{
    return actionNames[static_cast<std::size_t>(action)];
}

retry_decision retry_policy::decide(const failed_attempt& failure) const
{
    const decision_row* row = findRow(failure);
    if (!row)
        return giveUp("verdict_forbids");
    if (failure.attemptsMade >= m_options.maxAttempts)
        return giveUp("attempts_used");
    if (row->action != retry_action::Resume && !failure.budgetAllows)
        return giveUp("budget_used");
    const base::duration remaining = failure.remaining - failure.retryAfter;
    if (remaining < m_options.minTimeout)
        return giveUp("deadline");
    return { .action = row->action,
        .timeout = attemptTimeout(failure.kind, failure.attemptsMade + 1, remaining),
        .reason = row->reason };
}

base::duration retry_policy::attemptTimeout(call_kind kind, int attempt, base::duration remaining) const
{
    if (remaining <= base::duration::zero())
        return base::duration::zero();
    if (kind != call_kind::Idempotent || attempt >= m_options.maxAttempts)
        return remaining;
    return std::min(remaining, std::max(remaining / 2, m_options.minTimeout));
}

void attempt_tally::failed(const base::error& failure)
{
    m_open = std::max(m_open - 1, 0);
    if (!m_hasFailed || failure.verdict >= m_error.verdict)
        m_error = failure;
    m_hasFailed = true;
}

base::verdict attempt_tally::verdict() const
{
    return m_open > 0 ? base::combine(m_error.verdict, verdict::MayHaveRun) : m_error.verdict;
}

base::error attempt_tally::finalError() const
{
    base::error final = m_error;
    if (final.verdict != verdict()) {
        final.verdict = verdict();
        final.reason = base::error_reason::DeadlineExceeded;
        final.message = "the deadline passed while an attempt was in flight";
        final.retryAfter = {};
    }
    return final;
}

} // namespace marigold::outcome
