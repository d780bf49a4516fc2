#include "membership.h"

#include "events.h"

#include <algorithm>

namespace marigold::control {

namespace {

constexpr std::size_t headerBytes = 28; // IPv4 and UDP
constexpr std::size_t summariesPerMessage = 6;
constexpr std::size_t forwardFanout = 3;
constexpr std::size_t typicalRecordBytes = 48;

} // namespace

membership::membership(member self, datagram_port& port, const message_authenticator& authenticator,
    const base::clock& time, base::random_source& random, const base::event_log& log, options opts)
    : m_self(std::move(self))
    , m_port(port)
    , m_authenticator(authenticator)
    , m_clock(time)
    , m_random(random)
    , m_log(log)
    , m_options(opts)
    , m_exchange(m_self, m_table, time, opts.exchange)
    , m_lastTick(time.now())
    , m_rateStart(time.now())
{
    if (m_self.incarnation == 0)
        m_self.incarnation = static_cast<std::uint64_t>(time.wallNow().time_since_epoch().count());
    const auto now = time.now();
    // A random phase keeps processes that started together from probing simultaneously.
    m_nextProbe = now + base::duration(static_cast<std::int64_t>(random.below(opts.probeInterval.count())));
    m_nextRemovedProbe = now + opts.syncInterval / 6;
    m_nextSync = now;
    m_syncDelay = opts.joinInterval;
    updateOwnRecord();
}

void membership::join(std::vector<std::string> seeds)
{
    std::erase(seeds, m_self.id);
    m_seeds = std::move(seeds);
    m_joined = m_seeds.empty();
    m_syncDelay = m_options.joinInterval;
    m_nextSync = m_clock.now();
}

void membership::leave()
{
    m_self.state = member_state::Leaving;
    updateOwnRecord();
    sendNotices(2 * m_options.noticeFanout);
}

/// Stores the own record in the table, from which digests and gossip take it.
void membership::updateOwnRecord()
{
    if (m_table.merge(m_self, true, m_clock.now()) == table_change::State)
        m_queue.push(m_self.id, true);
}

void membership::tick()
{
    const auto now = m_clock.now();
    if (checkPause(now))
        return;
    updateTrafficRate(now);
    if (now >= m_nextLoad && loadClass(m_self.load) != m_announcedLoadClass) {
        m_nextLoad = now + m_options.loadInterval;
        m_announcedLoadClass = loadClass(m_self.load);
        ++m_self.loadSequence;
        updateOwnRecord();
        m_queue.push(m_self.id, false);
    }
    tickProbe(now);
    tickSuspects(now);
    tickSync(now);
    for (auto& digest : m_exchange.dueDigests())
        send(digest.to, std::move(digest.message));
    if (m_noticesLeft > 0 && now >= m_nextNotice)
        repeatNotices(now);
}

/// Detects a pause of this process. During a pause, it may have been removed, and its table has become stale.
bool membership::checkPause(base::time_point now)
{
    const bool paused = now - m_lastTick > m_options.pauseLimit;
    m_lastTick = now;
    if (!paused)
        return false;
    m_probe = {};
    m_relays.clear();
    m_verification = {};
    rejoin(m_self.incarnation + 1);
    return true;
}

void membership::rejoin(std::uint64_t incarnation)
{
    m_self.incarnation = incarnation;
    updateOwnRecord();
    m_log.write(events::selfRejoined, { { "incarnation", std::to_string(incarnation) } });
    m_nextSync = m_clock.now();
    m_syncDelay = m_options.joinInterval;
    if (m_listener.rejoined)
        m_listener.rejoined();
}

void membership::updateTrafficRate(base::time_point now)
{
    const base::duration span = now - m_rateStart;
    if (span < std::chrono::seconds(1))
        return;
    const std::uint64_t total = m_traffic.sentBytes + m_traffic.receivedBytes;
    m_traffic.bytesPerSecond
        = static_cast<double>(total - m_rateStartBytes) / std::chrono::duration<double>(span).count();
    m_rateStartBytes = total;
    m_rateStart = now;
}

void membership::send(const std::string& to, membership_message message)
{
    message.sender = m_self;
    const bool piggybacks = message.type != message_type::SyncRequest
        && message.type != message_type::SyncPage && message.type != message_type::Digest;
    if (piggybacks) {
        // A member that is considered suspect or dead is informed, so that it can refute.
        if (const auto* known = m_table.find(to); known && known->info.state != member_state::Alive)
            message.updates.push_back(known->info);
        const auto members = m_table.countLive(m_self.failureDomain);
        for (const auto& id : m_queue.take(m_options.maxPiggybacked - message.updates.size(), members))
            if (const auto* known = m_table.find(id); known && id != m_self.id && id != to)
                message.updates.push_back(known->info);
        message.domains = m_exchange.piggyback(summariesPerMessage);
    }
    std::string bytes = encode(message);
    while (bytes.size() > maxDatagramBytes && !message.updates.empty()) {
        message.updates.resize(message.updates.size()
            - std::min<std::size_t>(
                message.updates.size(), (bytes.size() - maxDatagramBytes) / typicalRecordBytes + 1));
        bytes = encode(message);
    }
    bytes += m_authenticator.sign(bytes);
    ++m_traffic.sentDatagrams;
    m_traffic.sentBytes += bytes.size() + headerBytes;
    m_port.send(to, bytes);
}

void membership::receive(std::string_view bytes)
{
    checkPause(m_clock.now());
    ++m_traffic.receivedDatagrams;
    m_traffic.receivedBytes += bytes.size() + headerBytes;
    constexpr auto tag = message_authenticator::tagBytes;
    std::optional<membership_message> message;
    if (bytes.size() > tag
        && m_authenticator.verify(bytes.substr(0, bytes.size() - tag), bytes.substr(bytes.size() - tag)))
        message = decodeMessage(bytes.substr(0, bytes.size() - tag));
    if (!message || message->sender.id == m_self.id) {
        ++m_traffic.refusedDatagrams;
        m_log.write(events::datagramRefused, { { "bytes", std::to_string(bytes.size()) } });
        return;
    }
    handle(*message);
}

void membership::handle(const membership_message& message)
{
    const bool spread = message.type != message_type::SyncPage;
    const auto* known = m_table.find(message.sender.id);
    const bool stale = known && known->info.incarnation > message.sender.incarnation;
    apply(message.sender, true, true);
    for (const auto& update : message.updates)
        apply(update, false, spread);
    // Stamps order summaries within the own domain only; summaries in digests are handled by the exchange.
    if (message.sender.failureDomain == m_self.failureDomain)
        for (const auto& summary : message.domains)
            m_exchange.merge(summary);
    switch (message.type) {
    case message_type::Ping:
        return handlePing(message);
    case message_type::Ack:
        return stale ? void() : handleAck(message);
    case message_type::PingRequest:
        return handlePingRequest(message);
    case message_type::Notice:
        return;
    case message_type::SyncRequest:
        return handleSyncRequest(message);
    case message_type::SyncPage:
        return handleSyncPage(message);
    case message_type::Digest:
        return m_exchange.handleDigest(message);
    }
}

void membership::apply(const member& record, bool direct, bool spread)
{
    if (record.id == m_self.id)
        return handleOwnRecord(record);
    member merged = record;
    // Each process of a domain decides individually whether a suspect member is kept.
    if (record.failureDomain == m_self.failureDomain && record.state == member_state::Unreachable)
        merged.state = member_state::Suspect;
    const auto now = m_clock.now();
    const auto change = m_table.merge(merged, direct, now);
    if (record.configVersion > m_self.configVersion && direct && m_listener.higherVersionReceived)
        m_listener.higherVersionReceived(record.configVersion, record.id);
    if (change == table_change::State) {
        auto& known = *m_table.find(record.id);
        if (known.info.state == member_state::Suspect)
            known.suspectUntil = now + suspicionTimeout();
        if (spread)
            m_queue.push(record.id, true);
        stateChanged(record.id, spread);
    } else if (change == table_change::Load && spread) {
        m_queue.push(record.id, false);
    }
}

/// Propagates a new state. The state of a leaving member must reach all processes within seconds, so it is
/// sent without waiting for the next probe.
void membership::stateChanged(const std::string& id, bool spread)
{
    const member info = m_table.find(id)->info;
    if (spread && info.state >= member_state::Leaving && info.failureDomain == m_self.failureDomain)
        m_exchange.makeAllDue();
    if (spread && info.state == member_state::Leaving)
        sendNotices(forwardFanout);
    if (m_listener.changed)
        m_listener.changed(info);
}

void membership::handleOwnRecord(const member& record)
{
    const bool ownIncarnationIsOlder = record.incarnation > m_self.incarnation;
    const bool contradictsOwnState = record.incarnation == m_self.incarnation && record.state > m_self.state;
    if (!ownIncarnationIsOlder && !contradictsOwnState)
        return;
    // The VM list reports this process as leaving, which must not be refuted.
    if (contradictsOwnState && record.state == member_state::Leaving) {
        m_self.state = member_state::Leaving;
        updateOwnRecord();
        if (m_listener.changed)
            m_listener.changed(m_self);
        return;
    }
    if (record.state == member_state::Dead)
        return rejoin(record.incarnation + 1);
    m_self.incarnation = record.incarnation + 1;
    updateOwnRecord();
}

void membership::sendNotices(std::size_t fanout)
{
    auto receivers = randomMembers(fanout, {});
    for (const auto& delegate : m_table.delegatesOf(m_self.failureDomain))
        if (delegate != m_self.id
            && std::find(receivers.begin(), receivers.end(), delegate) == receivers.end())
            receivers.push_back(delegate);
    for (const auto& id : receivers)
        send(id, { .type = message_type::Notice });
}

void membership::repeatNotices(base::time_point now)
{
    --m_noticesLeft;
    m_nextNotice = now + 2 * m_options.probeInterval;
    sendNotices(0);
}

void membership::setConfigVersion(std::uint64_t version)
{
    if (version <= m_self.configVersion)
        return;
    m_self.configVersion = version;
    updateOwnRecord();
    sendNotices(m_options.noticeFanout);
    // Two repeats to the delegates: a lost notice would keep the version from counting as in force.
    m_noticesLeft = 2;
    m_nextNotice = m_clock.now() + 2 * m_options.probeInterval;
}

void membership::setLoad(const load_summary& load)
{
    // Ramp and weights control rollouts, so that their changes are announced like a change of class.
    if (load.rampStep != m_self.load.rampStep || load.weightTag != m_self.load.weightTag)
        m_announcedLoadClass = -1;
    m_self.load = load;
    updateOwnRecord();
}

void membership::mergeVmList(const std::vector<platform::listed_vm>& list)
{
    const auto now = m_clock.now();
    std::map<std::string_view, bool> leaving;
    for (const auto& vm : list)
        leaving[vm.address] = vm.leaving;
    std::vector<std::string> changed;
    for (const auto& [id, known] : m_table.all()) {
        if (id == m_self.id || known.info.state >= member_state::Leaving)
            continue;
        const auto listed = leaving.find(ipOf(id));
        const bool suspected
            = stateOf(id) == member_state::Suspect || stateOf(id) == member_state::Unreachable;
        if (listed == leaving.end() ? suspected : listed->second)
            changed.push_back(id);
    }
    for (const auto& id : changed) {
        const bool listed = leaving.contains(ipOf(id));
        m_table.setState(id, listed ? member_state::Leaving : member_state::Dead, now);
        m_queue.push(id, true);
        stateChanged(id, true);
    }
}

void membership::observeRequest(const std::string& id, bool succeeded)
{
    auto* known = m_table.find(id);
    if (!known)
        return;
    if (succeeded) {
        known->requestFailures = 0;
        known->requestSucceededAt = m_clock.now();
        return;
    }
    if (++known->requestFailures == m_options.maxRequestFailures && known->info.state == member_state::Alive
        && known->info.failureDomain == m_self.failureDomain)
        m_priorityProbes.push_back(id);
}

member_state membership::stateOf(const std::string& id) const
{
    const auto* known = m_table.find(id);
    if (!known)
        return member_state::Dead;
    const auto& info = known->info;
    const bool reachable
        = info.failureDomain == m_self.failureDomain || m_exchange.isReachable(info.failureDomain);
    return reachable ? info.state : std::max(info.state, member_state::Unreachable);
}

bool membership::mayReceiveWork(const std::string& id) const
{
    const auto state = stateOf(id);
    if (state <= member_state::Suspect)
        return true;
    const auto* known = m_table.find(id);
    if (state != member_state::Unreachable || known->info.region != m_self.region)
        return false;
    const bool recent = known->requestSucceededAt != base::time_point {}
        && m_clock.now() - known->requestSucceededAt <= m_options.successWindow;
    return recent || known->requestFailures < m_options.maxRequestFailures;
}

in_force_report membership::versionsInForce() const
{
    in_force_report report { .lowestVersion = m_self.configVersion };
    for (const auto& [name, summary] : m_exchange.summaries())
        report.domains[name] = {
            .lowestVersion = summary.lowestVersion, .behind = summary.behind, .reachable = summary.reachable
        };
    for (const auto* known : m_table.liveMembersOf(m_self.failureDomain))
        if (known->info.configVersion < m_self.configVersion
            && known->info.state != member_state::Unreachable)
            report.behind.push_back(known->info.id);
    for (const auto& [name, domain] : report.domains)
        if (domain.reachable)
            report.lowestVersion = std::min(report.lowestVersion, domain.lowestVersion);
    return report;
}

bool membership::isDelegate() const
{
    return m_exchange.isDelegate();
}

} // namespace marigold::control
