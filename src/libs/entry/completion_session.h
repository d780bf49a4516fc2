#pragma once

#include "caller_request.h"
#include "completion_writer.h"
#include "entry_services.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::entry {

/// One completion request from its arrival to its one outcome: fair turn, context, route, attempts, answer.
class completion_session : public std::enable_shared_from_this<completion_session> {
public:
    completion_session(entry_services& services, completion_request request, node::exchange_ptr exchange);

    /// Starts the request, or the continuation of a broken stream.
    void start();

private:
    /// Continuations of a request's stream before it is given up.
    static constexpr int maxResumes = 4;

    base::result<void> check();
    void prepare();
    void prepared(base::result<prompt_context> found);
    void routeNext();
    void sendRun(const routing::candidate& chosen);
    void startResume();
    void sendResume(const outcome::resume_request& place);
    void openStream(net::http_call call);
    void bytesArrived(std::uint64_t attemptNumber, std::string_view bytes);
    void take(const net::event_stream_decoder::event& event);
    void callEnded(std::uint64_t attemptNumber, const base::result<net::http_response>& answer);
    void advance(const outcome::merge_step& step);
    void attemptFailed(base::error problem, bool isRunHeld);
    void tryAgain(const outcome::retry_decision& decision, const base::error& problem);
    void waitForTarget(const base::error& problem);
    void complete();
    void finish(const base::error& problem);
    void leaveQueues();
    void closeAttempt(bool failed);
    void watchStall();
    void callerGone();
    std::string eventId(std::uint64_t sequence) const;
    protocol::run_request runRequest(const routing::candidate& chosen) const;
    base::duration remaining() const { return m_request.caller.deadline - m_services.node.clock().now(); }
    base::duration elapsed() const { return m_services.node.clock().now() - m_request.caller.arrival; }

    entry_services& m_services;
    completion_request m_request;
    node::exchange_ptr m_exchange;
    std::unique_ptr<completion_writer> m_writer;
    outcome::drain::work_id m_drainWork = 0;
    bool m_isCounted = false; ///< It counts against the limits of its team.
    bool m_isAdmitted = false; ///< It holds a place at the gate.
    bool m_isDone = false;

    std::string m_version;
    std::string m_blockSecret;
    routing::serving_goal m_goal = routing::serving_goal::LeastRecomputation;
    prompt_context m_context;

    std::optional<outcome::attempt> m_attempt;
    std::optional<outcome::stream_merger> m_merger;
    outcome::attempt_tally m_tally;
    std::string m_run; ///< Identifier of the run at the agent.
    outcome::resume_request m_place; ///< Attempt and epoch of that run.
    routing::target_index m_target = routing::noTarget;
    std::vector<routing::target_index> m_tried;
    routing::choice_ticket m_ticket;
    double m_expectedSeconds = 0; ///< First token expected by the decision.
    base::time_point m_attemptStart {};
    net::call_id m_call = 0;
    std::uint64_t m_attemptNumber = 0; ///< Answers to an earlier call are ignored.
    int m_attemptsMade = 0; ///< Without refusals by admission.
    bool m_isTransportError = false; ///< The last attempt failed without an answer of the agent.
    int m_waits = 0; ///< Rounds in which every candidate refused.
    int m_resumes = 0;
    net::event_stream_decoder m_decoder;
    std::optional<base::error> m_streamError;
    base::time_point m_lastPiece {};
    base::time_point m_lastDelivery {};
    base::timer_id m_stallTimer = 0;
};

} // namespace marigold::entry
