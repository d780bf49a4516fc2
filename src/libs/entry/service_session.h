#pragma once

#include "caller_request.h"
#include "entry_services.h"

#include <memory>
#include <string>
#include <vector>

namespace marigold::entry {

/// Handles one call to a plain service, `/services/NAME/REST`. Each call has exactly one outcome.
class service_session : public std::enable_shared_from_this<service_session> {
public:
    service_session(entry_services& services, caller_context caller, node::exchange_ptr exchange);

    void start();

private:
    base::result<void> parseCall();
    void attempt();
    routing::target_index chooseTarget();
    void replyReceived(const base::result<net::http_response>& answer);
    /// \a isFromAgent is true if the agent replied, false if the connection to it failed.
    void attemptFailed(const base::error& problem, bool isFromAgent);
    void fail(const base::error& problem);
    void end(base::verdict verdict, std::string_view reason);
    base::duration remaining() const { return m_caller.deadline - m_services.node.clock().now(); }

    entry_services& m_services;
    caller_context m_caller;
    node::exchange_ptr m_exchange;
    protocol::call_request m_call;
    bool m_isIdempotent = false;
    outcome::drain::work_id m_drainWork = 0;
    outcome::attempt_tally m_tally;
    std::vector<routing::target_index> m_triedTargets;
    routing::target_index m_target = routing::noTarget;
    routing::choice_ticket m_ticket;
    base::time_point m_attemptStart {};
    int m_attemptsMade = 0;
    bool m_isCounted = false; ///< Counted against the limits of its team.
    bool m_isDone = false;
};

} // namespace marigold::entry
