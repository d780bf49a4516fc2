#pragma once

#include "return_workload.h"

#include <base/base.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace marigold::bench {

/// The two stores of a workload with their links. Transfers queue at a link, and the stores evict the least
/// recently used chains. The first link is slow for a period.
class fake_stores {
public:
    /// When the last queued transfer of each link ends.
    using link_end_times = std::array<base::time_point, storeCount>;

    static constexpr double slowLinkSeconds = 300;
    static constexpr double slowLinkSpeedShare = 0.15; ///< Fraction of the normal link speed.

    fake_stores(const base::clock& time, const workload_shape& shape, base::time_point slowFrom)
        : m_clock(time)
        , m_shape(shape)
        , m_slowFrom(slowFrom)
    {
    }

    static std::size_t storeOf(std::uint64_t session) { return (session >> 7) % storeCount; }

    const link_end_times& links() const { return m_linkEndTimes; }

    int storedTokens(std::uint64_t session) const
    {
        const auto found = m_chains.find(session);
        return found == m_chains.end() ? 0 : found->second.tokens;
    }

    /// Returns the time since \a session was last used; zero if the stores hold none of its context.
    base::duration idleTime(std::uint64_t session) const
    {
        const auto found = m_chains.find(session);
        return found == m_chains.end() ? base::duration::zero() : m_clock.now() - found->second.usedAt;
    }

    /// Returns the time to transfer \a tokens of \a session if the links are busy until \a links.
    base::duration transferTime(const link_end_times& links, std::uint64_t session, int tokens) const
    {
        const std::size_t store = storeOf(session);
        return std::max(links[store] - m_clock.now(), base::duration::zero()) + linkTime(store, tokens);
    }

    /// Queues a transfer of \a tokens of \a session in \a links. \return the time that it occupies the link
    base::duration addTransfer(link_end_times& links, std::uint64_t session, int tokens) const
    {
        const std::size_t store = storeOf(session);
        const base::duration busy = linkTime(store, tokens);
        links[store] = std::max(links[store], m_clock.now()) + busy;
        return busy;
    }

    base::duration transfer(std::uint64_t session, int tokens)
    {
        return addTransfer(m_linkEndTimes, session, tokens);
    }

    /// Stores the first \a tokens of \a session. The caller transfers those that the store lacks.
    void store(std::uint64_t session, int tokens)
    {
        stored_chain& chain = m_chains[session];
        if (chain.tokens > 0)
            m_lruOrder.erase(chain.place);
        m_lruOrder.push_front(session);
        m_storedTokens += std::max(tokens - chain.tokens, 0);
        chain = {
            .tokens = std::max(tokens, chain.tokens), .usedAt = m_clock.now(), .place = m_lruOrder.begin()
        };
        while (m_storedTokens > m_shape.storeTokens) {
            const auto oldest = m_chains.extract(m_lruOrder.back());
            m_storedTokens -= oldest.mapped().tokens;
            m_lruOrder.pop_back();
        }
    }

private:
    struct stored_chain {
        int tokens = 0;
        base::time_point usedAt {};
        std::list<std::uint64_t>::iterator place {};
    };

    base::duration linkTime(std::size_t store, int tokens) const
    {
        const double since = std::chrono::duration<double>(m_clock.now() - m_slowFrom).count();
        const bool slow = store == 0 && since >= 0 && since < slowLinkSeconds;
        const double seconds
            = tokens * bytesPerToken / (m_shape.linkBytesPerSecond * (slow ? slowLinkSpeedShare : 1));
        return base::duration(static_cast<std::int64_t>(seconds * 1e6));
    }

    const base::clock& m_clock;
    const workload_shape& m_shape;
    base::time_point m_slowFrom;
    link_end_times m_linkEndTimes {};
    std::unordered_map<std::uint64_t, stored_chain> m_chains;
    std::list<std::uint64_t> m_lruOrder;
    std::int64_t m_storedTokens = 0;
};

} // namespace marigold::bench
