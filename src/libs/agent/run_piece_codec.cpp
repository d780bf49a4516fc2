#include "run_piece_codec.h"

#include <fmt/format.h>

namespace marigold::agent {

std::string engineRequestId(std::string_view team, std::string_view run)
{
    return base::toHex(base::truncate(base::sha256(fmt::format("{}/{}/{}", team.size(), team, run))));
}

protocol::run_piece toMessage(const outcome::answer_piece& piece)
{
    protocol::run_piece message { .attempt = base::toHex(piece.attempt),
        .epoch = piece.epoch,
        .sequence = piece.sequence,
        .text = piece.text,
        .tokens = piece.tokens };
    if (piece.end) {
        message.isFinal = true;
        message.finishReason = outcome::nameOf(piece.end->reason);
        message.promptTokens = piece.end->usage.promptTokens;
        message.cachedTokens = piece.end->usage.cachedTokens;
        message.completionTokens = piece.end->usage.completionTokens;
    }
    return message;
}

int enginePriority(int priority)
{
    return 2 - priority;
}

} // namespace marigold::agent
