#pragma once

#include "caller_request.h"
#include "completion_writer.h"
#include "entry_services.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::entry {

/// Handles one completion request: fair queueing, context lookup, routing, attempts and the response. Each
/// request has exactly one outcome.
class completion_session : public std::enable_shared_from_this<completion_session> {
public:
    completion_session(entry_services& services, completion_request request, node::exchange_ptr exchange);

    /// Starts the request, or resumes an interrupted stream.
    void start();

private:
    /// Number of times that the stream of one run is resumed before the attempt counts as failed.
    static constexpr int maxResumes = 4;

    base::result<void> validate();
    void findContext();
    void contextFound(base::result<prompt_context> found);
    void routeNext();
    void sendRun(const routing::candidate& chosen);
    void startResume();
    void sendResume(const outcome::resume_request& resumePoint);
    void openStream(net::http_call call);
    void dataReceived(std::uint64_t attemptNumber, std::string_view bytes);
    void processEvent(const net::event_stream_decoder::event& event);
    void callEnded(std::uint64_t attemptNumber, const base::result<net::http_response>& answer);
    void applyStep(const outcome::merge_step& step);
    void attemptFailed(base::error problem, bool isRunHeld);
    void applyRetryDecision(const outcome::retry_decision& decision, const base::error& problem);
    void waitForTarget(const base::error& problem);
    void complete();
    /// Ends the request with \a problem. If it has ended already, only its admission is released.
    void endWith(const base::error& problem);
    void releaseAdmission();
    void closeAttempt(bool failed);
    void startStallTimer();
    void callerDisconnected();
    std::string eventId(std::uint64_t sequence) const;
    protocol::run_request runRequest(const routing::candidate& chosen) const;
    base::duration remaining() const { return m_request.caller.deadline - m_services.node.clock().now(); }
    base::duration elapsed() const { return m_services.node.clock().now() - m_request.caller.arrival; }

    entry_services& m_services;
    completion_request m_request;
    node::exchange_ptr m_exchange;
    std::unique_ptr<completion_writer> m_writer;
    outcome::drain::work_id m_drainWork = 0;
    bool m_isCounted = false; ///< Counted against the limits of its team.
    bool m_isAdmitted = false; ///< Admitted by the gate.
    bool m_isDone = false;

    std::string m_version;
    std::string m_blockSecret;
    routing::serving_goal m_goal = routing::serving_goal::LeastRecomputation;
    prompt_context m_promptContext;

    std::optional<outcome::attempt> m_attempt;
    std::optional<outcome::stream_merger> m_merger;
    outcome::attempt_tally m_tally;
    std::string m_runId; ///< Identifier of the run at the agent.
    outcome::resume_request m_resumePoint; ///< Attempt and epoch of that run.
    routing::target_index m_target = routing::noTarget;
    std::vector<routing::target_index> m_triedTargets;
    routing::choice_ticket m_ticket;
    double m_expectedSeconds = 0; ///< Time to first token that the routing decision expects.
    base::time_point m_attemptStart {};
    net::call_id m_call = 0;
    std::uint64_t m_attemptNumber = 0; ///< Number of the current call; replies to earlier calls are ignored.
    int m_attemptsMade = 0; ///< Excludes refused runs and connections.
    bool m_isTransportError = false; ///< The last attempt failed without a reply from the agent.
    int m_waitRounds = 0; ///< Rounds in which no candidate accepted the request.
    int m_resumeCount = 0;
    net::event_stream_decoder m_decoder;
    std::optional<base::error> m_streamError;
    base::time_point m_lastReceived {};
    base::time_point m_lastDelivery {};
    base::timer_id m_stallTimer = 0;
};

} // namespace marigold::entry
