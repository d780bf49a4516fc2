#include "http_plain_service.h"

namespace marigold::agent {

namespace {

constexpr int firstErrorStatus = 400;

/// Time in which an ending service closes its listening socket after its connections.
constexpr auto settleTime = std::chrono::milliseconds(5);

/// A service that can't be reached within this time counts as running.
constexpr auto probeTimeout = std::chrono::milliseconds(300);

} // namespace

void http_plain_service::send(const protocol::call_request& call, const std::string& body,
    std::function<void(base::result<outcome::stored_answer>)> done)
{
    // With a fresh connection, an error shows whether the service can have received the call.
    net::http_call request { .to = m_service,
        .method = call.method,
        .target = call.path,
        .headers = { { "Content-Type", call.contentType } },
        .body = body,
        .timeout = call.remaining,
        .freshConnection = true };
    if (!call.idempotencyKey.empty())
        request.headers.add("Idempotency-Key", call.idempotencyKey);
    m_client.send(
        std::move(request), [this, done = std::move(done)](base::result<net::http_response> answer) {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            outcome::stored_answer reply { .status = answer->status,
                .contentType = std::string(answer->headers.find("Content-Type").value_or("")),
                .body = std::move(answer->body) };
            // The status of a failure tells the outcome; its body only explains it.
            if (!answer->endsWithConnection || reply.status >= firstErrorStatus)
                return done(std::move(reply));
            if (net::isCutJson(answer->headers, reply.body))
                return done(base::mayHaveRun(
                    base::error_reason::StreamBroken, "the reply of the service is cut off"));
            checkEnd(std::move(reply), done);
        });
}

void http_plain_service::checkEnd(
    outcome::stored_answer reply, std::function<void(base::result<outcome::stored_answer>)> done)
{
    const auto probed = [reply = std::move(reply), done = std::move(done)](net::probe_result result) {
        if (result == net::probe_result::Refused)
            return done(base::mayHaveRun(
                base::error_reason::StreamBroken, "the service ended when it closed its reply"));
        done(reply);
    };
    m_loop.runAfter(settleTime, [this, probed] { m_probe.probe(m_service, probeTimeout, probed); });
}

} // namespace marigold::agent
