#pragma once

#include "attempt.h"

#include <base/base.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::outcome {

/// Asks the run for its pieces after a sequence number.
struct resume_request {
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::uint64_t afterSequence = 0;

    bool operator==(const resume_request&) const = default;
};

/// What the stream of the caller does next.
struct merge_step {
    std::vector<answer_piece> deliver = {}; ///< In order; the last one of a whole answer has `end`.
    std::optional<resume_request> resume = {}; ///< To be sent to the run, if present.
    std::optional<base::error> broken = {}; ///< Ends the stream with a marked error, if present.
};

enum class merger_state {
    Streaming,
    Complete, ///< Every piece up to the final one was delivered.
    Broken, ///< The stream ended with a marked error.
};

/// Turns the pieces of the attempts at one request into the stream of its caller (invariants I2 and I6).
///
/// Pieces of one attempt are delivered in order and once each. Pieces of any other attempt or epoch are
/// dropped. After a restart, the text of the new attempt is compared with the delivered text and suppressed
/// until it exceeds it; a difference ends the stream with a marked error.
class stream_merger {
public:
    struct options {
        std::size_t maxHeldPieces = 256; ///< Pieces beyond a gap.
        std::size_t maxHeldBytes = 1024UL * 1024; ///< Text of the pieces beyond a gap.
        std::size_t maxTextBytes = 4UL * 1024 * 1024; ///< Delivered text kept for restarts.
    };

    /// Follows \a first from its first piece.
    explicit stream_merger(const attempt& first);
    stream_merger(const attempt& first, options opts);

    /// Continues a stream of which the caller has everything up to \a place. The delivered text is unknown
    /// here, so that this stream can be resumed again but not restarted.
    stream_merger(const resume_request& place, options opts);

    /// Takes a piece from any source.
    merge_step take(answer_piece piece);

    /// Follows \a next instead of the attempt so far. Breaks the stream when the delivered text is unknown
    /// or \a next has no higher epoch.
    merge_step restart(const attempt& next);

    /// Returns the request that continues the stream, after a broken connection or silence; empty when the
    /// stream has ended.
    std::optional<resume_request> resumeRequest() const;

    /// Ends the stream with \a reason, unless it has ended.
    merge_step breakStream(base::error reason);

    merger_state state() const { return m_state; }

    /// True when at least one piece was delivered.
    bool hasDelivered() const { return m_delivered; }

    /// Whether the delivered text is known, which a restart after the first delivery needs.
    bool canRestart() const { return m_state == merger_state::Streaming && (m_textKnown || !m_delivered); }

    std::size_t heldPieces() const { return m_held.size(); }
    std::uint64_t droppedPieces() const { return m_dropped; }

private:
    bool isForeign(const answer_piece& piece) const;
    void hold(answer_piece piece);
    void dropLastHeld();
    void deliver(answer_piece piece, merge_step& step);
    bool suppress(answer_piece& piece, merge_step& step);
    void remember(const answer_piece& piece);
    void requestMissing(merge_step& step);
    merge_step broken(std::string message);

    options m_options;
    merger_state m_state = merger_state::Streaming;
    attempt_id m_attempt;
    std::uint32_t m_epoch = 0;
    std::uint64_t m_last = 0; ///< Latest piece of the attempt that was delivered or suppressed.
    std::uint64_t m_highestSeen = 0;
    std::uint64_t m_requestedUpTo = 0; ///< A resume request covers the pieces up to this one.
    std::map<std::uint64_t, answer_piece> m_held;
    std::size_t m_heldBytes = 0;
    std::string m_text; ///< Delivered text.
    std::uint64_t m_deliveredTokens = 0;
    std::size_t m_matchedBytes = 0; ///< Part of `m_text` that the attempt has repeated.
    std::uint64_t m_attemptTokens = 0;
    bool m_textKnown = true;
    bool m_delivered = false;
    std::uint64_t m_dropped = 0;
};

} // namespace marigold::outcome
