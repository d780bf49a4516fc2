#include "memory_account.h"

#include <algorithm>
#include <vector>

namespace marigold::net {

namespace {

/// A connection has progressed when it has moved this part of what it holds, and at least the minimum.
constexpr std::size_t progressDivisor = 32;
constexpr std::size_t minProgressBytes = 256;

/// Each unread answer may use this part of the memory that is left, but at least the minimum.
constexpr std::size_t answerDivisor = 32;
constexpr std::size_t minAnswerLimit = 16 << 10;

} // namespace

std::string_view nameOf(held_kind kind)
{
    constexpr std::array<std::string_view, heldKinds> names { "connections", "heads", "bodies", "answers",
        "requests" };
    return names[static_cast<std::size_t>(kind)];
}

memory_account::holder::holder(memory_account& account, std::function<bool()> evict)
    : m_account(account)
    , m_evict(std::move(evict))
    , m_lastProgress(account.m_clock.now())
{
    m_account.m_holders.insert(this);
}

memory_account::holder::~holder()
{
    for (std::size_t kind = 0; kind < heldKinds; ++kind)
        set(static_cast<held_kind>(kind), 0);
    m_account.m_holders.erase(this);
}

void memory_account::holder::set(held_kind kind, std::size_t bytes)
{
    std::size_t& own = m_bytes[static_cast<std::size_t>(kind)];
    m_account.m_bytes[static_cast<std::size_t>(kind)] += bytes - own;
    m_account.m_held += bytes - own;
    m_held += bytes - own;
    own = bytes;
}

bool memory_account::holder::trySet(held_kind kind, std::size_t bytes)
{
    const std::size_t own = m_bytes[static_cast<std::size_t>(kind)];
    if (bytes > own && !m_account.allows(*this, bytes - own))
        return false;
    set(kind, bytes);
    return true;
}

void memory_account::holder::progressed(std::size_t bytes)
{
    m_moved += bytes;
    if (m_moved >= std::max(minProgressBytes, m_held / progressDivisor))
        restart();
}

void memory_account::holder::restart()
{
    m_moved = 0;
    m_lastProgress = m_account.m_clock.now();
}

memory_account::memory_account(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(opts)
{
}

std::size_t memory_account::share(double part) const
{
    return static_cast<std::size_t>(part * static_cast<double>(m_options.budget));
}

bool memory_account::allows(const holder& who, std::size_t more)
{
    const std::size_t limit
        = who.m_held + more <= m_options.smallBytes ? m_options.budget : share(m_options.largeShare);
    if (m_held + more <= limit)
        return true;
    m_denied = std::max(m_denied, more);
    return false;
}

std::size_t memory_account::answerLimit(std::size_t usual) const
{
    const std::size_t left = m_options.budget - std::min(m_held, m_options.budget);
    return std::min(usual, std::max(left / answerDivisor, minAnswerLimit));
}

std::size_t memory_account::relieve()
{
    std::size_t goal = share(m_options.pressureShare);
    if (const std::size_t denied = std::exchange(m_denied, 0); denied > 0)
        goal = std::min(goal, largestConnection() - std::min(denied, largestConnection()));
    if (m_held <= goal)
        return 0;
    struct candidate {
        holder* who;
        double weight;
    };
    std::vector<candidate> candidates;
    const base::time_point now = m_clock.now();
    for (holder* who : m_holders)
        if (const base::duration stalled = now - who->m_lastProgress; stalled >= m_options.stallTime)
            candidates.push_back({ .who = who,
                .weight = static_cast<double>(who->m_held) * static_cast<double>(stalled.count()) });
    std::ranges::sort(candidates, std::greater(), &candidate::weight);
    std::size_t closed = 0;
    for (const candidate& next : candidates) {
        if (m_held <= goal)
            break;
        // Closing one connection may have ended another one.
        if (m_holders.contains(next.who) && next.who->m_evict())
            ++closed;
    }
    return closed;
}

} // namespace marigold::net
