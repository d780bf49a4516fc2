#pragma once

#include "attempt.h"

#include <base/base.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::outcome {

/// Request for the chunks of a run after a sequence number.
struct resume_request {
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::uint64_t afterSequence = 0;

    bool operator==(const resume_request&) const = default;
};

/// Actions for the caller's stream that result from an input.
struct merge_step {
    std::vector<answer_chunk> deliver = {}; ///< In order; the final chunk of a complete answer has `end`.
    /// If present, the caller of the merger must send it to the run.
    std::optional<resume_request> resume = {};
    std::optional<base::error> broken = {}; ///< Ends the stream with an explicit error, if present.
};

enum class merger_state {
    Streaming,
    Complete, ///< Every chunk up to the final one was delivered.
    Broken, ///< The stream ended with an explicit error.
};

/// Merges the chunks of the attempts at one request into the caller's stream (invariants I2 and I6).
///
/// Chunks of the current attempt are delivered in order and exactly once. Chunks of any other attempt or
/// epoch are dropped. After a restart, the text of the new attempt is compared with the delivered text and
/// suppressed until it exceeds it; a difference ends the stream with an explicit error.
class stream_merger {
public:
    struct options {
        std::size_t maxBufferedChunks = 256; ///< Limit for chunks beyond a gap.
        std::size_t maxBufferedBytes = 1024UL * 1024; ///< Limit for the text of chunks beyond a gap.
        std::size_t maxTextBytes = 4UL * 1024 * 1024; ///< Limit for delivered text stored for restarts.
    };

    /// Starts with the first chunk of \a first.
    explicit stream_merger(const attempt& first);
    stream_merger(const attempt& first, options opts);

    /// Continues a stream after \a position, up to which the caller has received it. The delivered text is
    /// unknown here, so the stream can be resumed again but not restarted.
    stream_merger(const resume_request& position, options opts);

    /// Processes a chunk from any source.
    merge_step take(answer_chunk chunk);

    /// Replaces the current attempt by \a next. Breaks the stream if the delivered text is unknown or \a next
    /// does not have a higher epoch.
    merge_step restart(const attempt& next);

    /// Returns the request that continues the stream after a lost connection or a timeout; empty if the
    /// stream has ended.
    std::optional<resume_request> resumeRequest() const;

    /// Ends the stream with \a reason, unless it has ended.
    merge_step breakStream(base::error reason);

    merger_state state() const { return m_state; }

    /// Whether at least one chunk was delivered.
    bool hasDelivered() const { return m_delivered; }

    /// Whether a restart is possible; after the first delivery, it requires that the delivered text is known.
    bool canRestart() const { return m_state == merger_state::Streaming && (m_textKnown || !m_delivered); }

    std::size_t bufferedChunks() const { return m_buffered.size(); }
    std::uint64_t droppedChunks() const { return m_dropped; }

private:
    bool isForeign(const answer_chunk& chunk) const;
    void buffer(answer_chunk chunk);
    void dropLastBuffered();
    void deliver(answer_chunk chunk, merge_step& step);
    bool suppressRepeated(answer_chunk& chunk, merge_step& step);
    void recordDelivered(const answer_chunk& chunk);
    void requestMissing(merge_step& step);
    merge_step breakRestart(std::string message);

    options m_options;
    merger_state m_state = merger_state::Streaming;
    attempt_id m_attempt;
    std::uint32_t m_epoch = 0;
    std::uint64_t m_lastSequence = 0; ///< Latest chunk of the attempt that was delivered or suppressed.
    std::uint64_t m_highestSeen = 0;
    std::uint64_t m_requestedUpTo = 0; ///< Last chunk covered by a resume request.
    std::map<std::uint64_t, answer_chunk> m_buffered;
    std::size_t m_bufferedBytes = 0;
    std::string m_text; ///< Delivered text.
    std::uint64_t m_deliveredTokens = 0;
    std::size_t m_matchedBytes = 0; ///< Length of the part of `m_text` that the attempt has repeated.
    std::uint64_t m_attemptTokens = 0;
    bool m_textKnown = true;
    bool m_delivered = false;
    std::uint64_t m_dropped = 0;
};

} // namespace marigold::outcome
