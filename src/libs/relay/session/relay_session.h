#pragma once

#include "hedged_attempt.h"
#include "relay_services.h"
#include <relay/callers/caller_connection.h>
#include <relay/message/event_scanner.h>

#include <outcome/outcome.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::relay {

/// Handles one request from its arrival to its last byte: resolves its route and team, chooses targets, and
/// forwards the answer. A request that may have run is never sent again unless its route allows it, and a
/// refusal with the verdict "not run" is sent only if no target may have run the request.
class relay_session final : public caller_request_handler,
                            public hedge_owner,
                            public waiting_request,
                            private attempt_state {
public:
    using finished_handler = std::function<void(relay_session&)>;

    relay_session(relay_services& services, caller_connection& caller, message_head&& head,
        content_buffer&& body, finished_handler finished);
    ~relay_session() override;
    relay_session(const relay_session&) = delete;
    relay_session& operator=(const relay_session&) = delete;

    void start();

    /// Sends the request to another target if the current one is unresponsive and the request may be
    /// repeated. To be called periodically.
    void checkUnresponsive();

    /// Ends the request if a part of its prompt has been blocked and its answer has not begun.
    void cancelBlocked();

    /// Ends the request since the process ends: with a refusal, or as unanswered if it may have run.
    void endForStop();

    void callerDisconnected() override;
    void callerWritable() override;
    bool answerBegins(const message_head& head) override;
    void answerChunk(std::string_view chunk) override;
    void answerEnds() override;
    void answerFails(const base::error& failure) override;
    hedge_answer hedgeAnswerBegins(const message_head& head) override;
    void hedgeUsable() override;
    void hedgeFailed(const base::error& failure) override;
    dispatch_result tryDispatch() override;
    void waitTimedOut() override;
    base::time_point waitDeadline() const override { return m_waitDeadline; }
    std::string_view service() const override { return m_service->name; }
    int urgency() const override;
    int size() const override { return m_request.promptTokens; }
    base::time_point arrivedAt() const override { return m_arrivedAt; }
    base::time_point dispatchDeadline() const override;
    admission_terms terms() const override;
    void refuse(const early_refusal& refusal) override;

private:
    base::duration unconfiguredRetryAfter() const;
    bool resolveRoute();
    void setScope(int weightVersion);
    void dispatch();
    placement choose();
    /// Records the outcome of the present attempt for the roll-out of its service.
    void reportAttempt(rollout_control::attempt_outcome outcome);
    void rejectUnplaced();
    /// Refuses a request that this process can't see through before it ends. Returns true if it has.
    bool refuseForStop();
    /// Ends a request whose service wants none before the end of its wait. Returns true if it has.
    bool refuseUnwanted();
    /// Returns \a usual, or the time until a target wants requests again if that is longer.
    base::duration retryAfter(base::duration usual) const;
    /// Returns the time after which the caller of a request that is refused now should retry.
    base::duration returnAfter(base::duration usual) const;
    void recogniseReturn();
    void reportAdmission(std::string_view decision) const;
    void logDispatch(const target_record& target, std::uint64_t weightVersion) const;
    target_pool::reuse reusableConnections(const target_record& target) const;
    /// Sends the request to \a target. The answer goes to \a hedge, or to this session if it is null.
    bool send(target_record& target, answer_handler* hedge = nullptr);
    void scheduleHedge();
    void hedgeDue();
    std::optional<hedge_denial> trySendHedge();
    void hedgeDenied(hedge_denial denial);
    bool isHedged() const { return m_hedge && m_hedge->isHeldBack(); }
    /// Returns true if the current attempt is the first send of the request.
    bool isFirstAttempt() const;
    /// Exchanges the states of the current attempt and of the hedge.
    void swapAttempts() { std::swap(static_cast<attempt_state&>(*this), m_hedge->state); }
    void cancelHedge();
    /// Returns true if the hedge can replace the current attempt, which has failed.
    bool hedgeCanReplace() const;
    void takeOverHedge(std::string_view outcome);
    void logHedgeEnd(std::string_view outcome, std::string_view target, std::string_view reason) const;
    target_load work() const;
    base::time_point fetchDeadline() const;
    bool fetchEndedInTime() const;
    std::string requestHead(const target_record& target) const;
    /// Accounts for what this request holds beside its head and body, with \a bytes of content. Returns false
    /// if they are many and the process may not hold more.
    bool accountFor(std::size_t bytes);
    void releaseTarget();
    void attemptFailed(const base::error& failure);
    void scheduleDiscardEnd(base::duration delay);
    void breakOffStream(std::string_view message);
    bool mayRetry(base::verdict verdict) const;
    std::vector<std::string> scopedParts() const;
    bool refuseBlocked();
    bool claimTrial(const blocked_part& block);
    void reportAnswered();
    void reportStage();
    bool isSuccess() const;
    /// Returns the number of whole events of the last answer; 0 if it is no stream of events.
    int answerEvents() const { return m_isEventStream ? m_boundary.events() : 0; }
    void endChecked(target_presence found);
    void completeAnswer();
    void abandonAttempt();
    std::string_view answerProgress() const;
    std::string_view answerFraming() const;
    void reportLost();
    void beginForwarding();
    void sendOwnAnswer(int status, base::duration retryAfter, std::string_view reason);
    void deadlineReached();
    void finish(relay_outcome outcome, int status, std::string_view reason);

    base::time_point now() const { return m_services.clock.now(); }
    base::duration elapsed() const { return now() - m_arrivedAt; }
    bool mayRepeat() const { return m_route->mayRepeat(); }

    /// Retry time when all targets are busy: a target has capacity again within it, and callers must
    /// not retry all at once.
    static constexpr base::duration busyRetryAfter = std::chrono::milliseconds(400);

    relay_services& m_services;
    std::shared_ptr<const relay_config> m_config;
    caller_connection* m_caller;
    message_head m_head;
    content_buffer m_body;
    finished_handler m_onFinished;

    relay_request m_request;
    const route* m_route = nullptr;
    const service_info* m_service = nullptr;
    const team* m_team = nullptr;
    std::vector<std::string> m_sharedParts; ///< Scoped names of the parts that other prompts may share.
    base::time_point m_arrivedAt;
    base::time_point m_deadline {};
    base::time_point m_waitDeadline {}; ///< End of the wait for a target with capacity.
    std::uint32_t m_fingerprint = 0; ///< Of the request, for its recognition after a refusal; 0 if unused.
    return_kind m_returned = return_kind::None;
    bool m_isTrial = false; ///< Sent although a part of its prompt is blocked.
    bool m_isClaimingTrial = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For calls that may return too late.
    bool m_isQueued = false; ///< True while the request is in the wait queue.
    placement_outcome m_lastChoice = placement_outcome::Busy;
    base::timer_id m_deadlineTimer = 0;
    std::vector<routing::target_index> m_tried;
    std::vector<net::endpoint> m_triedAddresses; ///< A target may be listed again under another index.

    int m_sends = 0;
    int m_possibleRuns = 0; ///< Sends that the target may have run.
    base::verdict m_verdict = base::verdict::NotRun; ///< Combined verdict of all attempts.

    event_scanner m_events;
    bool m_isCheckingEnd = false; ///< The last answer has ended; whether it is complete is not known yet.
    std::optional<int> m_callerStatus; ///< Of the head that the caller has.
    bool m_ended = false;
    std::optional<base::duration> m_firstByteAfter;
    base::time_point m_lastChunkAt {};
    base::duration m_longestPause { 0 }; ///< Between two chunks of the answer.

    base::timer_id m_hedgeTimer = 0; ///< Runs until a hedge of the current attempt is due.
    std::unique_ptr<hedged_attempt> m_hedge; ///< Kept until the request ends; there is at most one.
};

} // namespace marigold::relay
