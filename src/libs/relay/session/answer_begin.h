#pragma once

#include <optional>

namespace marigold::relay {

/// What the head of a target's answer is used for.
enum class answer_use {
    Discard, ///< The attempt has failed.
    Collect, ///< Becomes the answer to the caller once it is complete.
    Forward, ///< Its chunks are forwarded as they arrive, as the caller's answer or its continuation.
};

/// The head of an answer and what the caller has received so far.
struct begun_answer {
    int status = 0;
    bool authentic = false;
    bool encoded = false; ///< Has a content encoding, so it is not the target's own body.
    bool mayBeEventStream = false;
    bool isStreamRoute = false;
    /// The status implies that a request which must not be repeated has not run, and the target does not say
    /// so.
    bool isFalseRefusal = false;
    bool mayRetry = false; ///< Another target may be tried if this answer is discarded.
    std::optional<int> callerStatus = {}; ///< Status of the head that the caller has.
};

/// Decides what \a answer is used for. Once the caller has a head, only the same kind of stream may follow:
/// any other answer would be read as part of the stream.
answer_use judgeBegin(const begun_answer& answer);

} // namespace marigold::relay
