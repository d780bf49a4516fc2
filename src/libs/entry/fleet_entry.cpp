#include "fleet_entry.h"

#include "first_config.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace marigold::entry {

namespace {

constexpr auto refreshInterval = std::chrono::milliseconds(250);

/// Requests that an entry sends to the targets at once, as a multiple of its share of their admission bounds.
/// The excess forms a short queue at the agents, which keeps engines busy while replies are in transit.
constexpr double boundFactor = 1.5;

constexpr int minimumBound = 4;

net::http_server::options serverOptions(const entry_settings& settings, node::fleet_node& node)
{
    net::http_server::options options { .address = settings.publicAddress,
        .port = settings.publicPort,
        .maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes),
        .maxConnections = node.limits().maxClients() };
    if (settings.node.tls.enabled) {
        options.certificateFile = settings.node.tls.certificateFile;
        options.privateKeyFile = settings.node.tls.privateKeyFile;
    }
    return node.limits().applyTo(std::move(options));
}

} // namespace

fleet_entry::fleet_entry(entry_settings settings, std::string version)
    : m_settings(std::move(settings))
    , m_node(
          { .settings = m_settings.node, .kind = control::member_kind::Entry, .version = std::move(version) })
    , m_server(m_node.loop(), serverOptions(m_settings, m_node),
          [this](const node::exchange_ptr& exchange) { m_router.handle(exchange); })
{
    addPublicRoutes();
    m_node.onConfig([this](const control::config_state& state) { configChanged(state.document.content()); });
    m_node.onMember([this](const control::member& changed) {
        if (changed.kind != control::member_kind::Agent)
            return;
        m_services.targets.refresh();
        if (changed.state == control::member_state::Dead)
            m_services.contexts.removeTarget(m_services.targets.findByAddress(changed.id));
    });
    m_node.dump().add("gate", [this] {
        return fmt::format(R"({{"running":{},"waiting":{},"bound":{}}})", m_services.gate.running(),
            m_services.gate.waiting(), m_services.gate.bound());
    });
    m_node.dump().add("context_hints",
        [this] { return fmt::format(R"({{"bytes":{}}})", m_services.contexts.memoryBytes()); });
}

void fleet_entry::addPublicRoutes()
{
    m_callers.addRoutes(m_router);
    m_admin.addRoutes(m_router);
    m_router.add("GET", "/healthz", [](const auto& exchange) { exchange->reply({ .body = "ok\n" }); });
    m_router.add("GET", "/readyz", [this](const auto& exchange) {
        exchange->reply(
            { .status = m_node.isReady() ? 200 : 503, .body = m_node.isReady() ? "ready\n" : "not ready\n" });
    });
}

base::result<void> fleet_entry::start()
{
    if (const auto started = m_node.start(); !started)
        return started;
    if (const auto listening = m_server.listen(); !listening)
        return listening;
    m_node.loop().runEvery(refreshInterval, [this] {
        m_services.targets.refresh();
        m_services.targets.probeEjected();
        updateBound();
    });
    return {};
}

void fleet_entry::configChanged(const control::config_content& content)
{
    proposeFirstConfig(m_node, m_settings.firstConfigFile);
    m_services.targets.configChanged(content);
    for (const auto& [name, team] : content.teams)
        m_services.gate.setWeight(name, team.weight);
    updateBound();
}

void fleet_entry::updateBound()
{
    int entries = 0;
    for (const auto& [id, tracked] : m_node.membership().table().all())
        entries += tracked.info.kind == control::member_kind::Entry
            && tracked.info.state == control::member_state::Alive;
    const double share = boundFactor * m_services.targets.totalBound() / std::max(1, entries);
    const std::pair basis(m_node.config().version(), entries);
    const auto* current = m_node.config().current();
    // There can be thousands of teams, so their limits are set again only when the shares change.
    if (current && std::exchange(m_limitsBasis, basis) != basis)
        m_services.limiter.configure(current->document.content().teams, entries);
    m_services.gate.setBound(std::max(minimumBound, static_cast<int>(std::ceil(share))));
}

} // namespace marigold::entry
