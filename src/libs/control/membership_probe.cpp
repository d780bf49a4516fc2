#include "events.h"
#include "membership.h"

#include <algorithm>
#include <cmath>
#include <set>

/// \file
/// Failure detection in `membership`: probes, suspicion and removal.

namespace marigold::control {

namespace {

/// Members that are pinged before a removal: all of a small domain, a sample of a large one. By
/// regular probes alone, the members on the small side of a partition of a large domain would not suspect
/// half of the other side in time.
constexpr std::size_t verificationSample = 16;
/// A smaller sample does not indicate a fault of this process's own network.
constexpr std::size_t minVerified = 2;
constexpr auto verificationTimeout = std::chrono::milliseconds(500);
constexpr auto suspectScanInterval = std::chrono::milliseconds(500);
constexpr auto removedProbeInterval = std::chrono::seconds(5);

} // namespace

void membership::tickProbe(base::time_point now)
{
    std::erase_if(m_relays, [&](const relay& pending) { return pending.until <= now; });
    if (m_probe.active && !m_probe.answered && !m_probe.indirect
        && now - m_probe.started >= m_options.probeTimeout) {
        m_probe.indirect = true;
        for (const auto& id : randomMembers(m_options.indirectProbes, m_probe.target))
            send(id,
                { .type = message_type::PingRequest,
                    .sequence = m_probe.sequence,
                    .subject = m_probe.target });
    }
    if (now >= m_nextProbe) {
        m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now);
        endProbe(now);
        startProbe(now);
    }
    if (now >= m_nextRemovedProbe) {
        m_nextRemovedProbe = now + removedProbeInterval;
        m_table.expireTombstones(now - m_options.tombstoneLifetime);
        probeRemoved();
    }
}

void membership::startProbe(base::time_point now)
{
    const std::string target = nextProbeTarget();
    if (target.empty())
        return;
    m_probe = { .sequence = ++m_sequence, .target = target, .started = now, .active = true };
    send(target, { .type = message_type::Ping, .sequence = m_probe.sequence });
}

void membership::endProbe(base::time_point now)
{
    if (!m_probe.active)
        return;
    m_probe.active = false;
    if (!m_probe.answered)
        suspect(m_probe.target, now);
}

/// Returns the next member to probe. Members are probed in shuffled rounds, so that each is probed once per
/// round.
std::string membership::nextProbeTarget()
{
    while (!m_priorityProbes.empty()) {
        std::string id = m_priorityProbes.back();
        m_priorityProbes.pop_back();
        if (const auto* known = m_table.find(id); known && known->info.state != member_state::Dead)
            return id;
    }
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            std::string id = m_probeOrder.back();
            m_probeOrder.pop_back();
            const auto* known = m_table.find(id);
            if (known && known->info.state != member_state::Dead)
                return id;
        }
        for (const auto* known : m_table.membersOf(m_self.failureDomain))
            if (known->info.id != m_self.id && known->info.state != member_state::Dead)
                m_probeOrder.push_back(known->info.id);
        for (std::size_t i = m_probeOrder.size(); i > 1; --i)
            std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.below(i)]);
    }
    return {};
}

/// Pings a random removed member. After a partition, two sides that removed each other only rejoin if one of
/// them contacts the other.
void membership::probeRemoved()
{
    std::vector<const std::string*> removed;
    for (const auto* known : m_table.membersOf(m_self.failureDomain))
        if (known->info.state == member_state::Dead)
            removed.push_back(&known->info.id);
    if (!removed.empty())
        send(*removed[m_random.below(removed.size())],
            { .type = message_type::Ping, .sequence = ++m_sequence });
}

std::vector<std::string> membership::randomMembers(std::size_t count, const std::string& except)
{
    std::vector<std::string> out;
    if (count == 0)
        return out;
    auto live = m_table.liveMembersOf(m_self.failureDomain);
    std::erase_if(live, [&](const tracked_member* known) {
        return known->info.id == m_self.id || known->info.id == except
            || known->info.state == member_state::Unreachable;
    });
    for (std::size_t i = 0; i < std::min(count, live.size()); ++i) {
        std::swap(live[i], live[i + m_random.below(live.size() - i)]);
        out.push_back(live[i]->info.id);
    }
    return out;
}

void membership::handlePing(const membership_message& message)
{
    send(message.sender.id, { .type = message_type::Ack, .sequence = message.sequence });
}

void membership::handleAck(const membership_message& message)
{
    if (m_probe.active && message.sequence == m_probe.sequence) {
        m_probe.answered = true;
        return;
    }
    if (m_verification.unanswered.erase(message.sequence) > 0)
        return;
    const auto pending = std::find_if(m_relays.begin(), m_relays.end(),
        [&](const relay& known) { return known.sequence == message.sequence; });
    if (pending == m_relays.end())
        return;
    const relay answered = *pending;
    m_relays.erase(pending);
    send(answered.requester, { .type = message_type::Ack, .sequence = answered.originalSequence });
}

void membership::handlePingRequest(const membership_message& message)
{
    constexpr std::size_t maxRelays = 64;
    if (message.subject.empty() || m_relays.size() >= maxRelays || !m_table.find(message.subject))
        return;
    m_relays.push_back({ .sequence = ++m_sequence,
        .originalSequence = message.sequence,
        .requester = message.sender.id,
        .until = m_clock.now() + m_options.probeInterval });
    send(message.subject, { .type = message_type::Ping, .sequence = m_sequence });
}

void membership::suspect(const std::string& id, base::time_point now)
{
    auto* known = m_table.find(id);
    if (!known)
        return;
    // A leaving member stops without refuting; it is removed as soon as it no longer responds.
    const bool leaving = known->info.state == member_state::Leaving;
    if (!leaving && known->info.state != member_state::Alive)
        return;
    m_table.setState(id, leaving ? member_state::Dead : member_state::Suspect, now);
    known->suspectUntil = now + suspicionTimeout();
    m_queue.push(id, true);
    m_log.write(leaving ? events::memberRemoved : events::memberSuspect, { { "member", id } });
    stateChanged(id, true);
}

base::duration membership::suspicionTimeout() const
{
    const auto members = m_table.countLive(m_self.failureDomain);
    const double factor = std::max(1.0, std::log10(static_cast<double>(members)));
    return base::duration(
        static_cast<std::int64_t>(factor * static_cast<double>(m_options.baseSuspicionTimeout.count())));
}

void membership::startVerification(base::time_point now)
{
    auto live = m_table.liveMembersOf(m_self.failureDomain);
    std::erase_if(live, [this](const tracked_member* known) { return known->info.id == m_self.id; });
    m_verification = { .active = true, .until = now + verificationTimeout };
    m_verification.sampleSize = std::min(verificationSample, live.size());
    for (std::size_t i = 0; i < m_verification.sampleSize; ++i) {
        std::swap(live[i], live[i + m_random.below(live.size() - i)]);
        m_verification.unanswered[++m_sequence] = live[i]->info.id;
    }
    for (const auto& [sequence, id] : m_verification.unanswered)
        send(id, { .type = message_type::Ping, .sequence = sequence });
}

/// Returns true if removals must be suspended: more than half of the domain is suspect or did not respond, so
/// that a network partition or a fault of this process's network is the more likely cause.
bool membership::endVerification()
{
    std::set<std::string_view> unresponsive;
    for (const auto& [sequence, id] : m_verification.unanswered)
        unresponsive.insert(id);
    const bool mostOfSampleFailed = m_verification.sampleSize >= minVerified
        && 2 * m_verification.unanswered.size() > m_verification.sampleSize;
    std::size_t others = 0;
    for (const auto* known : m_table.liveMembersOf(m_self.failureDomain)) {
        if (known->info.id == m_self.id)
            continue;
        ++others;
        if (known->info.state != member_state::Alive)
            unresponsive.insert(known->info.id);
    }
    const bool suspendRemovals = mostOfSampleFailed || 2 * unresponsive.size() > others;
    m_verification = {};
    return suspendRemovals;
}

void membership::tickSuspects(base::time_point now)
{
    if (m_verification.active && now >= m_verification.until) {
        m_removalsSuspended = endVerification();
        resolveSuspects(now);
    }
    if (now < m_nextSuspectScan)
        return;
    m_nextSuspectScan = now + suspectScanInterval;
    if (m_exchange.updateOwnSummary(m_self.configVersion))
        m_exchange.makeAllDue();
    for (const auto& name : m_exchange.checkReachability())
        m_log.write(events::domainUnreachable, { { "domain", name } });
    if (m_verification.active)
        return;
    for (const auto* known : m_table.liveMembersOf(m_self.failureDomain)) {
        const bool expired = known->info.state == member_state::Suspect && known->suspectUntil <= now;
        const bool recheck = known->info.state == member_state::Unreachable && m_nextRecheck <= now;
        if (expired || recheck)
            return startVerification(now);
    }
}

void membership::resolveSuspects(base::time_point now)
{
    m_nextRecheck = now + suspicionTimeout();
    std::vector<std::string> changed;
    for (const auto* known : m_table.liveMembersOf(m_self.failureDomain)) {
        const bool expired = known->info.state == member_state::Suspect && known->suspectUntil <= now;
        if (expired || (known->info.state == member_state::Unreachable && !m_removalsSuspended))
            changed.push_back(known->info.id);
    }
    for (const auto& id : changed) {
        auto& known = *m_table.find(id);
        if (known.info.state == member_state::Unreachable) {
            m_table.setState(id, member_state::Suspect, now);
            known.suspectUntil = now + suspicionTimeout();
        } else {
            m_table.setState(id, m_removalsSuspended ? member_state::Unreachable : member_state::Dead, now);
            m_queue.push(id, true);
            m_log.write(m_removalsSuspended ? events::memberUnreachable : events::memberRemoved,
                { { "member", id } });
        }
        stateChanged(id, true);
    }
}

} // namespace marigold::control
