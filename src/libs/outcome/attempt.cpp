#include "attempt.h"

#include <array>
#include <cstring>
#include <utility>

namespace marigold::outcome {

namespace {
constexpr std::array<std::string_view, 3> finishNames { "stop", "length", "content_filter" };
} // namespace

base::digest128 randomId(base::random_source& random)
{
    const std::array<std::uint64_t, 2> words { random.next(), random.next() };
    base::digest128 id {};
    static_assert(sizeof words == sizeof id);
    std::memcpy(id.data(), words.data(), sizeof id);
    return id;
}

std::string_view nameOf(finish_reason reason)
{
    return finishNames[static_cast<std::size_t>(reason)];
}

attempt attempt::restarted(base::random_source& random) const
{
    attempt next(random);
    next.m_epoch = m_epoch + 1;
    return next;
}

answer_chunk attempt::next(std::string text, std::uint32_t tokens)
{
    return {
        .attempt = m_id, .epoch = m_epoch, .sequence = ++m_sequence, .text = std::move(text), .tokens = tokens
    };
}

answer_chunk attempt::last(std::string text, std::uint32_t tokens, answer_end end)
{
    answer_chunk chunk = next(std::move(text), tokens);
    chunk.end = end;
    return chunk;
}

} // namespace marigold::outcome
