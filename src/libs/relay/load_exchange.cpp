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

base::duration load_exchange::roundTime(std::size_t datagramsPerRound, double perSecond) const
{
    const double seconds = static_cast<double>(datagramsPerRound) / perSecond;
    return std::max(m_options.interval, base::duration(static_cast<std::int64_t>(seconds * 1e6)));
}

base::duration load_exchange::publishInterval() const
{
    return roundTime(m_groupPeers.size(), m_options.maxDatagramsPerSecond);
}

void load_exchange::setPeers(std::map<std::string, net::endpoint> peers)
{
    m_peers = std::move(peers);
    m_peers.erase(m_options.process);
    std::erase_if(m_lastSequence, [&](const auto& entry) { return !m_peers.contains(entry.first); });
    m_targets.retainPeers(m_peers);
    m_groupPeers.clear();
    m_otherPeers.clear();
    for (const auto& [id, address] : m_peers)
        (m_targets.groups().sharesGroupWith(id) ? m_groupPeers : m_otherPeers).push_back(id);
    constexpr int missedDigests = 3;
    constexpr base::duration shortest = std::chrono::milliseconds(1500);
    m_targets.setPeerLoadTimeout(std::max(shortest,
        missedDigests
            * std::max(
                publishInterval(), roundTime(m_otherPeers.size(), m_options.maxOtherDatagramsPerSecond))));
}

std::vector<load_digest::entry> load_exchange::entriesFor(
    std::string_view peer, std::span<const target_registry::own_load> loads) const
{
    std::vector<load_digest::entry> entries;
    for (const target_registry::own_load& item : loads)
        if (m_targets.groups().isMember(peer, item.group, item.groups))
            entries.push_back(item.entry);
    return entries;
}

void load_exchange::sendTo(const net::endpoint& address, std::vector<load_digest::entry> entries)
{
    m_send(address,
        encode({ .process = m_options.process, .sequence = m_sequence, .entries = std::move(entries) }));
}

void load_exchange::publish()
{
    ++m_sequence;
    const std::vector<target_registry::own_load> loads = m_targets.ownLoads();
    for (const std::string& id : m_groupPeers)
        sendTo(m_peers.at(id), entriesFor(id, loads));
    const base::duration interval = publishInterval();
    m_otherCredit = std::min(static_cast<double>(m_otherPeers.size()),
        m_otherCredit
            + m_options.maxOtherDatagramsPerSecond * std::chrono::duration<double>(interval).count());
    for (; m_otherCredit >= 1; --m_otherCredit) {
        const std::string& id = m_otherPeers[m_nextOther++ % m_otherPeers.size()];
        sendTo(m_peers.at(id), entriesFor(id, loads));
    }
    m_timers.runAfter(interval, [this] { publish(); });
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
