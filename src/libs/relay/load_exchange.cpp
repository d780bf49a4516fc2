#include "load_exchange.h"

#include <algorithm>

namespace marigold::relay {

load_exchange::load_exchange(target_registry& targets, base::scheduler& timers, sender send, options opts)
    : m_targets(targets)
    , m_timers(timers)
    , m_send(std::move(send))
    , m_options(std::move(opts))
{
}

void load_exchange::start()
{
    publish();
}

void load_exchange::setPeers(std::map<std::string, net::endpoint> peers)
{
    m_peers = std::move(peers);
    m_peers.erase(m_options.process);
    std::erase_if(m_lastSequence, [&](const auto& entry) { return !m_peers.contains(entry.first); });
    m_targets.retainPeers(m_peers);
}

void load_exchange::publish()
{
    load_digest digest {
        .process = m_options.process, .sequence = ++m_sequence, .entries = m_targets.ownLoads()
    };
    if (!m_peers.empty()) {
        const std::string bytes = encode(digest);
        for (const auto& [id, address] : m_peers)
            m_send(address, bytes);
    }
    const double seconds = static_cast<double>(m_peers.size()) / m_options.maxDatagramsPerSecond;
    const base::duration delay = m_peers.size() <= m_options.maxPeersAtFullRate
        ? m_options.interval
        : base::duration(static_cast<std::int64_t>(seconds * 1e6));
    m_timers.runAfter(delay, [this] { publish(); });
}

void load_exchange::received(std::string_view bytes)
{
    const auto digest = decodeLoadDigest(bytes);
    if (!digest || !m_peers.contains(digest->process))
        return; // Sent by an unknown process or by another program.
    std::uint64_t& last = m_lastSequence[digest->process];
    if (digest->sequence <= last)
        return;
    last = digest->sequence;
    m_targets.setPeerLoad(digest->process, digest->entries);
}

} // namespace marigold::relay
