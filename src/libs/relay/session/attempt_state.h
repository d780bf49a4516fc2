#pragma once

#include <relay/context/context_catalog.h>
#include <relay/exchange/load_digest.h>
#include <relay/message/event_scanner.h>
#include <relay/message/message_parser.h>
#include <relay/targets/target_connection.h>
#include <relay/targets/target_registry.h>

#include <memory>
#include <optional>
#include <string>

namespace marigold::relay {

enum class answer_state {
    None,
    /// A short answer is buffered, so that the request can be retried if the answer is incomplete.
    Collecting,
    Forwarding, ///< The head has been sent to the caller.
    Refused, ///< The target did not run the request; the rest of its answer is discarded.
    Failed, ///< The answer is not forwarded, since another attempt follows.
};

/// State of one attempt at a target. A session has that of its current attempt as its base; the state of a
/// hedge is kept apart and swapped with it.
class attempt_state {
public:
    /// Forgets the connection, which is idle or closed.
    void releaseConnection() { m_connection = nullptr; }

    /// Closes the connection if there is one.
    void cancelConnection()
    {
        if (m_connection)
            m_connection->cancel();
        m_connection = nullptr;
    }

private:
    friend class relay_session;

    std::string m_scope;
    context_catalog::transfer_plan m_context;
    target_connection* m_connection = nullptr;
    std::shared_ptr<target_record> m_target;
    target_load m_work; ///< Remaining load of this request at its target.
    base::time_point m_sentAt {};
    std::string m_lastTarget;
    bool m_firstTokenReceived = false;
    bool m_transfersInFlight = false; ///< The transfers of the context plan are counted as in flight.
    base::time_point m_fetchDeadline {}; ///< A fetch that has not ended then is given up.
    base::duration m_expectedFirstToken { 0 }; ///< From the send to the first token.
    /// Time to the first token at an engine of average speed with the context and the backlog that are there.
    base::duration m_usualFirstToken { 0 };
    std::optional<base::duration> m_firstChunkAfter; ///< From the send.
    bool m_hadPrefillAhead = false; ///< The target had a prefill backlog when this request was sent.

    answer_state m_answer = answer_state::None;
    std::size_t m_discardedBytes = 0;
    base::timer_id m_discardTimer = 0; ///< Ends an answer whose body is discarded.
    message_head m_answerHead;
    std::string m_collected;
    event_boundary m_boundary; ///< Of the stream of the last answer.
    int m_stage = 0; ///< That the last answer has reached.
    bool m_isEventStream = false; ///< The last answer is a stream of server-sent events.
    bool m_answerBegun = false; ///< The head of the last answer was received.
};

} // namespace marigold::relay
