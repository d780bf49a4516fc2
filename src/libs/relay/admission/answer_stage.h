#pragma once

namespace marigold::relay {

/// Stage of the longest streams; that of a whole answer is one more.
inline constexpr int lastAnswerStage = 7;
inline constexpr int wholeAnswerStage = lastAnswerStage + 1;

/// Returns how far an answer has come with \a events whole events: 0 while it begins, and from the eighth
/// event on one more each time that their number has doubled.
constexpr int answerStage(int events)
{
    constexpr int beginning = 8;
    int stage = 0;
    for (int limit = beginning; events >= limit && stage < lastAnswerStage; limit *= 2)
        ++stage;
    return stage;
}

} // namespace marigold::relay
