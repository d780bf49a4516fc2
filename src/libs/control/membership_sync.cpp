#include "membership.h"

#include <algorithm>

/// \file
/// Table synchronisation in `membership`, by which processes join and gossip losses are repaired.

namespace marigold::control {

namespace {

constexpr std::size_t recordBytes = 44; // upper bound for a record without its id and location
constexpr std::size_t pageBytes = 1000; // leaves space for the sender's record

} // namespace

void membership::tickSync(base::time_point now)
{
    if (now < m_nextSync)
        return;
    m_nextSync = now + m_syncDelay;
    auto peers = randomMembers(1, {});
    // A process that has not joined, or that has no live peers, contacts its seeds.
    if ((!m_joined || peers.empty()) && !m_seeds.empty())
        peers = { m_seeds[m_random.below(m_seeds.size())] };
    if (peers.empty())
        return;
    membership_message request { .type = message_type::SyncRequest };
    for (const auto& domain : m_table.domains())
        request.hashes.push_back({ .name = domain, .hash = m_table.hashOf(domain) });
    send(peers.front(), std::move(request));
}

/// Replies with all members of one domain whose hash differs: the sender's domain first, otherwise a random
/// one.
void membership::handleSyncRequest(const membership_message& message)
{
    std::vector<std::string> differing;
    for (const auto& domain : m_table.domains()) {
        const auto same = [&](const domain_hash& item) {
            return item.name == domain && item.hash == m_table.hashOf(domain);
        };
        if (std::none_of(message.hashes.begin(), message.hashes.end(), same))
            differing.push_back(domain);
    }
    if (differing.empty())
        return send(message.sender.id, { .type = message_type::SyncPage });
    const auto own = std::find(differing.begin(), differing.end(), message.sender.failureDomain);
    sendPages(message.sender.id, own != differing.end() ? *own : differing[m_random.below(differing.size())]);
}

void membership::sendPages(const std::string& to, const std::string& domain)
{
    membership_message page { .type = message_type::SyncPage };
    std::size_t bytes = 0;
    for (const auto* known : m_table.membersOf(domain)) {
        const std::string& id = known->info.id;
        bytes += recordBytes + id.size();
        if (bytes > pageBytes || page.updates.size() == maxUpdates) {
            send(to, page);
            page.updates.clear();
            bytes = recordBytes + id.size();
        }
        page.updates.push_back(known->info);
    }
    if (!page.updates.empty())
        send(to, std::move(page));
}

void membership::handleSyncPage(const membership_message& message)
{
    if (!message.updates.empty())
        return;
    // The first peer without differences may have just started too, so that the delay grows gradually.
    m_joined = true;
    m_syncDelay = std::min(2 * m_syncDelay, m_options.syncInterval);
}

} // namespace marigold::control
