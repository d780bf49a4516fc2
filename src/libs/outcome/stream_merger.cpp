#include "stream_merger.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace marigold::outcome {

stream_merger::stream_merger(const attempt& first)
    : stream_merger(first, options {})
{
}

stream_merger::stream_merger(const attempt& first, options opts)
    : m_options(opts)
    , m_attempt(first.id())
    , m_epoch(first.epoch())
{
}

stream_merger::stream_merger(const resume_request& position, options opts)
    : m_options(opts)
    , m_attempt(position.attempt)
    , m_epoch(position.epoch)
    , m_lastSequence(position.afterSequence)
    , m_highestSeen(position.afterSequence)
    , m_requestedUpTo(position.afterSequence)
    , m_textKnown(position.afterSequence == 0)
    , m_delivered(position.afterSequence > 0)
{
}

bool stream_merger::isForeign(const answer_chunk& chunk) const
{
    return m_state != merger_state::Streaming || chunk.attempt != m_attempt || chunk.epoch != m_epoch;
}

merge_step stream_merger::take(answer_chunk chunk)
{
    if (isForeign(chunk) || chunk.sequence <= m_lastSequence || m_buffered.contains(chunk.sequence)) {
        ++m_dropped;
        return {};
    }
    merge_step step;
    m_highestSeen = std::max(m_highestSeen, chunk.sequence);
    if (chunk.sequence == m_lastSequence + 1)
        deliver(std::move(chunk), step);
    else
        buffer(std::move(chunk));
    while (m_state == merger_state::Streaming && !m_buffered.empty()
        && m_buffered.begin()->first == m_lastSequence + 1) {
        auto node = m_buffered.extract(m_buffered.begin());
        m_bufferedBytes -= node.mapped().text.size();
        deliver(std::move(node.mapped()), step);
    }
    requestMissing(step);
    return step;
}

void stream_merger::buffer(answer_chunk chunk)
{
    m_bufferedBytes += chunk.text.size();
    const std::uint64_t sequence = chunk.sequence;
    m_buffered.emplace(sequence, std::move(chunk));
    // Drops the chunks farthest from the gap, since those next to it are delivered first. A later resume
    // request fetches the dropped chunks again.
    while (m_buffered.size() > m_options.maxBufferedChunks || m_bufferedBytes > m_options.maxBufferedBytes)
        dropLastBuffered();
}

void stream_merger::dropLastBuffered()
{
    const auto last = std::prev(m_buffered.end());
    m_bufferedBytes -= last->second.text.size();
    m_buffered.erase(last);
    ++m_dropped;
}

void stream_merger::deliver(answer_chunk chunk, merge_step& step)
{
    m_lastSequence = chunk.sequence;
    m_attemptTokens += chunk.tokens;
    if (!suppressRepeated(chunk, step))
        return;
    const bool isFinal = chunk.end.has_value();
    recordDelivered(chunk);
    step.deliver.push_back(std::move(chunk));
    m_delivered = true;
    if (!isFinal)
        return;
    m_state = merger_state::Complete;
    m_buffered.clear();
    m_bufferedBytes = 0;
}

bool stream_merger::suppressRepeated(answer_chunk& chunk, merge_step& step)
{
    if (!m_textKnown || m_matchedBytes == m_text.size())
        return true;
    const std::string_view unmatched = std::string_view(m_text).substr(m_matchedBytes);
    const std::size_t shared = std::min(unmatched.size(), chunk.text.size());
    const bool differs = unmatched.substr(0, shared) != std::string_view(chunk.text).substr(0, shared);
    m_matchedBytes += shared;
    if (differs || (chunk.end && m_matchedBytes < m_text.size())) {
        step.broken = breakRestart("the answer of the restarted run differs from the delivered part").broken;
        return false;
    }
    if (shared == chunk.text.size() && !chunk.end)
        return false;
    chunk.text.erase(0, shared);
    const std::uint64_t newTokens
        = m_attemptTokens > m_deliveredTokens ? m_attemptTokens - m_deliveredTokens : 0;
    chunk.tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(chunk.tokens, newTokens));
    return true;
}

void stream_merger::recordDelivered(const answer_chunk& chunk)
{
    m_deliveredTokens += chunk.tokens;
    if (!m_textKnown)
        return;
    if (m_text.size() + chunk.text.size() > m_options.maxTextBytes) {
        m_textKnown = false;
        m_text = {};
        return;
    }
    m_text += chunk.text;
    m_matchedBytes = m_text.size();
}

void stream_merger::requestMissing(merge_step& step)
{
    // One request covers all chunks seen before it was sent, so that a gap is requested once and not again
    // for each chunk that fills it.
    if (m_state != merger_state::Streaming || m_highestSeen <= m_lastSequence
        || m_lastSequence < m_requestedUpTo)
        return;
    m_requestedUpTo = m_highestSeen;
    step.resume = resumeRequest();
}

std::optional<resume_request> stream_merger::resumeRequest() const
{
    if (m_state != merger_state::Streaming)
        return std::nullopt;
    return resume_request { .attempt = m_attempt, .epoch = m_epoch, .afterSequence = m_lastSequence };
}

merge_step stream_merger::restart(const attempt& next)
{
    if (m_state != merger_state::Streaming)
        return {};
    if (!canRestart())
        return breakRestart("the stream cannot be restarted because the delivered text is unknown");
    if (next.epoch() <= m_epoch)
        return breakRestart("the stream cannot be restarted by an attempt without a newer epoch");
    m_attempt = next.id();
    m_epoch = next.epoch();
    m_lastSequence = m_highestSeen = m_requestedUpTo = 0;
    m_matchedBytes = 0;
    m_attemptTokens = 0;
    m_textKnown = true;
    m_buffered.clear();
    m_bufferedBytes = 0;
    return {};
}

merge_step stream_merger::breakStream(base::error reason)
{
    if (m_state != merger_state::Streaming)
        return {};
    m_state = merger_state::Broken;
    m_buffered.clear();
    m_bufferedBytes = 0;
    return { .deliver = {}, .resume = {}, .broken = std::move(reason) };
}

merge_step stream_merger::breakRestart(std::string message)
{
    return breakStream({ .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::StreamBroken,
        .message = std::move(message) });
}

} // namespace marigold::outcome
