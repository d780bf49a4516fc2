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

bool stream_merger::isForeign(const answer_piece& piece) const
{
    return m_state != merger_state::Streaming || piece.attempt != m_attempt || piece.epoch != m_epoch;
}

merge_step stream_merger::take(answer_piece piece)
{
    if (isForeign(piece) || piece.sequence <= m_lastSequence || m_buffered.contains(piece.sequence)) {
        ++m_dropped;
        return {};
    }
    merge_step step;
    m_highestSeen = std::max(m_highestSeen, piece.sequence);
    if (piece.sequence == m_lastSequence + 1)
        deliver(std::move(piece), step);
    else
        buffer(std::move(piece));
    while (m_state == merger_state::Streaming && !m_buffered.empty()
        && m_buffered.begin()->first == m_lastSequence + 1) {
        auto node = m_buffered.extract(m_buffered.begin());
        m_bufferedBytes -= node.mapped().text.size();
        deliver(std::move(node.mapped()), step);
    }
    requestMissing(step);
    return step;
}

void stream_merger::buffer(answer_piece piece)
{
    m_bufferedBytes += piece.text.size();
    const std::uint64_t sequence = piece.sequence;
    m_buffered.emplace(sequence, std::move(piece));
    // Drops the pieces farthest from the gap, since those next to it are delivered first. A later resume
    // request fetches the dropped pieces again.
    while (m_buffered.size() > m_options.maxBufferedPieces || m_bufferedBytes > m_options.maxBufferedBytes)
        dropLastBuffered();
}

void stream_merger::dropLastBuffered()
{
    const auto last = std::prev(m_buffered.end());
    m_bufferedBytes -= last->second.text.size();
    m_buffered.erase(last);
    ++m_dropped;
}

void stream_merger::deliver(answer_piece piece, merge_step& step)
{
    m_lastSequence = piece.sequence;
    m_attemptTokens += piece.tokens;
    if (!suppressRepeated(piece, step))
        return;
    const bool isFinal = piece.end.has_value();
    recordDelivered(piece);
    step.deliver.push_back(std::move(piece));
    m_delivered = true;
    if (!isFinal)
        return;
    m_state = merger_state::Complete;
    m_buffered.clear();
    m_bufferedBytes = 0;
}

bool stream_merger::suppressRepeated(answer_piece& piece, merge_step& step)
{
    if (!m_textKnown || m_matchedBytes == m_text.size())
        return true;
    const std::string_view unmatched = std::string_view(m_text).substr(m_matchedBytes);
    const std::size_t shared = std::min(unmatched.size(), piece.text.size());
    const bool differs = unmatched.substr(0, shared) != std::string_view(piece.text).substr(0, shared);
    m_matchedBytes += shared;
    if (differs || (piece.end && m_matchedBytes < m_text.size())) {
        step.broken = breakRestart("the answer of the restarted run differs from the delivered part").broken;
        return false;
    }
    if (shared == piece.text.size() && !piece.end)
        return false;
    piece.text.erase(0, shared);
    const std::uint64_t newTokens
        = m_attemptTokens > m_deliveredTokens ? m_attemptTokens - m_deliveredTokens : 0;
    piece.tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(piece.tokens, newTokens));
    return true;
}

void stream_merger::recordDelivered(const answer_piece& piece)
{
    m_deliveredTokens += piece.tokens;
    if (!m_textKnown)
        return;
    if (m_text.size() + piece.text.size() > m_options.maxTextBytes) {
        m_textKnown = false;
        m_text = {};
        return;
    }
    m_text += piece.text;
    m_matchedBytes = m_text.size();
}

void stream_merger::requestMissing(merge_step& step)
{
    // One request covers all pieces seen before it was sent, so that a gap is requested once and not again
    // for each piece that fills it.
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
