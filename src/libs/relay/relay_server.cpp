#include "relay_server.h"

#include "events.h"
#include "http_status.h"

#include <algorithm>
#include <csignal>

namespace marigold::relay {

namespace {

constexpr base::duration houseKeepingInterval = std::chrono::milliseconds(500);

/// Requests at a silent target are found this soon.
constexpr base::duration silenceInterval = std::chrono::milliseconds(100);

/// A process whose timers are this late was paused; a busy one is late by a small part of it.
constexpr base::duration pausedAfter = std::chrono::milliseconds(700);
constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

relay_server::relay_server(net::event_loop& loop, const base::clock& time, const base::event_log& log,
    relay_ports ports, relay_options opts)
    : m_loop(loop)
    , m_clock(time)
    , m_log(log)
    , m_ports(ports)
    , m_options(std::move(opts))
    , m_pool(loop, time, {})
    , m_targets(time,
          { .failureDomain = m_options.failureDomain,
              .coldFactor = m_options.coldFactor,
              .coldSlack = m_options.coldSlack })
    , m_chooser(time, m_targets, { .versionLimit = m_options.versionLimit })
    , m_catalog(time, {})
    , m_waiting(loop, time, {})
    , m_metrics(ports.metrics)
    , m_store(ports.store, m_metrics)
    , m_retryBudgets({ .share = m_options.retryShare, .slack = m_options.retrySlack })
    , m_services { .loop = loop,
        .clock = time,
        .random = m_random,
        .log = log,
        .dialect = ports.dialect,
        .pool = m_pool,
        .targets = m_targets,
        .chooser = m_chooser,
        .context = m_catalog,
        .waiting = m_waiting,
        .metrics = m_metrics,
        .retryBudgets = m_retryBudgets,
        .startedAt = time.now(),
        .config = nullptr }
    , m_follower(m_store, ports.decoder, loop, time, m_random, log, *this, {})
    , m_presence(m_store, ports.decoder, loop, { .process = m_options.process, .address = m_options.peers })
    , m_lease(m_store, ports.decoder, loop, time, m_random, log,
          { .process = m_options.process,
              .settle = m_options.targetsCheckTokens ? base::duration::zero() : m_options.orderSettle })
    , m_rollout(m_targets, m_lease, ports.control, loop, time, log, { .process = m_options.process })
    , m_contextSharing(
          [this](const net::endpoint& to, std::string_view bytes) { m_datagrams.send(to, bytes); },
          { .process = m_options.process })
    , m_contextFollower(m_catalog, ports.context, m_contextSharing, loop, time, {})
    , m_contextKeeper(m_catalog, m_contextFollower, ports.context, m_lease, m_targets, time, log, {})
    , m_datagrams(loop, [this](const net::endpoint&, std::string_view bytes) { datagramArrived(bytes); })
    , m_loads(m_targets, loop,
          [this](const net::endpoint& to, std::string_view bytes) { m_datagrams.send(to, bytes); },
          { .process = m_options.process })
    , m_callers(loop, m_options.callers,
          [this](caller_connection& caller, message_head&& head, std::string&& body) {
              requestArrived(caller, std::move(head), std::move(body));
          })
    , m_readiness(loop, m_options.readiness,
          [this](caller_connection& caller, message_head&&, std::string&&) { readinessAsked(caller); })
    , m_metricsListener(loop, m_options.metrics,
          [this](caller_connection& caller, message_head&&, std::string&&) { metricsAsked(caller); })
{
}

relay_server::~relay_server() = default;

base::result<void> relay_server::start()
{
    for (caller_listener* listener : { &m_callers, &m_readiness, &m_metricsListener })
        if (auto listening = listener->listen(); !listening)
            return listening;
    if (auto bound = m_datagrams.bind(m_options.peers); !bound)
        return bound;
    m_loads.start();
    m_loop.runEvery(houseKeepingInterval, [this] { houseKeeping(); });
    m_loop.runEvery(silenceInterval, [this] { checkSilence(); });
    m_follower.start();
    m_presence.start();
    m_log.write(events::processState, { { "state", "started" } });
    return {};
}

void relay_server::requestArrived(caller_connection& caller, message_head&& head, std::string&& body)
{
    if (m_noticed) {
        constexpr base::duration atOnce = std::chrono::milliseconds(50);
        const auto request = m_ports.dialect.readRequest(head);
        const std::string id = request ? request->attemptId : std::string();
        caller.answer(http_status::serviceUnavailable, m_ports.dialect.ownAnswerFields(id, atOnce), {});
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

void relay_server::readinessAsked(caller_connection& caller)
{
    caller.answer(
        !m_draining && m_services.config ? http_status::ok : http_status::serviceUnavailable, {}, {});
}

void relay_server::metricsAsked(caller_connection& caller)
{
    const relay_gauges gauges { .configVersion = m_services.config ? m_services.config->version() : 0,
        .configAge = m_services.config ? m_clock.now() - m_configSince : base::duration::zero(),
        .targets = m_targets.targets().size(),
        .waiting = m_waiting.size(),
        .requests = m_sessions.size(),
        .callers = m_callers.connections(),
        .processes = m_targets.processes(),
        .holdsOrderLease = m_lease.mayOrder(),
        .storeReachable = m_follower.isReachable(),
        .loopLag = std::exchange(m_loopLag, base::duration::zero()) };
    caller.answer(
        http_status::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition(gauges));
}

void relay_server::houseKeeping()
{
    m_targets.removeMissing();
    m_rollout.step();
    m_contextKeeper.sweep();
}

void relay_server::checkSilence()
{
    const base::time_point now = m_clock.now();
    if (m_lastSilenceCheck != base::time_point {})
        m_loopLag = std::max(m_loopLag, now - m_lastSilenceCheck - silenceInterval);
    if (m_lastSilenceCheck != base::time_point {} && now - m_lastSilenceCheck >= pausedAfter)
        m_log.write(events::processPaused,
            { { "paused_ms",
                std::to_string((now - m_lastSilenceCheck).count() / microsecondsPerMillisecond) } });
    m_lastSilenceCheck = now;
    std::vector<relay_session*> sessions;
    for (const auto& [key, session] : m_sessions)
        sessions.push_back(key);
    for (relay_session* session : sessions)
        session->checkSilence();
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
    const std::vector<std::string> domains(m_excluded.begin(), m_excluded.end());
    m_targets.setExcludedDomains(domains);
    std::string list;
    for (const std::string& domain : domains)
        list += (list.empty() ? "" : ",") + domain;
    m_log.write(events::domainsExcluded, { { "domains", list } });
}

void relay_server::applyProcesses()
{
    m_targets.setProcesses(static_cast<int>(m_processes.size()));
    m_retryBudgets.setProcesses(static_cast<int>(m_processes.size()));
    m_loads.setPeers(m_processes);
    m_contextSharing.setProcesses(m_processes);
}

void relay_server::datagramArrived(std::string_view bytes)
{
    // Datagrams are hints, and the port is open to anyone: what cannot be read is left out without a line.
    if (const auto digest = decodeContextDigest(bytes))
        return m_contextFollower.told(*digest);
    m_loads.received(bytes);
}

struct relay_server::state_visitor {
    relay_server& self;

    void operator()(std::monostate) const { }

    void operator()(const std::shared_ptr<const relay_config>& config) const { self.setConfig(config); }

    void operator()(const target_registration& target) const
    {
        if (!self.m_targets.targets().contains(target.id))
            self.m_log.write(events::targetChanged,
                { { "target", target.id }, { "service", target.service }, { "change", "came" } });
        else if (target.draining)
            self.m_log.write(events::targetChanged,
                { { "target", target.id }, { "service", target.service }, { "change", "drains" } });
        self.m_targets.put(target);
    }

    void operator()(const weights_named& named) const
    {
        self.m_log.write(
            events::versionNamed, { { "model", named.model }, { "version", std::to_string(named.version) } });
        self.m_chooser.setNamedVersion(named.model, named.version);
        self.m_rollout.setNamed(named.model, named.version);
    }

    void operator()(const domain_excluded& excluded) const
    {
        self.m_excluded.insert(excluded.failureDomain);
        self.applyExcluded();
    }

    void operator()(const process_present& process) const
    {
        if (process.address)
            self.m_processes.insert_or_assign(process.id, *process.address);
        self.applyProcesses();
    }

    void operator()(const order_lease& lease) const { self.m_lease.seen(lease); }
};

void relay_server::changed(const state_item& item)
{
    std::visit(state_visitor { *this }, item);
}

void relay_server::removed(const state_item& item)
{
    if (const auto* target = std::get_if<target_registration>(&item)) {
        m_log.write(events::targetChanged, { { "target", target->id }, { "change", "left" } });
        m_targets.remove(target->id);
    } else if (const auto* excluded = std::get_if<domain_excluded>(&item)) {
        m_excluded.erase(excluded->failureDomain);
        applyExcluded();
    } else if (const auto* process = std::get_if<process_present>(&item)) {
        m_processes.erase(process->id);
        applyProcesses();
    } else if (std::holds_alternative<order_lease>(item)) {
        m_lease.seen({});
    }
}

void relay_server::replaced(const std::vector<state_item>& present)
{
    m_excluded.clear();
    m_processes.clear();
    bool leaseHeld = false;
    std::vector<std::string> targets;
    for (const state_item& item : present) {
        changed(item);
        leaseHeld = leaseHeld || std::holds_alternative<order_lease>(item);
        if (const auto* target = std::get_if<target_registration>(&item))
            targets.push_back(target->id);
    }
    m_targets.keepOnly(targets);
    applyExcluded();
    applyProcesses();
    if (!leaseHeld)
        m_lease.seen({});
}

void relay_server::settingsChanged()
{
    m_log.write(events::processState, { { "state", "settings_changed_until_restart" } });
}

void relay_server::drain()
{
    if (std::exchange(m_draining, true))
        return;
    m_log.write(events::processState, { { "state", "draining" } });
    m_lease.release();
    m_callers.closeAfterAnswer();
    m_loop.runAfter(m_options.drainLimit, [this] { finishDrain(); });
    // The platform still sends new connections until it has noticed that this process is not ready.
    m_loop.runAfter(std::min(m_options.noticeTime, m_options.drainLimit / 2), [this] {
        m_noticed = true;
        m_callers.closeWhenIdle();
        finishDrainIfIdle();
    });
}

void relay_server::finishDrainIfIdle()
{
    if (m_noticed && m_sessions.empty())
        finishDrain();
}

void relay_server::finishDrain()
{
    if (std::exchange(m_finished, true))
        return;
    // Leaves time for the farewell to be sent; without it the others wait for the end of the lease.
    constexpr base::duration farewellTime = std::chrono::milliseconds(100);
    m_presence.leave();
    m_loop.runAfter(farewellTime, [this] { m_loop.stop(); });
}

} // namespace marigold::relay
