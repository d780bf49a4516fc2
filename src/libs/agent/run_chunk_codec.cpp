#include "run_chunk_codec.h"

#include <fmt/format.h>

namespace marigold::agent {

std::string engineRequestId(std::string_view team, std::string_view run)
{
    return base::toHex(base::truncate(base::sha256(fmt::format("{}/{}/{}", team.size(), team, run))));
}

protocol::run_chunk toMessage(const outcome::answer_chunk& chunk)
{
    protocol::run_chunk message { .attempt = base::toHex(chunk.attempt),
        .epoch = chunk.epoch,
        .sequence = chunk.sequence,
        .text = chunk.text,
        .tokens = chunk.tokens };
    if (chunk.end) {
        message.isFinal = true;
        message.finishReason = outcome::nameOf(chunk.end->reason);
        message.promptTokens = chunk.end->usage.promptTokens;
        message.cachedTokens = chunk.end->usage.cachedTokens;
        message.completionTokens = chunk.end->usage.completionTokens;
    }
    return message;
}

int enginePriority(int priority)
{
    return 2 - priority;
}

} // namespace marigold::agent
