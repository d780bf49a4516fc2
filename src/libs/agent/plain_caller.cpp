#include "plain_caller.h"

namespace marigold::agent {

void plain_caller::call(
    const protocol::call_request& call, const std::string& body, bool isIdempotent, callback done)
{
    if (!isIdempotent)
        return callWithClaim(call, body, done);
    m_service.send(call, body, [done = std::move(done)](base::result<outcome::stored_answer> answer) {
        if (!answer)
            return done(tl::unexpected(answer.error()));
        done(plain_answer { .answer = std::move(*answer) });
    });
}

void plain_caller::callWithClaim(
    const protocol::call_request& call, const std::string& body, const callback& done)
{
    if (call.idempotencyKey.empty())
        return done(base::notRun(base::error_reason::InvalidRequest,
            "a call that is not idempotent requires an Idempotency-Key with a UUIDv7", "Idempotency-Key"));
    const auto key = outcome::parseIdempotencyKey(call.idempotencyKey);
    if (!key)
        return done(tl::unexpected(key.error()));
    const outcome::claim_call claim { .team = call.team,
        .key = *key,
        .request = outcome::claim_ledger::requestDigest(call.method, call.path, body),
        .remaining = call.remaining };
    m_ledger.claim(claim, [this, call, body, done](const base::result<outcome::claim_outcome>& claimed) {
        if (!claimed)
            return done(tl::unexpected(claimed.error()));
        if (!claimed->ticket)
            return done(plain_answer { .answer = *claimed->answer, .isReplayed = true });
        sendClaimed(call, body, *claimed->ticket, done);
    });
}

void plain_caller::sendClaimed(const protocol::call_request& call, const std::string& body,
    const outcome::claim_ticket& ticket, const callback& done)
{
    m_service.send(call, body, [this, ticket, done](base::result<outcome::stored_answer> answer) {
        if (answer) {
            m_ledger.finished(ticket, *answer);
            return done(plain_answer { .answer = std::move(*answer) });
        }
        if (answer.error().verdict == base::verdict::NotRun)
            m_ledger.notSent(ticket);
        else
            m_ledger.resultUnknown(ticket);
        done(tl::unexpected(answer.error()));
    });
}

} // namespace marigold::agent
