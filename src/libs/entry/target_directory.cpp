#include "target_directory.h"

#include <algorithm>

namespace marigold::entry {

namespace {

routing::target_kind toRouting(control::target_kind kind)
{
    switch (kind) {
    case control::target_kind::Engine:
        return routing::target_kind::Engine;
    case control::target_kind::Store:
        return routing::target_kind::Store;
    case control::target_kind::Service:
        break;
    }
    return routing::target_kind::Service;
}

routing::target_state toRouting(control::member_state state)
{
    switch (state) {
    case control::member_state::Alive:
        return routing::target_state::Serving;
    case control::member_state::Suspect:
    case control::member_state::Unreachable:
        return routing::target_state::Unreachable;
    case control::member_state::Leaving:
    case control::member_state::Dead:
        break;
    }
    return routing::target_state::Leaving;
}

/// Ejections are limited to half of a group. A failure domain may have a single target of a plain service, so
/// the targets of one service in a region form a group; other targets are grouped by failure domain and
/// model.
std::string ejectionGroup(const control::target& target)
{
    if (target.kind == control::target_kind::Service)
        return target.region + "/" + target.service;
    return target.failureDomain + "/" + target.model;
}

/// An ejected target is probed at least this often, so that a recovered target does not stay unused for
/// minutes.
constexpr auto longestEjection = std::chrono::seconds(30);

/// Loads distributed by membership can be this old, so a report from the agent itself that is younger takes
/// precedence.
constexpr auto maxGossipAge = std::chrono::seconds(10);

} // namespace

target_directory::target_directory(node::fleet_node& node)
    : m_node(node)
    , m_table({ .failureDomain = node.settings().process.failureDomain,
          .region = node.settings().process.region })
    , m_detector({ .longestEjection = longestEjection,
          .changed
          = [this](routing::target_index target, bool ejected) { m_table.setEjected(target, ejected); },
          .log = &node.log() })
{
}

void target_directory::configChanged(const control::config_content& content)
{
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const auto wanted = content.targets.find(it->first);
        const bool keep = wanted != content.targets.end() && wanted->second.address == it->second.info.address
            && wanted->second.kind == it->second.info.kind;
        if (keep) {
            ++it;
            continue;
        }
        const auto index = m_table.find(it->first);
        m_detector.remove(index);
        m_table.remove(index);
        it = m_targets.erase(it);
    }
    for (const auto& [id, target] : content.targets) {
        const bool isNew = !m_targets.contains(id);
        const auto address = net::endpoint::parse(target.address);
        if (!address)
            continue;
        m_targets[id] = { .info = target, .address = *address };
        // A change of the configuration does not change the weights in an engine.
        const auto known = m_table.find(id);
        const auto index = m_table.put({ .id = id,
            .failureDomain = target.failureDomain,
            .region = target.region,
            .kind = toRouting(target.kind),
            .model = target.kind == control::target_kind::Service ? target.service : target.model,
            .version = known == routing::noTarget ? std::string() : m_table.info(known).version });
        if (m_addresses.size() <= index) {
            m_addresses.resize(index + 1);
            m_reportedAt.resize(index + 1);
        }
        m_addresses[index] = *address;
        const auto drained = content.drainedTargets.find(id);
        m_table.setOutOfService(index, drained != content.drainedTargets.end() && drained->second);
        if (isNew)
            m_detector.add(index, ejectionGroup(target));
    }
    std::vector<std::string> excluded;
    for (const auto& [name, domain] : content.failureDomains)
        if (!domain.inService)
            excluded.push_back(name);
    m_table.setExcludedDomains(excluded);
    refresh();
}

void target_directory::applyMember(routing::target_index index, const target_entry& target)
{
    const auto* tracked = m_node.membership().table().find(target.info.address);
    if (!tracked || tracked->info.state == control::member_state::Dead) {
        m_table.setState(index, routing::target_state::Leaving);
        return;
    }
    const bool mayReceive = m_node.membership().mayReceiveWork(target.info.address);
    m_table.setState(index,
        mayReceive ? toRouting(m_node.membership().stateOf(target.info.address))
                   : routing::target_state::Leaving);
}

void target_directory::refresh()
{
    const control::config_state* current = m_node.config().current();
    for (const auto& [id, target] : m_targets) {
        const auto index = m_table.find(id);
        applyMember(index, target);
        // A recent load report from the target itself is newer than the weights reported by membership.
        if (target.info.kind != control::target_kind::Engine || !current
            || m_node.clock().now() - m_reportedAt[index] < maxGossipAge)
            continue;
        const auto* tracked = m_node.membership().table().find(target.info.address);
        const auto model = current->document.content().models.find(target.info.model);
        if (!tracked || model == current->document.content().models.end())
            continue;
        auto info = m_table.info(index);
        for (const auto* version : { &model->second.version, &model->second.wantedVersion }) {
            if (control::weightTag(*version) != tracked->info.load.weightTag || info.version == *version)
                continue;
            info.version = *version;
            m_table.put(info);
        }
    }
}

void target_directory::recordLoad(routing::target_index target, std::string_view loadText)
{
    const auto load = protocol::agent_load::decode(loadText);
    if (!load)
        return;
    m_reportedAt[target] = m_node.clock().now();
    m_table.report(target,
        { .running = load->running,
            .queued = load->queued,
            .slots = std::max(1, load->bound),
            .pendingPrefillTokens = load->pendingPrefillTokens,
            .prefillTokensPerSecond = load->prefillTokensPerSecond,
            .serviceTime = load->serviceTime },
        m_node.clock().now());
    if (load->version.empty() || m_table.info(target).version == load->version)
        return;
    auto info = m_table.info(target);
    info.version = load->version;
    m_table.put(info);
}

void target_directory::observe(routing::target_index target, bool failed, double latencyRatio)
{
    m_detector.observe(target, failed, latencyRatio, m_node.clock().now());
    m_node.membership().observeRequest(m_addresses[target].text(), !failed);
}

void target_directory::probeEjected()
{
    const auto target = m_detector.dueProbe(m_node.clock().now());
    if (target == routing::noTarget)
        return;
    m_detector.beginProbe(target, m_node.clock().now());
    m_node.client().send({ .to = m_addresses[target],
                             .target = "/readyz",
                             .timeout = std::chrono::seconds(1),
                             .freshConnection = true },
        [this, target](const base::result<net::http_response>& answer) {
            constexpr int ready = 200;
            m_detector.observe(target, !answer || answer->status != ready, 1.0, m_node.clock().now());
        });
}

net::endpoint target_directory::addressOf(routing::target_index target) const
{
    return target < m_addresses.size() ? m_addresses[target] : net::endpoint {};
}

std::vector<std::string> target_directory::serviceAgents(std::string_view service) const
{
    std::vector<std::string> agents;
    for (const auto& [id, target] : m_targets)
        if (target.info.kind == control::target_kind::Service && target.info.service == service
            && m_table.isEligible(m_table.find(id)))
            agents.push_back(target.info.address);
    return agents;
}

routing::target_index target_directory::findByAddress(std::string_view address) const
{
    for (const auto& [id, target] : m_targets)
        if (target.info.address == address)
            return m_table.find(id);
    return routing::noTarget;
}

std::vector<target_directory::store_view> target_directory::stores() const
{
    std::vector<store_view> found;
    const auto& region = m_node.settings().process.region;
    for (const auto& [id, target] : m_targets) {
        if (target.info.kind != control::target_kind::Store || target.info.region != region)
            continue;
        const auto* tracked = m_node.membership().table().find(target.info.address);
        if (!tracked || tracked->info.state == control::member_state::Dead)
            continue;
        constexpr std::uint64_t megabyte = 1 << 20;
        found.push_back({ .address = target.info.address,
            .isInService = m_table.isEligible(m_table.find(id)),
            .usedBytes = tracked->info.load.running * megabyte });
    }
    return found;
}

std::string target_directory::versionFor(
    const control::config_content& content, std::string_view model, std::uint64_t prefixHash) const
{
    const auto found = content.models.find(model);
    if (found == content.models.end())
        return {};
    const auto& [old, wanted] = std::tie(found->second.version, found->second.wantedVersion);
    std::uint64_t withOld = 0;
    std::uint64_t withWanted = 0;
    for (const auto& [id, target] : m_targets) {
        const auto index = m_table.find(id);
        if (target.info.kind != control::target_kind::Engine || target.info.model != model
            || !m_table.isEligible(index))
            continue;
        withOld += m_table.info(index).version == old;
        withWanted += m_table.info(index).version == wanted;
    }
    if (withWanted == 0 || old == wanted)
        return withOld > 0 || withWanted == 0 ? old : wanted;
    if (withOld == 0)
        return wanted;
    return prefixHash % (withOld + withWanted) < withWanted ? wanted : old;
}

int target_directory::totalBound() const
{
    int total = 0;
    for (const auto& [id, target] : m_targets) {
        const auto index = m_table.find(id);
        if (target.info.kind != control::target_kind::Engine || !m_table.isEligible(index))
            continue;
        const auto* tracked = m_node.membership().table().find(target.info.address);
        total += tracked ? std::max<int>(1, tracked->info.load.bound) : 1;
    }
    return total;
}

} // namespace marigold::entry
