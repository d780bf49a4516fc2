#pragma once

#include <base/base.h>

#include <chrono>
#include <string_view>

namespace marigold::outcome {

enum class call_kind {
    NonIdempotent, ///< Plain service call that must not run twice.
    Idempotent, ///< Plain service call that may be repeated, or a completion without streaming.
    Stream, ///< Streamed completion.
};

/// Returns the name of \a kind, in snake case.
std::string_view nameOf(call_kind kind);

enum class retry_action {
    Abandon,
    Retry, ///< Make a new attempt at any candidate.
    Resume, ///< Continue the same run after the last delivered chunk.
    Restart, ///< Run again elsewhere and suppress the delivered part (`stream_merger::restart`).
};

/// Returns the name of \a action, in snake case.
std::string_view nameOf(retry_action action);

/// Facts about a failed attempt that decide on the next one.
struct failed_attempt {
    call_kind kind = call_kind::NonIdempotent;
    base::verdict verdict = base::verdict::MayHaveRun;
    bool runResumable = false; ///< The agent or engine may still have the run.
    bool delivered = false; ///< The caller has received part of the answer.
    bool temperatureZero = false;
    bool sameVersion = false; ///< The candidate serves the weight version of the failed attempt.
    int attemptsMade = 1;
    base::duration remaining {}; ///< Time until the deadline of the request.
    base::duration retryAfter {}; ///< Wait requested by the refusal; 0 for none.
    bool budgetAllows = false; ///< The retry budget permits another attempt.
};

struct retry_decision {
    retry_action action = retry_action::Abandon;
    base::duration timeout {}; ///< Timeout of the next attempt; 0 with `Abandon`.
    std::string_view reason {}; ///< Snake case, for logs and explanations.
};

/// Decides whether a failed attempt is followed by another one.
class retry_policy {
public:
    struct options {
        int maxAttempts = 3;
        /// An attempt with less time cannot succeed and is not started.
        base::duration minTimeout = std::chrono::milliseconds(20);
    };

    retry_policy()
        : retry_policy(options {})
    {
    }

    explicit retry_policy(options opts)
        : m_options(opts)
    {
    }

    /// Decides by verdict and kind, then by attempts, budget and deadline. A resume does not use the budget,
    /// since it adds no run.
    retry_decision decide(const failed_attempt& failure) const;

    /// Returns the timeout of attempt number \a attempt (from 1) of a request with \a remaining time. An
    /// idempotent call reserves half of the time for its next attempt; any other call gets all of it, since
    /// no other run could follow a timeout.
    base::duration attemptTimeout(call_kind kind, int attempt, base::duration remaining) const;

private:
    options m_options;
};

/// Combines the outcomes of the attempts at one request (invariant I7).
class attempt_tally {
public:
    /// Counts an attempt that is about to be sent. Until it ends, it may have run.
    void started() { ++m_open; }

    /// Records that a started attempt ended with \a failure.
    void failed(const base::error& failure);

    /// Returns the verdict over all attempts: `not_run` only if each of them was `not_run`.
    base::verdict verdict() const;

    /// Returns the error for the caller: the latest failure that has the combined verdict.
    base::error finalError() const;

private:
    int m_open = 0;
    bool m_hasFailed = false;
    base::error m_error { .verdict = base::verdict::NotRun,
        .reason = base::error_reason::Unavailable,
        .message = "no attempt was made" };
};

} // namespace marigold::outcome
