#include "answer_end.h"

#include <relay/message/http_status.h>

#include <strings.h>

namespace marigold::relay {

answer_end judgeEnd(const ended_answer& answer)
{
    // The status of a failure tells the outcome; its body only explains it.
    if (answer.status >= http_status::badRequest)
        return answer_end::Complete;
    if (answer.stream && answer.stream->insideEvent())
        return answer_end::BrokenOff;
    if (answer.framing != body_framing::UntilClose)
        return answer_end::Complete;
    if (answer.isCutJson || (answer.stream && !answer.stream->hasEvent()))
        return answer_end::BrokenOff;
    return answer_end::CheckTarget;
}

bool isComplete(target_presence found, bool isLeaving)
{
    return found == target_presence::Listening || (found == target_presence::Unknown && !isLeaving);
}

bool mayBeEventStream(const message_head& head)
{
    constexpr std::string_view eventStream = "text/event-stream";
    const auto type = head.headers.find("Content-Type");
    return !type
        || (type->size() >= eventStream.size()
            && strncasecmp(type->data(), eventStream.data(), eventStream.size()) == 0);
}

} // namespace marigold::relay
