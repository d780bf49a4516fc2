#include "completion_session.h"

#include <fmt/format.h>

namespace marigold::entry {

namespace {

/// A stream without data for this long is resumed after the last received chunk, since its agent may be
/// paused.
constexpr auto stallTimeout = std::chrono::seconds(3);

std::optional<outcome::answer_chunk> toChunk(const protocol::run_chunk& message)
{
    const auto attempt = base::digest128FromHex(message.attempt);
    if (!attempt)
        return std::nullopt;
    outcome::answer_chunk chunk { .attempt = *attempt,
        .epoch = message.epoch,
        .sequence = message.sequence,
        .text = message.text,
        .tokens = message.tokens };
    if (message.isFinal) {
        const auto reason = message.finishReason == "length" ? outcome::finish_reason::Length
            : message.finishReason == "content_filter"       ? outcome::finish_reason::ContentFilter
                                                             : outcome::finish_reason::Stop;
        chunk.end = outcome::answer_end { .reason = reason,
            .usage = { .promptTokens = message.promptTokens,
                .cachedTokens = message.cachedTokens,
                .completionTokens = message.completionTokens } };
    }
    return chunk;
}

} // namespace

void completion_session::openStream(net::http_call call)
{
    m_services.node.peers().cancel(m_call);
    const std::uint64_t number = ++m_attemptNumber;
    m_decoder = {};
    m_streamError.reset();
    m_attemptStart = m_services.node.clock().now();
    m_lastReceived = m_attemptStart;
    const auto self = shared_from_this();
    call.onHeaders = [self, number](int, const net::http_headers& headers) {
        if (number == self->m_attemptNumber)
            self->m_services.targets.recordLoad(
                self->m_target, headers.find(protocol::loadHeader).value_or(""));
    };
    call.onData = [self, number](std::string_view bytes) { self->dataReceived(number, bytes); };
    m_call = m_services.node.peers().send(std::move(call),
        [self, number](const base::result<net::http_response>& answer) { self->callEnded(number, answer); });
    startStallTimer();
}

void completion_session::startStallTimer()
{
    m_services.node.loop().cancel(m_stallTimer);
    m_stallTimer = m_services.node.loop().runAfter(
        stallTimeout, [self = weak_from_this(), number = m_attemptNumber] {
            const auto session = self.lock();
            if (!session || session->m_isDone || number != session->m_attemptNumber)
                return;
            const base::duration idleTime = session->m_services.node.clock().now() - session->m_lastReceived;
            // Before its first chunk, a run may wait in the queue of the agent; the wait then ends only
            // when the agent is neither alive nor leaving according to membership.
            const auto state = session->m_services.node.membership().stateOf(
                session->m_services.targets.addressOf(session->m_target).text());
            const bool isSuspect
                = state != control::member_state::Alive && state != control::member_state::Leaving;
            if (idleTime < stallTimeout || (!session->m_merger->hasDelivered() && !isSuspect))
                return session->startStallTimer();
            session->m_services.node.peers().cancel(session->m_call);
            ++session->m_attemptNumber;
            session->attemptFailed({ .verdict = base::verdict::MayHaveRun,
                                       .reason = base::error_reason::StreamBroken,
                                       .message = "the stream of the target timed out" },
                true);
        });
}

void completion_session::dataReceived(std::uint64_t attemptNumber, std::string_view bytes)
{
    if (m_isDone || attemptNumber != m_attemptNumber)
        return;
    m_lastReceived = m_services.node.clock().now();
    const auto self = shared_from_this();
    for (const auto& event : m_decoder.feed(bytes)) {
        processEvent(event);
        if (m_isDone || attemptNumber != m_attemptNumber)
            return;
    }
    constexpr std::size_t maxEventBytes = 4 << 20;
    if (m_decoder.isOversized(maxEventBytes))
        m_streamError = base::error { .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::StreamBroken,
            .message = "the agent sent an oversized event" };
}

void completion_session::processEvent(const net::event_stream_decoder::event& event)
{
    if (event.name == "load")
        return m_services.targets.recordLoad(m_target, event.data);
    if (event.name == "error") {
        m_streamError = protocol::decodeError(event.data,
            { .verdict = base::verdict::MayHaveRun,
                .reason = base::error_reason::StreamBroken,
                .message = "the agent sent a malformed error" });
        return;
    }
    const auto message = protocol::run_chunk::decode(event.data);
    auto chunk = message ? toChunk(*message) : std::nullopt;
    if (chunk)
        applyStep(m_merger->take(std::move(*chunk)));
}

void completion_session::applyStep(const outcome::merge_step& step)
{
    for (const auto& chunk : step.deliver) {
        if (m_isDone)
            return;
        const base::time_point now = m_services.node.clock().now();
        if (chunk.sequence == 1)
            m_services.node.metrics().timeToFirstToken(m_request.caller.team, now - m_request.caller.arrival);
        else if (!chunk.end)
            m_services.node.metrics().interTokenTime(now - m_lastDelivery);
        m_lastDelivery = now;
        m_writer->writeChunk(chunk, eventId(chunk.sequence));
        if (chunk.end) {
            m_services.node.metrics().promptTokens(m_request.caller.team, chunk.end->usage.promptTokens,
                chunk.end->usage.promptTokens - chunk.end->usage.cachedTokens);
            return complete();
        }
    }
    if (step.broken)
        return endWith(*step.broken);
    if (step.resume && m_resumeCount < maxResumes)
        sendResume(*step.resume);
}

std::string completion_session::eventId(std::uint64_t sequence) const
{
    const outcome::resume_token token { .run = *base::digest128FromHex(m_runId),
        .attempt = m_resumePoint.attempt,
        .epoch = m_resumePoint.epoch,
        .sequence = sequence,
        .target = m_services.targets.table().info(m_target).id };
    return m_services.resumeTokens.encode(token, m_request.caller.team);
}

void completion_session::callEnded(
    std::uint64_t attemptNumber, const base::result<net::http_response>& answer)
{
    if (m_isDone || attemptNumber != m_attemptNumber)
        return;
    m_call = 0;
    m_isTransportError = !answer;
    if (!answer)
        return attemptFailed(answer.error(), answer.error().verdict == base::verdict::MayHaveRun);
    if (answer->status != 200) {
        const base::error fallback { .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::Unavailable,
            .message = fmt::format("the agent replied with status {}", answer->status) };
        return attemptFailed(protocol::decodeError(answer->body, fallback), false);
    }
    if (m_streamError)
        return attemptFailed(*m_streamError, false);
    attemptFailed({ .verdict = base::verdict::MayHaveRun,
                      .reason = base::error_reason::StreamBroken,
                      .message = "the agent's stream ended before its final event" },
        true);
}

} // namespace marigold::entry
