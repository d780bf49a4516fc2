#pragma once

#include "caller_connection.h"
#include "event_scanner.h"
#include "relay_services.h"

#include <outcome/outcome.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marigold::relay {

/// One request from its arrival to its last byte: finds its route and team, chooses targets, and forwards the
/// answer. What may have run is never sent again unless its route allows it, and a refusal that says "not
/// run" is given only while no target may have run it.
class relay_session final : public caller_request_handler, public answer_handler, public waiting_request {
public:
    using finished_handler = std::function<void(relay_session&)>;

    relay_session(relay_services& services, caller_connection& caller, message_head&& head,
        std::string&& body, finished_handler finished);
    ~relay_session() override;
    relay_session(const relay_session&) = delete;
    relay_session& operator=(const relay_session&) = delete;

    void start();

    /// Sends the request to another target if its present one has fallen silent and the request may be
    /// repeated; to be called now and then.
    void checkSilence();

    void callerGone() override;
    void callerDrained() override;
    bool answerBegins(const message_head& head) override;
    void answerPiece(std::string_view piece) override;
    void answerEnds() override;
    void answerFails(const base::error& failure) override;
    place_attempt tryPlace() override;
    void giveUp() override;
    base::time_point waitsUntil() const override { return m_placeBy; }
    std::string_view service() const override { return m_service->name; }
    int urgency() const override;
    int size() const override { return m_request.promptTokens; }
    base::time_point arrivedAt() const override { return m_arrivedAt; }
    base::time_point latestPlaceAt() const override;

private:
    enum class answer_state {
        None,
        Collecting, ///< A short answer is read whole, so that a broken one can be asked for again.
        Forwarding, ///< The caller has got the head.
        Refused, ///< The target did not run the request; the rest of its answer is dropped.
        Failed, ///< An answer that is not passed on, since another attempt follows.
    };

    base::duration unconfiguredRetryAfter() const;
    bool readRoute();
    void setScope(int weightVersion);
    void dispatch();
    placement choose();
    void noPlace();
    void logPlaced(const target_record& target, std::uint64_t weightVersion) const;
    bool send(target_record& target);
    target_load work() const;
    std::string requestText(const target_record& target) const;
    void attemptEnded();
    void attemptFailed(const base::error& failure);
    bool mayTryAgain(base::verdict verdict) const;
    void beginForwarding();
    void answerOwn(int status, base::duration retryAfter, std::string_view reason);
    void limitReached();
    void finish(relay_outcome outcome, int status, std::string_view reason);

    base::time_point now() const { return m_services.clock.now(); }
    base::duration elapsed() const { return now() - m_arrivedAt; }
    bool mayRepeat() const { return m_route->mayRepeat(); }

    /// A busy target has room again within this time, and the caller's retries must not come all at once.
    static constexpr base::duration busyRetryAfter = std::chrono::milliseconds(400);

    relay_services& m_services;
    std::shared_ptr<const relay_config> m_config;
    caller_connection* m_caller;
    message_head m_head;
    std::string m_body;
    finished_handler m_finished;

    relay_request m_request;
    const route* m_route = nullptr;
    const service_info* m_service = nullptr;
    const team* m_team = nullptr;
    base::time_point m_arrivedAt;
    base::time_point m_answerBy {};
    base::time_point m_placeBy {}; ///< Until when the request waits for a place at a target.
    bool m_waits = false; ///< Is in the waiting room.
    placement_outcome m_lastChoice = placement_outcome::Busy;
    base::timer_id m_limitTimer = 0;
    std::string m_scope;
    context_catalog::planned m_context;
    std::vector<routing::target_index> m_tried;

    target_connection* m_connection = nullptr;
    std::shared_ptr<target_record> m_target;
    target_load m_work; ///< What is left of this request at its target.
    base::time_point m_sentAt {};
    std::string m_lastTarget;
    bool m_firstTokenSeen = false;
    bool m_transfersOpen = false; ///< Transfers of the context plan count as under way.
    base::duration m_expectedFirst { 0 }; ///< From the send to the first token.
    bool m_hadPrefillAhead = false; ///< The target had other prompts to prefill when this one was sent.
    int m_sends = 0;
    int m_possibleRuns = 0; ///< Sends that the target did not prove to be without effect.
    base::verdict m_verdict = base::verdict::NotRun; ///< Over all attempts.

    answer_state m_answer = answer_state::None;
    message_head m_answerHead;
    std::string m_collected;
    event_scanner m_events;
    bool m_callerHasHead = false;
    bool m_ended = false;
    std::optional<base::duration> m_firstByteAfter;
    base::time_point m_lastPieceAt {};
    base::duration m_longestPause { 0 }; ///< Between two pieces of the answer.
};

} // namespace marigold::relay
