#include "answer_begin.h"

#include <relay/message/http_status.h>

namespace marigold::relay {

answer_use judgeBegin(const begun_answer& answer)
{
    const bool success = answer.status >= http_status::ok && answer.status < http_status::multipleChoices;
    if (answer.encoded || (success && !answer.authentic) || answer.isFalseRefusal)
        return answer_use::Discard;
    if (answer.callerStatus) {
        const bool continues = success && answer.status == *answer.callerStatus && answer.mayBeEventStream;
        return continues ? answer_use::Forward : answer_use::Discard;
    }
    if (answer.status >= http_status::serverError && answer.mayRetry)
        return answer_use::Discard;
    const bool forward = answer.isStreamRoute && success && http_status::mayHaveBody(answer.status);
    return forward ? answer_use::Forward : answer_use::Collect;
}

} // namespace marigold::relay
