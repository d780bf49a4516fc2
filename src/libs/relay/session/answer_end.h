#pragma once

#include <relay/message/event_scanner.h>
#include <relay/message/message_parser.h>
#include <relay/targets/target_end_detector.h>

namespace marigold::relay {

/// What the end of an answer's message tells of its content.
enum class answer_end {
    Complete,
    BrokenOff,
    /// Only the end of the connection tells the end of the content. An ending target closes its connections
    /// in the same way, so that the answer is complete only if the target is still there (`isComplete`).
    CheckTarget,
};

/// An answer whose message has ended in the way that its framing states.
struct ended_answer {
    int status = 0;
    body_framing framing = body_framing::None;
    bool isCutJson = false; ///< The body is stated to be JSON and can't be parsed.
    const event_boundary* stream = nullptr; ///< Position in the stream of events; null for another body.
};

/// Judges whether an answer is complete. The framing of a message tells the end of its bytes, not that of its
/// content: an ending target, or an intermediary, may end a message in the middle of an event.
answer_end judgeEnd(const ended_answer& answer);

/// Returns true if an answer that ended with its connection is complete. \a found tells what was found at the
/// address of its target afterwards. A target that leaves (\a isLeaving) ends anyway, and may do so in the
/// middle of its answers, so that it must be found there.
bool isComplete(target_presence found, bool isLeaving);

/// Returns true if the body of an answer to a request for events may be such a stream by its Content-Type.
bool mayBeEventStream(const message_head& head);

} // namespace marigold::relay
