#include "relay_server.h"

#include "events.h"
#include <relay/message/http_status.h>

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

hedge_policy::options hedgingOf(const relay_options& options)
{
    hedge_policy::options hedging = options.hedging;
    hedging.process = options.process;
    return hedging;
}

constexpr base::duration housekeepingInterval = std::chrono::milliseconds(500);

/// Interval of the check for requests at unresponsive targets.
constexpr base::duration responsivenessCheckInterval = std::chrono::milliseconds(100);

/// Timer delay above which the process is considered to have been paused. The delay under load is far
/// smaller.
constexpr base::duration pauseThreshold = std::chrono::milliseconds(700);
constexpr std::int64_t microsecondsPerMillisecond = 1000;

// The fetches of a process that is cut off must have ended when the others free context that only it uses.
constexpr base::duration longestFetch = std::chrono::milliseconds(1000);
constexpr base::duration transitMargin = std::chrono::milliseconds(500);
static_assert(maxRegistrationAge + longestFetch + transitMargin
    <= missingProcessGrace + weights_in_use::lapseGrace + context_reclaimer::options().freeDelay);

} // namespace

relay_server::relay_server(net::event_loop& loop, const base::clock& time, const base::event_log& log,
    relay_ports ports, relay_options opts)
    : m_loop(loop)
    , m_clock(time)
    , m_log(log)
    , m_ports(ports)
    , m_options(std::move(opts))
    , m_guard(loop, time,
          { .memory = m_options.memory,
              .sockets = m_options.sockets,
              .refusalFields = [this](const message_head& head,
                                   base::duration retryAfter) { return refusalFields(head, retryAfter); },
              .report = [this](limit_action action) { reportLimit(action); } })
    , m_pool(loop, time,
          { .maxConnections = m_guard.maxTargets(),
              .onLimited = [this] { m_guard.count(limit_action::TargetConnectionRefused); },
              .onStrayBytes =
                  [this](const net::endpoint& target, stray_place place) {
                      m_log.write(events::strayBytes,
                          { { "target", target.text() }, { "place", std::string(nameOf(place)) } });
                  } })
    , m_targets(time,
          { .process = m_options.process,
              .failureDomain = m_options.failureDomain,
              .coldFactor = m_options.coldFactor,
              .coldSlack = m_options.coldSlack,
              .loadReports = m_options.loadReports,
              .spread = m_options.spread })
    , m_chooser(time, m_targets,
          { .changeover = { .versionLimit = m_options.versionLimit }, .startGrace = m_options.startGrace })
    , m_probe(loop)
    , m_targetEnds(
          loop, time,
          [this](const net::endpoint& address, base::duration timeout, net::connection_probe::handler done) {
              m_probe.probe(address, timeout, std::move(done));
          },
          [this](const target_registration& target, std::string_view incarnation,
              const std::vector<lost_request>& requests) { targetEnded(target, incarnation, requests); },
          {})
    , m_quarantine(time,
          { .blocked = [this](const blocked_part& block) { partBlocked(block); },
              .released
              = [this](std::string_view part, std::string_view reason) { partReleased(part, reason); },
              .sound = [this](const sound_part& report) { m_quarantineExchange.partSound(report); } },
          m_options.quarantine)
    , m_catalog(time, { .mayFetch = [this] { return isKnownToOthers(); } })
    , m_waitQueue(loop, time, {})
    , m_metrics(ports.metrics)
    , m_store(ports.store, m_metrics)
    , m_retryBudgets(
          { .process = m_options.process, .share = m_options.retryShare, .slack = m_options.retrySlack })
    , m_admission(m_options.admissionEnabled
              ? std::make_unique<admission_control>(time, m_random, admission_control::options {})
              : nullptr)
    , m_hedging(time, hedgingOf(m_options))
    , m_services { .loop = loop,
        .clock = time,
        .random = m_random,
        .log = log,
        .dialect = ports.dialect,
        .pool = m_pool,
        .targets = m_targets,
        .chooser = m_chooser,
        .targetEnds = m_targetEnds,
        .quarantine = m_quarantine,
        .context = m_catalog,
        .waitQueue = m_waitQueue,
        .metrics = m_metrics,
        .retryBudgets = m_retryBudgets,
        .rollouts = m_rollouts,
        .admission = m_admission.get(),
        .hedging = m_hedging,
        .startedAt = time.now(),
        .claimTrial = [this](std::string_view part, int number,
                          std::function<void(bool)> done) { claimTrial(part, number, std::move(done)); },
        .config = nullptr }
    , m_follower(m_store, ports.decoder, loop, time, m_random, log, *this,
          { .changeLimit = m_options.changeLimit, .process = m_options.process })
    , m_presence(m_store, ports.decoder, loop, time, m_random,
          { .process = m_options.process, .address = m_options.peers })
    , m_quarantineExchange(m_quarantine, m_store, ports.decoder, loop, time, m_random,
          [this](const net::endpoint& to, std::string_view bytes) { m_datagrams.send(to, bytes); },
          { .process = m_options.process })
    , m_lease(m_store, ports.decoder, loop, time, m_random, log,
          { .process = m_options.process,
              .takeoverDelay
              = m_options.targetsCheckTokens ? base::duration::zero() : m_options.orderTakeoverDelay,
              .renewsLease =
                  [this](std::uint64_t lease) {
                      return lease != 0
                          && (lease == m_presence.lease() || lease == m_quarantineExchange.lease());
                  } })
    , m_rollout(m_targets, m_lease, ports.control, loop, time, log,
          { .process = m_options.process, .changeover = { .versionLimit = m_options.versionLimit } })
    , m_rollouts(m_targets, m_store, ports.decoder, m_lease, loop, time, m_random, log, m_metrics,
          { .process = m_options.process, .exposure = m_options.exposure, .rollback = m_options.rollback })
    , m_contextDistributor(
          [this](const net::endpoint& to, std::string_view bytes) { m_datagrams.send(to, bytes); },
          { .process = m_options.process })
    , m_contextFollower(m_catalog, ports.context, m_contextDistributor, loop, time, {})
    , m_contextReclaimer(m_catalog, m_contextFollower, ports.context, m_lease, m_targets, time, log, {})
    , m_excluded(time)
    , m_datagrams(loop, [this](const net::endpoint&, std::string_view bytes) { datagramReceived(bytes); })
    , m_paceExchange(m_targets, time, {})
    , m_loadExchange(m_targets, loop, time,
          [this](const net::endpoint& to, std::string_view bytes) { m_datagrams.send(to, bytes); },
          { .process = m_options.process,
              .takeFetchOutcomes = [this] { return m_catalog.takeFetchOutcomes(); },
              .fetchOutcomesReceived
              = [this](std::span<const fetch_outcomes> outcomes) { m_catalog.recordFetchOutcomes(outcomes); },
              .versionAges = [this] { return m_chooser.ages(); },
              .versionAgesReceived
              = [this](std::span<const version_age> ages) { m_chooser.agesReported(ages); },
              .sections = digestSections() })
    , m_callers(
          loop, m_guard, m_options.callers,
          [this](caller_connection& caller, message_head&& head, content_buffer&& body) {
              requestReceived(caller, std::move(head), std::move(body));
          },
          m_guard.maxCallers())
    , m_readiness(loop, m_guard, m_options.readiness,
          [this](caller_connection& caller, message_head&&, content_buffer&&) { answerReadiness(caller); })
    , m_metricsListener(loop, m_guard, m_options.metrics,
          [this](caller_connection& caller, message_head&& head, content_buffer&&) {
              if (head.target == "/quarantine")
                  answerQuarantine(caller);
              else if (head.target == "/admission")
                  answerAdmission(caller);
              else
                  answerMetrics(caller);
          })
{
    m_waitQueue.setPolicy(m_admission.get());
}

relay_server::~relay_server() = default;

base::result<void> relay_server::start()
{
    for (caller_listener* listener : { &m_callers, &m_readiness, &m_metricsListener })
        if (auto listening = listener->listen(); !listening)
            return listening;
    if (auto bound = m_datagrams.bind(m_options.peers); !bound)
        return bound;
    m_targets.setNoticeObserver({ .leaves
        =
            [this](const target_registration& target) {
                m_log.write(events::targetChanged,
                    { { "target", target.id }, { "service", target.service }, { "change", "leaves" } });
                m_pool.closeIdle(target.address);
                m_waitQueue.scheduleDispatch();
            },
        .pauses =
            [this](const target_registration& target, base::duration pause) {
                m_log.write(events::targetChanged,
                    { { "target", target.id }, { "service", target.service }, { "change", "asks_for_pause" },
                        { "pause_ms", std::to_string(pause.count() / microsecondsPerMillisecond) } });
                m_waitQueue.scheduleDispatch();
            } });
    m_targets.setFirstPaceObserver([this](const target_registration& target) {
        m_log.write(events::choicesSpread, { { "service", target.service }, { "target", target.id } });
    });
    m_store.setEraObserver([this](std::uint64_t before, std::uint64_t now) { eraRaised(before, now); });
    m_guard.start();
    m_loadExchange.start();
    m_quarantineExchange.start();
    m_loop.runEvery(housekeepingInterval, [this] { runHousekeeping(); });
    m_loop.runEvery(responsivenessCheckInterval, [this] { checkResponsiveness(); });
    m_follower.start();
    m_presence.start();
    m_log.write(events::processState, { { "state", "started" } });
    m_log.write(events::limitsInForce,
        { { "budget_mb", std::to_string(m_options.memory.budget >> 20) },
            { "sockets", std::to_string(m_options.sockets) },
            { "callers", std::to_string(m_guard.maxCallers()) },
            { "targets", std::to_string(m_guard.maxTargets()) } });
    return {};
}

std::vector<digest_section> relay_server::digestSections()
{
    digest_section watched { .id = digest_section_id::StoreRevision,
        .write =
            [this] {
                const watch_schedule::report own = m_follower.schedule().own();
                return own.position == 0 ? std::string() : encode(own);
            },
        .read =
            [this](std::string_view process, std::string_view bytes) {
                if (const auto report = decodeWatchReport(bytes))
                    m_follower.schedule().reportReceived(process, *report);
            } };
    std::vector<digest_section> sections { std::move(watched), m_rollouts.section(),
        m_paceExchange.section() };
    sections.push_back({ .id = digest_section_id::HedgedAttempts,
        .write = [this] { return m_hedging.takeReport(); },
        .read = [this](std::string_view process,
                    std::string_view bytes) { m_hedging.reportReceived(process, bytes); } });
    if (m_admission)
        sections.push_back({ .id = digest_section_id::Demand,
            .write = [this] { return m_admission->writeSection(); },
            .read = [this](std::string_view process,
                        std::string_view bytes) { m_admission->readSection(process, bytes); } });
    return sections;
}

void relay_server::requestReceived(caller_connection& caller, message_head&& head, content_buffer&& body)
{
    if (m_noticePeriodOver) {
        constexpr base::duration retryAfter = std::chrono::milliseconds(50);
        const auto request = m_ports.dialect.readRequest(head);
        const std::string id = request ? request->attemptId : std::string();
        caller.answer(http_status::serviceUnavailable, m_ports.dialect.ownAnswerFields(id, retryAfter), {});
        m_metrics.requestEnded({ .outcome = relay_outcome::OwnAnswer,
            .status = http_status::serviceUnavailable,
            .reason = "stopping" });
        m_log.write(events::requestEnded,
            { { "request", id }, { "outcome", std::string(nameOf(relay_outcome::OwnAnswer)) },
                { "status", std::to_string(http_status::serviceUnavailable) },
                { "verdict", std::string(base::nameOf(base::verdict::NotRun)) }, { "attempts", "0" },
                { "age_ms", "0" }, { "reason", "stopping" } });
        return;
    }
    auto owned = std::make_unique<relay_session>(
        m_services, caller, std::move(head), std::move(body), [this](relay_session& ended) {
            // The session is still on the stack.
            m_loop.runAfter(base::duration::zero(), [this, key = &ended] {
                m_sessions.erase(key);
                finishDrainIfIdle();
            });
        });
    relay_session* session = owned.get();
    m_sessions.emplace(session, std::move(owned));
    session->start();
}

net::http_headers relay_server::refusalFields(const message_head& head, base::duration retryAfter) const
{
    const auto request = m_ports.dialect.readRequest(head);
    return m_ports.dialect.ownAnswerFields(request ? request->attemptId : std::string(), retryAfter);
}

void relay_server::reportLimit(limit_action action)
{
    constexpr std::size_t bytesPerMegabyte = 1 << 20;
    const net::memory_account& memory = m_guard.memory();
    const bool isMemory = action == limit_action::RequestRefused || action == limit_action::ConnectionClosed;
    m_log.write(isMemory ? events::memoryShort : events::descriptorsShort,
        { { "action", std::string(nameOf(action)) },
            { "held_mb", std::to_string(memory.held() / bytesPerMegabyte) },
            { "budget_mb", std::to_string(memory.limits().budget / bytesPerMegabyte) },
            { "callers", std::to_string(m_callers.connections()) },
            { "targets", std::to_string(m_pool.open()) } });
}

void relay_server::runHousekeeping()
{
    m_targets.removeExpired();
    if (m_excluded.removeExpired())
        applyExcluded();
    removeMissingProcesses();
    m_targets.setIsolated(!m_follower.isReachable());
    m_rollouts.setStoreReachable(m_follower.isReachable());
    m_lease.removeStrayKey();
    m_rollout.step();
    m_contextReclaimer.sweep();
    m_quarantine.removeExpired();
    if (m_admission)
        m_admission->removeExpired();
}

void relay_server::checkResponsiveness()
{
    const base::time_point now = m_clock.now();
    if (m_lastResponsivenessCheck != base::time_point {})
        m_loopLag = std::max(m_loopLag, now - m_lastResponsivenessCheck - responsivenessCheckInterval);
    if (m_lastResponsivenessCheck != base::time_point {} && now - m_lastResponsivenessCheck >= pauseThreshold)
        m_log.write(events::processPaused,
            { { "paused_ms",
                std::to_string((now - m_lastResponsivenessCheck).count() / microsecondsPerMillisecond) } });
    m_lastResponsivenessCheck = now;
    std::vector<relay_session*> sessions;
    for (const auto& [key, session] : m_sessions)
        sessions.push_back(key);
    for (relay_session* session : sessions)
        session->checkUnresponsive();
    m_follower.checkWatch();
}

void relay_server::setConfig(std::shared_ptr<const relay_config> config)
{
    if (m_services.config && config->version() <= m_services.config->version())
        return;
    if (!m_services.config)
        m_log.write(events::processState, { { "state", "ready" } });
    m_services.config = config;
    m_configSince = m_clock.now();
    m_callers.setLimits(config->limits());
    m_targets.setConfig(config);
    m_catalog.setConfig(*config);
    m_contextFollower.refresh();
    m_log.write(events::configInForce, { { "version", std::to_string(config->version()) } });
}

void relay_server::applyExcluded()
{
    const std::vector<std::string> domains = m_excluded.list();
    m_targets.setExcludedDomains(domains);
    std::string list;
    for (const std::string& domain : domains)
        list += (list.empty() ? "" : ",") + domain;
    m_log.write(events::domainsExcluded, { { "domains", list } });
}

void relay_server::applyProcesses()
{
    std::vector<std::string_view> ids;
    for (const auto& [id, address] : m_processes)
        ids.push_back(id);
    for (const auto& [id, since] : m_missingProcesses)
        ids.push_back(id);
    m_targets.setProcesses(ids);
    m_retryBudgets.setProcesses(ids);
    m_follower.setProcesses(ids);
    m_presence.setProcesses(ids);
    m_rollouts.setProcesses(ids);
    m_hedging.limit().setProcesses(ids);
    m_loadExchange.setPeers(m_processes);
    m_paceExchange.setReceivers(m_loadExchange.groupPeers());
    m_contextDistributor.setProcesses(m_processes);
    m_quarantineExchange.setPeers(m_processes);
    if (m_admission)
        m_admission->setReceivers(digestReceivers());
}

void relay_server::removeMissingProcesses()
{
    const base::time_point limit = m_clock.now() - missingProcessGrace;
    if (std::erase_if(m_missingProcesses, [limit](const auto& entry) { return entry.second <= limit; }) > 0)
        applyProcesses();
}

bool relay_server::isKnownToOthers() const
{
    return m_presence.isKnownToOthers(maxRegistrationAge) || m_loadExchange.isKnownToAll(maxRegistrationAge);
}

void relay_server::datagramReceived(std::string_view bytes)
{
    // Datagrams are hints, and the port is open to any sender: invalid ones are ignored without a log line.
    if (const auto digest = decodeContextDigest(bytes))
        return m_contextFollower.digestReceived(*digest);
    if (bytes.starts_with(quarantineDigestKind))
        return m_quarantineExchange.received(bytes);
    m_loadExchange.received(bytes);
}

void relay_server::targetEnded(const target_registration& target, std::string_view incarnation,
    const std::vector<lost_request>& requests)
{
    if (requests.empty())
        return;
    const auto begun = std::ranges::count_if(requests, &lost_request::answerBegun);
    m_log.write(events::targetEnded,
        { { "target", target.id }, { "requests", std::to_string(requests.size()) },
            { "begun", std::to_string(begun) }, { "events", std::to_string(requests.front().events) },
            { "parts", fmt::format("{}", fmt::join(requests.front().sharedParts, ",")) } });
    // One that waited is no evidence beside one that the target had begun to answer.
    for (const lost_request& request : requests)
        if (request.answerBegun || begun == 0)
            m_quarantineExchange.targetEnded({ .target = std::string(incarnation),
                .parts = request.sharedParts,
                .answerBegun = request.answerBegun,
                .events = request.events });
}

void relay_server::partBlocked(const blocked_part& block)
{
    m_log.write(events::partBlocked,
        { { "part", block.part }, { "with", fmt::format("{}", fmt::join(block.with, ",")) },
            { "ends", std::to_string(block.ends) } });
    m_quarantineExchange.partBlocked(block);
    // Requests that wait at a target end it when it begins to answer them. The block may have been found
    // inside one of the sessions.
    m_loop.runAfter(base::duration::zero(), [this] {
        std::vector<relay_session*> sessions;
        for (const auto& [key, session] : m_sessions)
            sessions.push_back(key);
        for (relay_session* session : sessions)
            session->cancelBlocked();
    });
}

void relay_server::partReleased(std::string_view part, std::string_view reason)
{
    m_log.write(events::partReleased, { { "part", std::string(part) }, { "reason", std::string(reason) } });
}

void relay_server::claimTrial(std::string_view part, int number, std::function<void(bool)> done)
{
    m_quarantineExchange.claimTrial(
        part, number, [this, name = std::string(part), number, done = std::move(done)](bool claimed) {
            m_log.write(events::partTried,
                { { "part", name }, { "number", std::to_string(number) },
                    { "claimed", claimed ? "yes" : "no" } });
            done(claimed);
        });
}

std::size_t relay_server::digestReceivers() const
{
    const std::size_t others = m_processes.size() - (m_processes.contains(m_options.process) ? 1 : 0);
    const auto inGroups = std::ranges::count_if(m_processes, [this](const auto& peer) {
        return peer.first != m_options.process && m_targets.groups().sharesGroupWith(peer.first);
    });
    // A round also reaches some of the other peers, by their own rate.
    constexpr std::size_t othersPerRound = 4;
    return std::min(others, static_cast<std::size_t>(inGroups) + othersPerRound);
}

void relay_server::settingsChanged()
{
    m_log.write(events::processState, { { "state", "settings_changed_until_restart" } });
}

} // namespace marigold::relay
