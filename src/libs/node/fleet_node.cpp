#include "fleet_node.h"

#include "events.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <fmt/format.h>

namespace marigold::node {

namespace {

constexpr auto membershipTickInterval = std::chrono::milliseconds(100);
constexpr auto vmListInterval = std::chrono::seconds(2);
constexpr auto watcherCheckInterval = std::chrono::seconds(1);

/// A process that has reached no peer within this time treats itself as the only member.
constexpr auto joinTimeout = std::chrono::seconds(3);

/// Sends datagrams of the membership protocol through a UDP socket.
class udp_datagram_port final : public control::datagram_port {
public:
    explicit udp_datagram_port(net::udp_socket& socket)
        : m_socket(socket)
    {
    }

    void send(const std::string& address, std::string_view bytes) override
    {
        if (const auto to = net::endpoint::parse(address))
            m_socket.send(*to, bytes);
    }

private:
    net::udp_socket& m_socket;
};

/// Accepts the current and the previous key while the message key of the fleet is rotated.
class rotating_authenticator final : public control::message_authenticator {
public:
    rotating_authenticator(
        const operate::message_key& current, const std::optional<operate::message_key>& previous)
        : m_current(current.secret)
        , m_previous(previous ? std::optional<control::hmac_authenticator>(previous->secret) : std::nullopt)
    {
    }

    std::string sign(std::string_view bytes) const override { return m_current.sign(bytes); }

    bool verify(std::string_view bytes, std::string_view tag) const override
    {
        return m_current.verify(bytes, tag) || (m_previous && m_previous->verify(bytes, tag));
    }

private:
    control::hmac_authenticator m_current;
    std::optional<control::hmac_authenticator> m_previous;
};

operate::message_key parseKey(const std::string& text)
{
    // The format was checked when the settings were loaded.
    return operate::parseMessageKey(text).value_or(operate::message_key {});
}

std::optional<operate::message_key> parsePreviousKey(const std::string& text)
{
    if (text.empty())
        return std::nullopt;
    return parseKey(text);
}

control::member selfMember(const node_settings& settings, control::member_kind kind, const base::clock& clock)
{
    return { .id = settings.memberId(),
        .failureDomain = settings.process.failureDomain,
        .region = settings.process.region,
        .kind = kind,
        .incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) };
}

} // namespace

struct fleet_node::private_data {
    options opts;
    net::event_loop loop;
    base::system_clock clock;
    base::random_source random = base::random_source::fromSystem();
    base::event_log log;
    net::http_client client { loop };
    operate::metrics metrics { clock };
    platform::http_kv_store store;
    operate::state_dump dump;
    operate::access_control access;
    operate::message_auth authenticator;
    peer_link peers;
    control::config_log configLog;
    control::config_replica config;
    net::udp_socket socket;
    udp_datagram_port datagrams { socket };
    rotating_authenticator datagramAuthenticator;
    control::membership membership;
    std::unique_ptr<outcome::drain> drain;
    http_router router;
    net::rpc_endpoint rpc;
    client_limits limits;
    std::unique_ptr<net::http_server> server;
    std::vector<std::function<void(const control::config_state&)>> configHandlers;
    std::vector<std::function<void(const control::member&)>> memberHandlers;
    std::vector<std::string> knownTeams;
    std::vector<std::string> knownOperators;
    std::optional<platform::http_vm_list> vmList;
    bool isWatcher = false; ///< Watches the configuration log and reads the VM list for the failure domain.
    int exitCode = 0;
    std::uint64_t countedSentBytes = 0; ///< Control bytes that have been added to the metrics.
    std::uint64_t countedReceivedBytes = 0;
    std::uint64_t countedPulledBytes = 0;
    base::time_point startedAt { clock.now() };

    explicit private_data(options nodeOptions);

    void configChanged(const control::config_state& state);
    void applyAccess(const control::config_content& content);
    std::vector<operate::key_record> parseKeyRecords(
        std::string_view holder, const std::vector<std::string>& texts) const;
    void updateWatcher();
    void readVmList();
    std::vector<std::string> livePeers() const;
    void addCommonRoutes();
    void addDumpSections();
    void countControlBytes();
    void shutdownComplete(const outcome::drain_report& report);
};

fleet_node::private_data::private_data(options nodeOptions)
    : opts(std::move(nodeOptions))
    , log(opts.settings.process.logOptions())
    , store(client,
          { .service = net::endpoint::parse(opts.settings.kv.endpoint).value_or(net::endpoint {}),
              .timeout = opts.settings.kv.callTimeout,
              .onCall =
                  [this](platform::http_kv_store::call_kind kind, std::optional<base::error_reason> reason) {
                      // Both enumerations have the same values in the same order.
                      metrics.kvCall(static_cast<operate::kv_operation>(kind), reason);
                  } })
    , dump({ .process = opts.settings.process.id, .log = &log }, clock)
    , access(clock, &log)
    , authenticator({ .current = parseKey(opts.settings.cluster.messageKey),
                        .previous = parsePreviousKey(opts.settings.cluster.previousMessageKey),
                        .log = &log },
          clock, random)
    , peers(client, authenticator, { .self = opts.settings.memberId() })
    , configLog(store, loop, clock, log, {})
    , config(configLog, store, peers, loop, random, log, { .watchDuration = opts.settings.kv.watchDuration })
    , socket(loop, [this](const net::endpoint&, std::string_view bytes) { membership.receive(bytes); })
    , datagramAuthenticator(parseKey(opts.settings.cluster.messageKey),
          parsePreviousKey(opts.settings.cluster.previousMessageKey))
    , membership(selfMember(opts.settings, opts.kind, clock), datagrams, datagramAuthenticator, clock, random,
          log, {})
    , limits(opts.settings.memory, clock, log, metrics)
{
    drain = std::make_unique<outcome::drain>(clock, loop,
        outcome::drain::options { .limit = opts.settings.process.shutdownLimit,
            .finished = [this](const auto& report) { shutdownComplete(report); },
            .log = &log });
    drain->addHook(outcome::drain_phase::OnStart, "announce", [this](const std::function<void()>& done) {
        membership.leave();
        done();
    });
    if (const auto service = net::endpoint::parse(opts.settings.cluster.vmList))
        vmList.emplace(client, *service);
    config.setListener([this](const control::config_state& state) { configChanged(state); });
    membership.setListener({
        .changed =
            [this](const control::member& changed) {
                for (const auto& handler : memberHandlers)
                    handler(changed);
            },
        .higherVersionReceived
        = [this](std::uint64_t version, const std::string& id) { config.recordVersion(version, id); },
        .rejoined = [this] { config.refresh(livePeers()); },
    });
    addCommonRoutes();
    addDumpSections();
}

void fleet_node::private_data::configChanged(const control::config_state& state)
{
    log.write(events::configInForce, { { "version", std::to_string(state.version) } });
    membership.setConfigVersion(state.version);
    metrics.configurationVersion(state.version);
    applyAccess(state.document.content());
    for (const auto& handler : configHandlers)
        handler(state);
}

std::vector<operate::key_record> fleet_node::private_data::parseKeyRecords(
    std::string_view holder, const std::vector<std::string>& texts) const
{
    std::vector<operate::key_record> records;
    for (const auto& text : texts) {
        if (auto record = operate::parseKeyRecord(text))
            records.push_back(std::move(*record));
        else
            log.write(events::keyRecordBroken, { { "holder", std::string(holder) } });
    }
    return records;
}

void fleet_node::private_data::applyAccess(const control::config_content& content)
{
    for (const auto& name : knownTeams)
        if (!content.teams.contains(name))
            access.removeTeam(name);
    for (const auto& name : knownOperators)
        if (!content.operators.contains(name))
            access.removeOperator(name);
    knownTeams.clear();
    knownOperators.clear();
    for (const auto& [name, team] : content.teams) {
        access.setTeam(name, parseKeyRecords(name, team.keyRecords));
        knownTeams.push_back(name);
    }
    for (const auto& [name, account] : content.operators) {
        const auto right = account.mayUseDangerous ? operate::operator_right::Dangerous
            : account.mayChange                    ? operate::operator_right::Change
                                                   : operate::operator_right::Read;
        access.setOperator(name, right, parseKeyRecords(name, account.keyRecords));
        knownOperators.push_back(name);
    }
}

std::vector<std::string> fleet_node::private_data::livePeers() const
{
    std::vector<std::string> found;
    for (const auto& [id, tracked] : membership.table().all())
        if (id != membership.self().id && tracked.info.state == control::member_state::Alive)
            found.push_back(id);
    return found;
}

void fleet_node::private_data::updateWatcher()
{
    // A process that has not joined yet would consider itself the only member of its failure domain.
    if (!membership.hasJoined() && clock.now() < startedAt + joinTimeout)
        return;
    std::vector<std::string> entries;
    std::vector<std::string> all;
    for (const auto* tracked : membership.table().liveMembersOf(opts.settings.process.failureDomain)) {
        all.push_back(tracked->info.id);
        if (tracked->info.kind == control::member_kind::Entry)
            entries.push_back(tracked->info.id);
    }
    const std::string self = opts.settings.memberId();
    if (opts.kind == control::member_kind::Entry
        && std::find(entries.begin(), entries.end(), self) == entries.end())
        entries.push_back(self);
    // In a failure domain without entries, two agents watch.
    const bool isCandidate = entries.empty() || opts.kind == control::member_kind::Entry;
    isWatcher = isCandidate
        && control::config_replica::isWatcher(
            self, entries.empty() ? all : entries, opts.settings.process.failureDomain);
    config.setWatcher(isWatcher);
}

void fleet_node::private_data::readVmList()
{
    // Two processes of each failure domain read the list; membership distributes its contents.
    if (!vmList || !isWatcher)
        return;
    vmList->read([this](const base::result<std::vector<platform::listed_vm>>& list) {
        if (list)
            membership.mergeVmList(*list);
    });
}

void fleet_node::private_data::addCommonRoutes()
{
    router.add("GET", "/healthz", [](const exchange_ptr& exchange) { exchange->reply({ .body = "ok\n" }); });
    router.add("GET", "/readyz", [this](const exchange_ptr& exchange) {
        const bool ready = drain->isReady() && config.mayServe();
        exchange->reply({ .status = ready ? 200 : 503, .body = ready ? "ready\n" : "not ready\n" });
    });
    router.add("GET", "/metrics", [this](const exchange_ptr& exchange) {
        exchange->reply(
            { .headers = { { "Content-Type", "text/plain; version=0.0.4" } }, .body = metrics.exposition() });
    });
    router.add("POST", std::string(rpcPath), peers.authenticated([this](const exchange_ptr& exchange) {
        replyJson(exchange, 200, rpc.handle(std::string(exchange->body())));
    }));
    rpc.add(
        "config.pull", [this](std::string_view argument) { return peer_link::answerPull(config, argument); });
    rpc.add("config.version",
        [this](std::string_view) -> base::result<std::string> { return std::to_string(config.version()); });
    rpc.add("process.dump", [this](std::string_view) -> base::result<std::string> { return dump.render(); });
}

void fleet_node::private_data::addDumpSections()
{
    dump.add("configuration", [this] {
        return fmt::format(R"({{"version":{},"may_serve":{}}})", config.version(), config.mayServe());
    });
    dump.add("membership", [this] {
        std::string members;
        for (const auto& [id, tracked] : membership.table().all())
            members
                += fmt::format(R"({}{{"id":"{}","domain":"{}","state":"{}","incarnation":{},"config":{}}})",
                    members.empty() ? "" : ",", id, tracked.info.failureDomain,
                    control::nameOf(membership.stateOf(id)), tracked.info.incarnation,
                    tracked.info.configVersion);
        const auto& traffic = membership.traffic();
        return fmt::format(
            R"({{"members":[{}],"sent_bytes":{},"received_bytes":{},"bytes_per_second":{:.0f},"refused":{}}})",
            members, traffic.sentBytes, traffic.receivedBytes, traffic.bytesPerSecond,
            traffic.refusedDatagrams);
    });
    dump.add("key_value_calls", [this] {
        const auto& counts = store.counts();
        return fmt::format(
            R"({{"reads":{},"writes":{},"failures":{}}})", counts.reads, counts.writes, counts.failures);
    });
    dump.add("drain", [this] {
        return fmt::format(
            R"({{"state":"{}","running":{}}})", outcome::nameOf(drain->state()), drain->running());
    });
}

void fleet_node::private_data::countControlBytes()
{
    const auto& traffic = membership.traffic();
    using channel = operate::control_channel;
    using direction = operate::byte_direction;
    metrics.controlBytes(channel::Membership, direction::Sent,
        traffic.sentBytes - std::exchange(countedSentBytes, traffic.sentBytes));
    metrics.controlBytes(channel::Membership, direction::Received,
        traffic.receivedBytes - std::exchange(countedReceivedBytes, traffic.receivedBytes));
    const std::uint64_t pulled = peers.configurationBytes();
    metrics.controlBytes(
        channel::Configuration, direction::Received, pulled - std::exchange(countedPulledBytes, pulled));
}

void fleet_node::private_data::shutdownComplete(const outcome::drain_report& report)
{
    log.write(events::processStopped,
        { { "forced", report.forced ? "true" : "false" },
            { "cut_requests", std::to_string(report.interruptedRequests.size()) } });
    exitCode = report.forced ? 1 : 0;
    // Completed replies may still be in the send buffer.
    constexpr auto flushTime = std::chrono::milliseconds(100);
    loop.runAfter(flushTime, [this] { loop.stop(); });
}

fleet_node::fleet_node(options opts)
    : d(std::make_unique<private_data>(std::move(opts)))
{
}

fleet_node::~fleet_node() = default;

base::result<void> fleet_node::start()
{
    const auto& process = d->opts.settings.process;
    const net::http_server::options serverOptions { .address = process.listenAddress,
        .port = process.listenPort };
    d->server = std::make_unique<net::http_server>(d->loop, d->limits.applyTo(serverOptions),
        [this](const exchange_ptr& exchange) { d->router.handle(exchange); });
    if (const auto listening = d->server->listen(); !listening)
        return listening;
    if (const auto bound = d->socket.bind({ .address = process.listenAddress, .port = process.listenPort });
        !bound)
        return bound;
    d->log.write(events::processStarted,
        { { "member", d->opts.settings.memberId() }, { "version", d->opts.version } });

    d->loop.onSignal(SIGTERM, [this] { d->drain->signal(); });
    d->loop.onSignal(SIGINT, [this] { d->drain->signal(); });
    d->membership.join(d->opts.settings.cluster.seedPeers);
    d->config.start(d->opts.settings.cluster.seedPeers);
    d->loop.runEvery(membershipTickInterval, [this] { d->membership.tick(); });
    d->loop.runEvery(vmListInterval, [this] { d->readVmList(); });
    d->loop.runEvery(watcherCheckInterval, [this] {
        d->updateWatcher();
        d->countControlBytes();
    });
    d->limits.start(d->loop);
    d->updateWatcher();
    return {};
}

int fleet_node::run()
{
    d->loop.run();
    return d->exitCode;
}

const node_settings& fleet_node::settings() const
{
    return d->opts.settings;
}
net::event_loop& fleet_node::loop()
{
    return d->loop;
}
const base::clock& fleet_node::clock() const
{
    return d->clock;
}
base::clock& fleet_node::clock()
{
    return d->clock;
}
base::random_source& fleet_node::random()
{
    return d->random;
}
base::event_log& fleet_node::log()
{
    return d->log;
}
net::http_client& fleet_node::client()
{
    return d->client;
}
platform::http_kv_store& fleet_node::store()
{
    return d->store;
}
operate::metrics& fleet_node::metrics()
{
    return d->metrics;
}
operate::state_dump& fleet_node::dump()
{
    return d->dump;
}
operate::access_control& fleet_node::access()
{
    return d->access;
}
control::config_log& fleet_node::configLog()
{
    return d->configLog;
}
control::config_replica& fleet_node::config()
{
    return d->config;
}
control::membership& fleet_node::membership()
{
    return d->membership;
}
outcome::drain& fleet_node::drain()
{
    return *d->drain;
}
peer_link& fleet_node::peers()
{
    return d->peers;
}
http_router& fleet_node::router()
{
    return d->router;
}
client_limits& fleet_node::limits()
{
    return d->limits;
}
net::rpc_endpoint& fleet_node::rpc()
{
    return d->rpc;
}

void fleet_node::onConfig(std::function<void(const control::config_state&)> handler)
{
    d->configHandlers.push_back(std::move(handler));
}

void fleet_node::onMember(std::function<void(const control::member&)> handler)
{
    d->memberHandlers.push_back(std::move(handler));
}

bool fleet_node::isReady() const
{
    return d->drain->isReady() && d->config.mayServe() && d->limits.canServe();
}

} // namespace marigold::node
