#pragma once

#include "return_workload.h"

#include <base/base.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace marigold::bench {

/// The two stores of a user with their links: transfers queue at a link, and the oldest chains are dropped.
/// The first link is slow for a while.
class fake_stores {
public:
    using backlog = std::array<base::time_point, stores>; ///< When each link is free.

    static constexpr double slowSeconds = 300;
    static constexpr double slowShare = 0.15; ///< Of the link's speed.

    fake_stores(const base::clock& time, const user_shape& shape, base::time_point slowFrom)
        : m_clock(time)
        , m_shape(shape)
        , m_slowFrom(slowFrom)
    {
    }

    static std::size_t storeOf(std::uint64_t session) { return (session >> 7) % stores; }

    const backlog& links() const { return m_freeAt; }

    int keptTokens(std::uint64_t session) const
    {
        const auto found = m_kept.find(session);
        return found == m_kept.end() ? 0 : found->second.tokens;
    }

    /// Returns the time since \a session was last used; zero when the stores do not know it.
    base::duration idleTime(std::uint64_t session) const
    {
        const auto found = m_kept.find(session);
        return found == m_kept.end() ? base::duration::zero() : m_clock.now() - found->second.usedAt;
    }

    /// Returns the time to move \a tokens of \a session when the links have the backlog \a links.
    base::duration transferTime(const backlog& links, std::uint64_t session, int tokens) const
    {
        const std::size_t store = storeOf(session);
        return std::max(links[store] - m_clock.now(), base::duration::zero()) + busyTime(store, tokens);
    }

    /// Adds a transfer of \a tokens to \a links, and returns the time that it occupies the link.
    base::duration addTransfer(backlog& links, std::uint64_t session, int tokens) const
    {
        const std::size_t store = storeOf(session);
        const base::duration busy = busyTime(store, tokens);
        links[store] = std::max(links[store], m_clock.now()) + busy;
        return busy;
    }

    base::duration move(std::uint64_t session, int tokens) { return addTransfer(m_freeAt, session, tokens); }

    /// Keeps the first \a tokens of \a session; the caller moves those that the store lacks.
    void keep(std::uint64_t session, int tokens)
    {
        kept_chain& chain = m_kept[session];
        if (chain.tokens > 0)
            m_order.erase(chain.place);
        m_order.push_front(session);
        m_keptTokens += std::max(tokens - chain.tokens, 0);
        chain
            = { .tokens = std::max(tokens, chain.tokens), .usedAt = m_clock.now(), .place = m_order.begin() };
        while (m_keptTokens > m_shape.storeTokens) {
            const auto oldest = m_kept.extract(m_order.back());
            m_keptTokens -= oldest.mapped().tokens;
            m_order.pop_back();
        }
    }

private:
    struct kept_chain {
        int tokens = 0;
        base::time_point usedAt {};
        std::list<std::uint64_t>::iterator place {};
    };

    base::duration busyTime(std::size_t store, int tokens) const
    {
        const double since = std::chrono::duration<double>(m_clock.now() - m_slowFrom).count();
        const bool slow = store == 0 && since >= 0 && since < slowSeconds;
        const double seconds = tokens * bytesPerToken / (m_shape.linkBytesPerSecond * (slow ? slowShare : 1));
        return base::duration(static_cast<std::int64_t>(seconds * 1e6));
    }

    const base::clock& m_clock;
    const user_shape& m_shape;
    base::time_point m_slowFrom;
    backlog m_freeAt {};
    std::unordered_map<std::uint64_t, kept_chain> m_kept;
    std::list<std::uint64_t> m_order;
    std::int64_t m_keptTokens = 0;
};

} // namespace marigold::bench
