#include "domain_exchange.h"

#include <algorithm>

namespace marigold::control {

namespace {

constexpr std::size_t recordsPerDigest = 18;
constexpr unsigned summarySends = 8; ///< Times that one process piggybacks a summary: 4 times log10 of 79.
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
    return peer.sameRegion ? m_options.sameRegion : m_options.otherRegion;
}

void domain_exchange::refreshPeers()
{
    const auto now = m_clock.now();
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + refreshInterval;
    const auto delegates = m_table.delegatesOf(m_self.failureDomain);
    const auto own = std::find(delegates.begin(), delegates.end(), m_self.id);
    const bool was = m_isDelegate;
    m_isDelegate = own != delegates.end();
    m_rank = static_cast<std::size_t>(own - delegates.begin());
    m_isFirst = m_isDelegate && m_rank == 0;
    for (const auto& [id, known] : m_table.all()) {
        const auto& info = known.info;
        if (info.failureDomain == m_self.failureDomain || m_peers.contains(info.failureDomain))
            continue;
        m_peers[info.failureDomain] = { .sameRegion = info.region == m_self.region, .lastHeard = now };
    }
    if (!m_isDelegate || was)
        return;
    for (auto& [name, peer] : m_peers) {
        peer.confirmed = 0;
        peer.lastHeard = now;
        peer.declared = false;
        peer.nextDigest = now;
    }
}

std::vector<domain_exchange::outgoing> domain_exchange::due()
{
    refreshPeers();
    std::vector<outgoing> out;
    if (!m_isDelegate)
        return out;
    const auto now = m_clock.now();
    for (auto& [name, peer] : m_peers) {
        if (now < peer.nextDigest)
            continue;
        peer.nextDigest = now + interval(peer);
        if (now >= peer.nextResend) {
            peer.confirmed = 0;
            peer.nextResend = now + m_options.resend;
        }
        if (const auto delegates = m_table.delegatesOf(name); !delegates.empty())
            out.push_back(digestFor(name, peer, delegates));
    }
    return out;
}

domain_exchange::outgoing domain_exchange::digestFor(
    const std::string& domain, peer_domain& peer, const std::vector<std::string>& delegates)
{
    std::vector<const tracked_member*> changed;
    for (const auto& [id, known] : m_table.all())
        if (known.info.failureDomain == m_self.failureDomain && known.change > peer.confirmed)
            changed.push_back(&known);
    std::sort(changed.begin(), changed.end(),
        [](const tracked_member* a, const tracked_member* b) { return a->change < b->change; });
    membership_message message { .type = message_type::Digest, .upTo = m_table.lastChange() };
    if (changed.size() > recordsPerDigest) {
        changed.resize(recordsPerDigest);
        message.upTo = changed.back()->change;
    }
    for (const auto* known : changed)
        message.updates.push_back(known->info);
    message.domains.push_back(ownSummary());
    // The two delegates of a domain alternate over the two of the other, so that a broken pair matters
    // little.
    message.subject = domain;
    return { .to = delegates[(m_rank + peer.round++) % delegates.size()], .message = std::move(message) };
}

void domain_exchange::hurry()
{
    for (auto& [name, peer] : m_peers)
        peer.nextDigest = {};
}

void domain_exchange::heard(const std::string& domain, const std::vector<domain_summary>& summaries)
{
    const auto peer = m_peers.find(domain);
    if (peer != m_peers.end()) {
        peer->second.lastHeard = m_clock.now();
        peer->second.declared = false;
    }
    for (auto summary : summaries) {
        if (summary.name != domain)
            continue;
        // Stamps order the summaries within one domain, so that another domain's stamp is replaced.
        summary.reachable = true;
        const auto known = m_summaries.find(domain);
        if (known == m_summaries.end() || !sameContent(known->second, summary))
            publish(std::move(summary));
    }
}

membership_message domain_exchange::answer(const membership_message& digest)
{
    heard(digest.sender.failureDomain, digest.domains);
    return { .type = message_type::DigestAck,
        .sequence = digest.sequence,
        .upTo = digest.upTo,
        .domains = { ownSummary() } };
}

void domain_exchange::handleAck(const membership_message& ack)
{
    heard(ack.sender.failureDomain, ack.domains);
    const auto peer = m_peers.find(ack.sender.failureDomain);
    if (peer != m_peers.end() && ack.upTo <= m_table.lastChange())
        peer->second.confirmed = std::max(peer->second.confirmed, ack.upTo);
}

bool domain_exchange::merge(const domain_summary& summary)
{
    m_stamp = std::max(m_stamp, summary.stamp);
    auto& known = m_summaries[summary.name];
    if (!known.name.empty() && summary.stamp <= known.stamp)
        return false;
    known = summary;
    m_news[summary.name] = 0;
    return true;
}

void domain_exchange::publish(domain_summary summary)
{
    summary.stamp = m_stamp + 1;
    merge(summary);
}

std::vector<std::string> domain_exchange::checkReachability()
{
    std::vector<std::string> lost;
    if (!m_isDelegate)
        return lost;
    const auto now = m_clock.now();
    for (auto& [name, peer] : m_peers) {
        auto summary = m_summaries.contains(name) ? m_summaries[name] : domain_summary { .name = name };
        const bool silent = now - peer.lastHeard > interval(peer) * m_options.missedDigests;
        if (silent && !peer.declared) {
            peer.declared = true;
            if (!summary.reachable)
                continue;
            summary.reachable = false;
            publish(std::move(summary));
            lost.push_back(name);
        } else if (!silent && !summary.reachable) {
            summary.reachable = true;
            publish(std::move(summary));
        }
    }
    return lost;
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

void domain_exchange::updateOwnSummary(std::uint64_t ownVersion)
{
    if (!m_isFirst)
        return;
    domain_summary summary { .name = m_self.failureDomain, .lowestVersion = ownVersion };
    for (const auto* known : m_table.liveIn(m_self.failureDomain)) {
        if (known->info.state == member_state::Unreachable)
            continue;
        summary.lowestVersion = std::min(summary.lowestVersion, known->info.configVersion);
        summary.behind += known->info.configVersion < ownVersion ? 1 : 0;
    }
    const auto known = m_summaries.find(m_self.failureDomain);
    if (known == m_summaries.end() || !sameContent(known->second, summary))
        publish(std::move(summary));
}

std::vector<domain_summary> domain_exchange::piggyback(std::size_t most)
{
    std::vector<domain_summary> out;
    for (auto news = m_news.begin(); news != m_news.end() && out.size() < most;) {
        out.push_back(m_summaries[news->first]);
        news = ++news->second >= summarySends ? m_news.erase(news) : std::next(news);
    }
    return out;
}

} // namespace marigold::control
