#pragma once

#include <base/base.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::outcome {

/// Random 128-bit identifier of one attempt at one request; never reused, so it also identifies the request.
using attempt_id = base::digest128;

/// Returns a new random identifier.
base::digest128 randomId(base::random_source& random);

enum class finish_reason {
    Stop, ///< The model ended its answer or produced a stop sequence.
    Length, ///< The token limit was reached.
    ContentFilter, ///< The engine suppressed the rest of the answer.
};

/// Returns the wire name of \a reason, in snake case.
std::string_view nameOf(finish_reason reason);

/// Tokens of a finished answer.
struct token_usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< Prompt tokens that were served from cached context.
    std::uint32_t completionTokens = 0;

    bool operator==(const token_usage&) const = default;
};

/// Finish reason and token counts, sent with the final chunk of an answer.
struct answer_end {
    finish_reason reason = finish_reason::Stop;
    token_usage usage = {};

    bool operator==(const answer_end&) const = default;
};

/// One chunk of a streamed answer.
struct answer_chunk {
    attempt_id attempt = {};
    std::uint32_t epoch = 0; ///< Restart count of the run.
    std::uint64_t sequence = 0; ///< 1 for the first chunk of an attempt, without gaps.
    std::string text = {};
    std::uint32_t tokens = 0; ///< Number of tokens in \a text.
    std::optional<answer_end> end = {}; ///< Present on the final chunk only.

    bool operator==(const answer_chunk&) const = default;
};

/// Identity of one attempt; assigns sequence numbers to its chunks.
class attempt {
public:
    /// Creates the first attempt at a request.
    explicit attempt(base::random_source& random)
        : m_id(randomId(random))
    {
    }

    /// Returns the attempt that replaces this one: a new id, and an epoch one higher.
    attempt restarted(base::random_source& random) const;

    const attempt_id& id() const { return m_id; }
    std::uint32_t epoch() const { return m_epoch; }

    /// Sequence number of the latest chunk; 0 before the first.
    std::uint64_t lastSequence() const { return m_sequence; }

    /// Returns the next chunk.
    answer_chunk next(std::string text, std::uint32_t tokens);

    /// Returns the final chunk, which may contain text as well.
    answer_chunk last(std::string text, std::uint32_t tokens, answer_end end);

private:
    attempt_id m_id;
    std::uint32_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace marigold::outcome
