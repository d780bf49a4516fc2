#pragma once

#include <outcome/outcome.h>
#include <protocol/protocol.h>

#include <functional>
#include <memory>
#include <string>

namespace marigold::agent {

/// Reply of a plain service.
struct plain_answer {
    outcome::stored_answer answer;
    bool isReplayed = false; ///< The reply is that of an earlier call with the same key.
};

/// Interface for sending one call to the plain service. An error has the verdict `NotRun` only if the service
/// has not received the call.
class plain_service {
public:
    virtual ~plain_service() = default;
    virtual void send(const protocol::call_request& call, const std::string& body,
        std::function<void(base::result<outcome::stored_answer>)> done)
        = 0;
};

/// Calls the plain service beside this agent. A call that is not idempotent is sent only with a claim
/// (invariant I8).
class plain_caller {
public:
    plain_caller(plain_service& service, outcome::claim_ledger& ledger)
        : m_service(service)
        , m_ledger(ledger)
    {
    }

    using callback = std::function<void(base::result<plain_answer>)>;

    /// Executes \a call once. \a isIdempotent must come from the configuration, never from the caller.
    void call(const protocol::call_request& call, const std::string& body, bool isIdempotent, callback done);

private:
    void callWithClaim(const protocol::call_request& call, const std::string& body, const callback& done);
    void sendClaimed(const protocol::call_request& call, const std::string& body,
        const outcome::claim_ticket& ticket, const callback& done);

    plain_service& m_service;
    outcome::claim_ledger& m_ledger;
};

} // namespace marigold::agent
