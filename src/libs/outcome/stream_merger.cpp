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

stream_merger::stream_merger(const resume_request& place, options opts)
    : m_options(opts)
    , m_attempt(place.attempt)
    , m_epoch(place.epoch)
    , m_last(place.afterSequence)
    , m_highestSeen(place.afterSequence)
    , m_requestedUpTo(place.afterSequence)
    , m_textKnown(place.afterSequence == 0)
    , m_delivered(place.afterSequence > 0)
{
}

bool stream_merger::isForeign(const answer_piece& piece) const
{
    return m_state != merger_state::Streaming || piece.attempt != m_attempt || piece.epoch != m_epoch;
}

merge_step stream_merger::take(answer_piece piece)
{
    if (isForeign(piece) || piece.sequence <= m_last || m_held.contains(piece.sequence)) {
        ++m_dropped;
        return {};
    }
    merge_step step;
    m_highestSeen = std::max(m_highestSeen, piece.sequence);
    if (piece.sequence == m_last + 1)
        deliver(std::move(piece), step);
    else
        hold(std::move(piece));
    while (m_state == merger_state::Streaming && !m_held.empty() && m_held.begin()->first == m_last + 1) {
        auto node = m_held.extract(m_held.begin());
        m_heldBytes -= node.mapped().text.size();
        deliver(std::move(node.mapped()), step);
    }
    requestMissing(step);
    return step;
}

void stream_merger::hold(answer_piece piece)
{
    m_heldBytes += piece.text.size();
    const std::uint64_t sequence = piece.sequence;
    m_held.emplace(sequence, std::move(piece));
    // The pieces nearest to the gap are kept: they are delivered first once it closes. The others come
    // again with a later resume request.
    while (m_held.size() > m_options.maxHeldPieces || m_heldBytes > m_options.maxHeldBytes)
        dropLastHeld();
}

void stream_merger::dropLastHeld()
{
    const auto last = std::prev(m_held.end());
    m_heldBytes -= last->second.text.size();
    m_held.erase(last);
    ++m_dropped;
}

void stream_merger::deliver(answer_piece piece, merge_step& step)
{
    m_last = piece.sequence;
    m_attemptTokens += piece.tokens;
    if (!suppress(piece, step))
        return;
    const bool isFinal = piece.end.has_value();
    remember(piece);
    step.deliver.push_back(std::move(piece));
    m_delivered = true;
    if (!isFinal)
        return;
    m_state = merger_state::Complete;
    m_held.clear();
    m_heldBytes = 0;
}

bool stream_merger::suppress(answer_piece& piece, merge_step& step)
{
    if (!m_textKnown || m_matchedBytes == m_text.size())
        return true;
    const std::string_view open = std::string_view(m_text).substr(m_matchedBytes);
    const std::size_t shared = std::min(open.size(), piece.text.size());
    const bool differs = open.substr(0, shared) != std::string_view(piece.text).substr(0, shared);
    m_matchedBytes += shared;
    if (differs || (piece.end && m_matchedBytes < m_text.size())) {
        step.broken = broken("the restarted run gave another answer than the delivered part").broken;
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

void stream_merger::remember(const answer_piece& piece)
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
    // One request covers everything that was seen when it was sent, so that a gap is asked for once and not
    // again with each piece that fills it.
    if (m_state != merger_state::Streaming || m_highestSeen <= m_last || m_last < m_requestedUpTo)
        return;
    m_requestedUpTo = m_highestSeen;
    step.resume = resumeRequest();
}

std::optional<resume_request> stream_merger::resumeRequest() const
{
    if (m_state != merger_state::Streaming)
        return std::nullopt;
    return resume_request { .attempt = m_attempt, .epoch = m_epoch, .afterSequence = m_last };
}

merge_step stream_merger::restart(const attempt& next)
{
    if (m_state != merger_state::Streaming)
        return {};
    if (!canRestart())
        return broken("the stream cannot be restarted, because the delivered text is unknown here");
    if (next.epoch() <= m_epoch)
        return broken("the stream cannot be restarted by an attempt of an older epoch");
    m_attempt = next.id();
    m_epoch = next.epoch();
    m_last = m_highestSeen = m_requestedUpTo = 0;
    m_matchedBytes = 0;
    m_attemptTokens = 0;
    m_textKnown = true;
    m_held.clear();
    m_heldBytes = 0;
    return {};
}

merge_step stream_merger::breakStream(base::error reason)
{
    if (m_state != merger_state::Streaming)
        return {};
    m_state = merger_state::Broken;
    m_held.clear();
    m_heldBytes = 0;
    return { .deliver = {}, .resume = {}, .broken = std::move(reason) };
}

merge_step stream_merger::broken(std::string message)
{
    return breakStream({ .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::StreamBroken,
        .message = std::move(message) });
}

} // namespace marigold::outcome
