#include "load_exchange.h"

#include <algorithm>

namespace marigold::relay {

load_exchange::load_exchange(
    target_registry& targets, base::scheduler& timers, const base::clock& time, sender send, options opts)
    : m_targets(targets)
    , m_timers(timers)
    , m_clock(time)
    , m_send(std::move(send))
    , m_options(std::move(opts))
{
    m_targets.setLoadObserver({
        .loadingChanged = [this](const target_record& target) { loadingChanged(target); },
        .requestStarted = [this](const target_record& target) { requestStarted(target); },
    });
}

void load_exchange::start()
{
    publish();
}

base::duration load_exchange::roundTime(std::size_t datagramsPerRound, double perSecond)
{
    const double seconds = static_cast<double>(datagramsPerRound) / perSecond;
    return base::duration(static_cast<std::int64_t>(seconds * 1e6));
}

base::duration load_exchange::publishInterval() const
{
    return std::max(m_options.interval, roundTime(m_groupPeers.size(), m_options.maxDatagramsPerSecond));
}

void load_exchange::setPeers(std::map<std::string, net::endpoint> peers)
{
    m_peers = std::move(peers);
    m_peers.erase(m_options.process);
    std::erase_if(m_lastSequence, [&](const auto& entry) { return !m_peers.contains(entry.first); });
    std::erase_if(m_confirmed, [&](const auto& entry) { return !m_peers.contains(entry.first); });
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

void load_exchange::beginRound()
{
    constexpr base::duration retention = std::chrono::seconds(10);
    const base::time_point now = m_clock.now();
    m_rounds.push_back({ .sequence = ++m_sequence, .sentAt = now });
    while (now - m_rounds.front().sentAt > retention)
        m_rounds.pop_front();
}

bool load_exchange::isKnownToAll(base::duration maxAge) const
{
    const base::time_point now = m_clock.now();
    return !m_peers.empty() && std::ranges::all_of(m_peers, [&](const auto& peer) {
        const auto confirmed = m_confirmed.find(peer.first);
        return confirmed != m_confirmed.end() && now - confirmed->second < maxAge;
    });
}

void load_exchange::sendTo(const std::string& peer, load_digest digest)
{
    digest.process = m_options.process;
    digest.sequence = m_sequence;
    digest.oldestInUse = m_targets.weightsInUse().own();
    const auto last = m_lastSequence.find(peer);
    digest.lastReceived = last == m_lastSequence.end() ? 0 : last->second;
    m_send(m_peers.at(peer), encode(digest));
}

void load_exchange::loadingChanged(const target_record& target)
{
    const auto [group, groups] = m_targets.groupOf(target);
    for (const auto& [id, address] : m_peers)
        if (m_targets.groups().isMember(id, group, groups))
            m_urgentPeers.insert(id);
    if (m_urgentPeers.empty() || std::exchange(m_urgentScheduled, true))
        return;
    // Orders are sent in batches; one digest announces those of a batch.
    m_timers.runAfter(base::duration::zero(), [this] { publishUrgent(); });
}

void load_exchange::requestStarted(const target_record& target)
{
    m_changed.insert(target.registration.id);
    if (std::exchange(m_changedScheduled, true))
        return;
    m_timers.runAfter(base::duration::zero(), [this] { publishChanged(); });
}

void load_exchange::publishChanged()
{
    beginRound();
    std::vector<target_registry::own_load> loads;
    for (const std::string& id : std::exchange(m_changed, {}))
        if (const auto target = m_targets.targets().find(id); target != m_targets.targets().end())
            loads.push_back(m_targets.ownLoad(*target->second));
    for (const std::string& id : m_groupPeers)
        if (auto entries = entriesFor(id, loads); !entries.empty())
            sendTo(id, { .entries = std::move(entries), .isPartial = true });
    m_timers.runAfter(m_options.partialInterval, [this] {
        m_changedScheduled = false;
        if (!m_changed.empty()) {
            m_changedScheduled = true;
            publishChanged();
        }
    });
}

void load_exchange::publishUrgent()
{
    const std::set<std::string> peers = std::exchange(m_urgentPeers, {});
    beginRound();
    const std::vector<target_registry::own_load> loads = m_targets.ownLoads();
    for (const std::string& id : peers)
        if (m_peers.contains(id))
            sendTo(id, { .entries = entriesFor(id, loads) });
    m_timers.runAfter(roundTime(peers.size(), m_options.maxUrgentDatagramsPerSecond), [this] {
        m_urgentScheduled = false;
        if (!m_urgentPeers.empty()) {
            m_urgentScheduled = true;
            publishUrgent();
        }
    });
}

void load_exchange::publish()
{
    beginRound();
    const std::vector<target_registry::own_load> loads = m_targets.ownLoads();
    const std::vector<fetch_outcomes> fetches
        = m_options.takeFetchOutcomes ? m_options.takeFetchOutcomes() : std::vector<fetch_outcomes> {};
    const std::vector<version_age> ages
        = m_options.versionAges ? m_options.versionAges() : std::vector<version_age> {};
    const std::map<digest_section_id, std::string> added = sections();
    for (const std::string& id : m_groupPeers)
        sendTo(id,
            { .entries = entriesFor(id, loads), .fetches = fetches, .versionAges = ages, .sections = added });
    const base::duration interval = publishInterval();
    m_otherCredit = std::min(static_cast<double>(m_otherPeers.size()),
        m_otherCredit
            + m_options.maxOtherDatagramsPerSecond * std::chrono::duration<double>(interval).count());
    for (; m_otherCredit >= 1; --m_otherCredit) {
        const std::string& id = m_otherPeers[m_nextOther++ % m_otherPeers.size()];
        sendTo(id, { .entries = entriesFor(id, loads), .versionAges = ages, .sections = added });
    }
    m_timers.runAfter(interval, [this] { publish(); });
}

std::map<digest_section_id, std::string> load_exchange::sections() const
{
    std::map<digest_section_id, std::string> written;
    for (const digest_section& section : m_options.sections)
        if (std::string bytes = section.write(); !bytes.empty())
            written.emplace(section.id, std::move(bytes));
    return written;
}

void load_exchange::readSections(const load_digest& digest) const
{
    for (const digest_section& section : m_options.sections)
        if (const auto found = digest.sections.find(section.id); found != digest.sections.end())
            section.read(digest.process, found->second);
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
    // Counts from the sending, so that datagrams that are read late prove nothing.
    const auto confirmed = std::ranges::lower_bound(m_rounds, digest->lastReceived, {}, &round::sequence);
    if (confirmed != m_rounds.end() && confirmed->sequence == digest->lastReceived)
        m_confirmed[digest->process] = confirmed->sentAt;
    if (digest->isPartial)
        m_targets.updatePeerLoad(digest->process, digest->entries);
    else
        m_targets.setPeerLoad(digest->process, digest->entries);
    m_targets.weightsInUse().reported(digest->process, digest->oldestInUse);
    if (m_options.fetchOutcomesReceived)
        m_options.fetchOutcomesReceived(digest->fetches);
    if (m_options.versionAgesReceived)
        m_options.versionAgesReceived(digest->versionAges);
    readSections(*digest);
}

} // namespace marigold::relay
