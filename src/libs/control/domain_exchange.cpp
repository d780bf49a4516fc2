#include "domain_exchange.h"

#include <algorithm>

namespace marigold::control {

namespace {

constexpr std::size_t statesPerDigest = 16;
/// Limit for the records; leaves space for the rest of the datagram.
constexpr std::size_t digestBytes = 1000;
constexpr std::size_t recordBytes = 44; ///< Upper bound for a record without its id.
/// Load records that each of the two delegates adds to a digest within its region. In a fleet of 20 domains
/// of 79 members, a delegate uses up to 3,290 B/s with one load here and two in each message of
/// `update_queue`, and up to 3,385 B/s with three each. Both exceed the bound of 3,000 B/s, see
/// KNOWN-RED.txt.
constexpr std::size_t loadsPerDigest = 1;
constexpr unsigned summarySends = 8; ///< Times a process piggybacks a summary: 4 times log10 of 79.
constexpr auto refreshInterval = std::chrono::seconds(1);

bool sameContent(const domain_summary& a, const domain_summary& b)
{
    return a.reachable == b.reachable && a.lowestVersion == b.lowestVersion && a.behind == b.behind;
}

} // namespace

domain_exchange::domain_exchange(
    const member& self, const member_table& table, const base::clock& time, options opts)
    : m_self(self)
    , m_table(table)
    , m_clock(time)
    , m_options(opts)
{
}

base::duration domain_exchange::interval(const peer_domain& peer) const
{
    return peer.sameRegion ? m_options.sameRegionInterval : m_options.otherRegionInterval;
}

void domain_exchange::refreshPeers()
{
    const auto now = m_clock.now();
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + refreshInterval;
    const auto delegates = m_table.delegatesOf(m_self.failureDomain);
    const auto own = std::find(delegates.begin(), delegates.end(), m_self.id);
    const bool wasDelegate = m_isDelegate;
    m_isDelegate = own != delegates.end();
    m_rank = static_cast<std::size_t>(own - delegates.begin());
    m_delegateCount = delegates.size();
    m_isFirst = m_isDelegate && m_rank == 0;
    for (const auto& [id, known] : m_table.all()) {
        const auto& info = known.info;
        if (info.failureDomain == m_self.failureDomain || m_peers.contains(info.failureDomain))
            continue;
        m_peers[info.failureDomain] = { .sameRegion = info.region == m_self.region, .lastReceived = now };
    }
    if (!m_isDelegate || wasDelegate)
        return;
    for (auto& [name, peer] : m_peers) {
        peer.confirmed = 0;
        peer.received.clear();
        peer.lastReceived = now;
        peer.declaredUnreachable = false;
        peer.nextDigest = now;
    }
}

std::vector<domain_exchange::outgoing_digest> domain_exchange::dueDigests()
{
    refreshPeers();
    std::vector<outgoing_digest> out;
    if (!m_isDelegate)
        return out;
    const auto now = m_clock.now();
    for (auto& [name, peer] : m_peers) {
        if (now < peer.nextDigest)
            continue;
        peer.nextDigest = now + interval(peer);
        if (now >= peer.nextResend) {
            peer.confirmed = 0;
            peer.nextResend = now + m_options.resendInterval;
        }
        if (const auto delegates = m_table.delegatesOf(name); !delegates.empty())
            out.push_back(digestFor(peer, delegates));
    }
    return out;
}

/// Adds the records whose state changed since the last confirmed change. Returns the last change they cover.
std::uint64_t domain_exchange::addStates(membership_message& message, const peer_domain& peer) const
{
    auto changed = m_table.membersOf(m_self.failureDomain);
    std::erase_if(changed, [&](const tracked_member* known) { return known->change <= peer.confirmed; });
    std::sort(changed.begin(), changed.end(),
        [](const tracked_member* a, const tracked_member* b) { return a->change < b->change; });
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < changed.size(); ++i) {
        bytes += recordBytes + changed[i]->info.id.size();
        if (i == statesPerDigest || bytes > digestBytes)
            return changed[i - 1]->change;
        message.updates.push_back(changed[i]->info);
    }
    return m_table.lastChange();
}

/// Adds changed loads. The delegates of a domain divide its members among them, so that each load is sent
/// once; a lost one only leaves the receiver with a stale load.
void domain_exchange::addLoads(membership_message& message, peer_domain& peer) const
{
    auto changed = m_table.membersOf(m_self.failureDomain);
    std::erase_if(changed, [&](const tracked_member* known) {
        return known->loadChange <= peer.loadsSent
            || base::hash64(known->info.id) % m_delegateCount != m_rank;
    });
    std::sort(changed.begin(), changed.end(),
        [](const tracked_member* a, const tracked_member* b) { return a->loadChange < b->loadChange; });
    for (std::size_t i = 0; i < std::min(loadsPerDigest, changed.size()); ++i) {
        message.updates.push_back(changed[i]->info);
        peer.loadsSent = changed[i]->loadChange;
    }
}

domain_exchange::outgoing_digest domain_exchange::digestFor(
    peer_domain& peer, const std::vector<std::string>& delegates)
{
    membership_message message { .type = message_type::Digest };
    message.upTo = addStates(message, peer);
    if (peer.sameRegion && message.updates.empty())
        addLoads(message, peer);
    message.domains.push_back(ownSummary());
    // Delegates of equal rank exchange digests, so that each digest confirms the previous one. A single
    // delegate alternates between both.
    const std::size_t shift = m_delegateCount < delegates.size() ? peer.rotation++ : 0;
    const std::string& to = delegates[(m_rank + shift) % delegates.size()];
    // The incarnation allows a restarted delegate to ignore confirmations of digests sent before its restart.
    if (const auto receipt = peer.received.find(to); receipt != peer.received.end()) {
        message.confirmed = receipt->second.upTo;
        message.subject = std::to_string(receipt->second.incarnation);
    }
    return { .to = to, .message = std::move(message) };
}

void domain_exchange::makeAllDue()
{
    for (auto& [name, peer] : m_peers)
        peer.nextDigest = {};
}

void domain_exchange::recordContact(const std::string& domain, const std::vector<domain_summary>& summaries)
{
    const auto peer = m_peers.find(domain);
    if (peer != m_peers.end()) {
        peer->second.lastReceived = m_clock.now();
        peer->second.declaredUnreachable = false;
    }
    for (auto summary : summaries) {
        if (summary.name != domain)
            continue;
        // Stamps order summaries within one domain only, so that the stamp of another domain is replaced.
        summary.reachable = true;
        const auto known = m_summaries.find(domain);
        if (known == m_summaries.end() || !sameContent(known->second, summary))
            publish(std::move(summary));
    }
}

void domain_exchange::handleDigest(const membership_message& digest)
{
    recordContact(digest.sender.failureDomain, digest.domains);
    const auto peer = m_peers.find(digest.sender.failureDomain);
    if (peer == m_peers.end())
        return;
    auto& receipt = peer->second.received[digest.sender.id];
    // Digests may arrive out of order; an earlier one covers fewer changes.
    if (receipt.incarnation != digest.sender.incarnation)
        receipt = { .incarnation = digest.sender.incarnation };
    receipt.upTo = std::max(receipt.upTo, digest.upTo);
    if (digest.subject == std::to_string(m_self.incarnation) && digest.confirmed <= m_table.lastChange())
        peer->second.confirmed = std::max(peer->second.confirmed, digest.confirmed);
}

bool domain_exchange::merge(const domain_summary& summary)
{
    m_stamp = std::max(m_stamp, summary.stamp);
    auto& known = m_summaries[summary.name];
    if (!known.name.empty() && summary.stamp <= known.stamp)
        return false;
    known = summary;
    m_pendingSummaries[summary.name] = 0;
    return true;
}

void domain_exchange::publish(domain_summary summary)
{
    summary.stamp = m_stamp + 1;
    merge(summary);
}

std::vector<std::string> domain_exchange::checkReachability()
{
    std::vector<std::string> unreachable;
    if (!m_isDelegate)
        return unreachable;
    const auto now = m_clock.now();
    for (auto& [name, peer] : m_peers) {
        auto summary = m_summaries.contains(name) ? m_summaries[name] : domain_summary { .name = name };
        const bool timedOut = now - peer.lastReceived > interval(peer) * m_options.missedDigests;
        if (timedOut && !peer.declaredUnreachable) {
            peer.declaredUnreachable = true;
            if (!summary.reachable)
                continue;
            summary.reachable = false;
            publish(std::move(summary));
            unreachable.push_back(name);
        } else if (!timedOut && !summary.reachable) {
            summary.reachable = true;
            publish(std::move(summary));
        }
    }
    return unreachable;
}

bool domain_exchange::isReachable(std::string_view domain) const
{
    const auto known = m_summaries.find(domain);
    return known == m_summaries.end() || known->second.reachable;
}

domain_summary domain_exchange::ownSummary() const
{
    const auto known = m_summaries.find(m_self.failureDomain);
    return known == m_summaries.end() ? domain_summary { .name = m_self.failureDomain } : known->second;
}

bool domain_exchange::updateOwnSummary(std::uint64_t ownVersion)
{
    if (!m_isFirst)
        return false;
    domain_summary summary { .name = m_self.failureDomain, .lowestVersion = ownVersion };
    for (const auto* known : m_table.liveMembersOf(m_self.failureDomain)) {
        if (known->info.state == member_state::Unreachable)
            continue;
        summary.lowestVersion = std::min(summary.lowestVersion, known->info.configVersion);
        summary.behind += known->info.configVersion < ownVersion ? 1 : 0;
    }
    const auto known = m_summaries.find(m_self.failureDomain);
    if (known != m_summaries.end() && sameContent(known->second, summary))
        return false;
    publish(std::move(summary));
    return true;
}

std::vector<domain_summary> domain_exchange::piggyback(std::size_t maxCount)
{
    std::vector<std::pair<unsigned, std::string_view>> order;
    for (const auto& [name, sent] : m_pendingSummaries)
        order.emplace_back(sent, name);
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), maxCount));
    std::vector<domain_summary> out;
    for (const auto& [sent, name] : order) {
        const auto pending = m_pendingSummaries.find(name);
        out.push_back(m_summaries.find(name)->second);
        if (++pending->second >= summarySends)
            m_pendingSummaries.erase(pending);
    }
    return out;
}

} // namespace marigold::control
