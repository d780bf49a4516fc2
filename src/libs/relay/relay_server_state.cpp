#include "events.h"
#include "relay_server.h"

#include <set>
#include <utility>
#include <variant>

namespace marigold::relay {

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
        self.m_targetEnds.targetRegistered(target);
    }

    void operator()(const wanted_weights& named) const
    {
        self.m_log.write(
            events::versionNamed, { { "model", named.model }, { "version", std::to_string(named.version) } });
        self.m_chooser.setWantedVersion(named.model, named.version,
            self.m_replacing && !self.m_hasSnapshot ? named_at::Unknown : named_at::Now);
        self.m_rollout.setWantedVersion(named.model, named.version);
    }

    void operator()(const excluded_domain& excluded) const
    {
        self.m_excluded.insert(excluded.failureDomain);
        self.applyExcluded();
    }

    void operator()(const running_process& process) const
    {
        if (process.address)
            self.m_processes.insert_or_assign(process.id, *process.address);
        self.m_missingProcesses.erase(process.id);
        if (!self.m_replacing)
            self.applyProcesses();
    }

    void operator()(const quarantine_entry& entry) const
    {
        if (self.m_replacing)
            self.m_snapshotQuarantine.push_back(entry);
        else
            self.m_quarantineExchange.stored(entry);
    }

    void operator()(const rollout_request& request) const
    {
        self.m_rollouts.requestObserved(request, self.m_hasSnapshot);
    }

    void operator()(const rollout_status& status) const { self.m_rollouts.statusObserved(status); }

    void operator()(const order_lease& lease) const
    {
        self.m_lease.leaseObserved(lease, self.m_follower.revision());
    }
};

void relay_server::eraRaised(std::uint64_t before, std::uint64_t now)
{
    m_presence.eraRaised(before);
    m_quarantineExchange.eraRaised(before);
    m_rollouts.eraRaised();
    if (!m_follower.hasState())
        return;
    m_log.write(events::storeOlder,
        { { "era_before", std::to_string(before) }, { "era", std::to_string(now) },
            { "revision_before", std::to_string(m_follower.revision()) }, { "revision", "0" } });
    m_follower.eraRaised();
}

void relay_server::changed(const state_item& item)
{
    std::visit(state_visitor { *this }, item);
}

bool relay_server::isUrgent(const state_item& item) const
{
    const auto* target = std::get_if<target_registration>(&item);
    if (!target)
        return true;
    const auto known = m_targets.targets().find(target->id);
    if (known == m_targets.targets().end())
        return true;
    // Answers, and digests of the process that orders the loads, tell of new weights sooner.
    target_registration expected = known->second->registration;
    expected.weightVersions = target->weightVersions;
    return *target != expected;
}

void relay_server::removed(const state_item& item)
{
    if (const auto* target = std::get_if<target_registration>(&item)) {
        const bool isRemoved = m_targets.unregister(target->id);
        m_log.write(events::targetChanged,
            { { "target", target->id }, { "change", isRemoved ? "left" : "missing" } });
        if (isRemoved)
            m_targetEnds.targetRemoved(target->id);
    } else if (const auto* excluded = std::get_if<excluded_domain>(&item)) {
        m_excluded.remove(excluded->failureDomain);
        applyExcluded();
    } else if (const auto* process = std::get_if<running_process>(&item)) {
        if (m_processes.erase(process->id) > 0)
            m_missingProcesses.emplace(process->id, m_clock.now());
        if (process->id == m_options.process)
            m_presence.missingObserved(m_follower.revision());
        applyProcesses();
    } else if (const auto* entry = std::get_if<quarantine_entry>(&item)) {
        m_quarantineExchange.withdrawn(entry->key);
    } else if (std::holds_alternative<order_lease>(item)) {
        m_lease.leaseObserved({}, m_follower.revision());
    } else if (const auto* request = std::get_if<rollout_request>(&item)) {
        m_rollouts.requestObserved(*request, true);
    } else if (const auto* status = std::get_if<rollout_status>(&item)) {
        m_rollouts.statusObserved(*status);
    }
}

void relay_server::replaced(const std::vector<state_item>& present)
{
    for (const auto& [id, address] : std::exchange(m_processes, {}))
        m_missingProcesses.emplace(id, m_clock.now());
    bool leaseHeld = false;
    bool isRegistered = false;
    std::vector<std::string> targets;
    std::vector<std::string> excluded;
    std::set<std::string> rolloutRequests;
    std::set<std::string> rolloutStates;
    m_replacing = true;
    m_rollouts.snapshotBegins();
    for (const state_item& item : present) {
        changed(item);
        leaseHeld = leaseHeld || std::holds_alternative<order_lease>(item);
        if (const auto* target = std::get_if<target_registration>(&item))
            targets.push_back(target->id);
        else if (const auto* process = std::get_if<running_process>(&item))
            isRegistered = isRegistered || process->id == m_options.process;
        else if (const auto* domain = std::get_if<excluded_domain>(&item))
            excluded.push_back(domain->failureDomain);
        else if (const auto* request = std::get_if<rollout_request>(&item))
            rolloutRequests.insert(request->service);
        else if (const auto* status = std::get_if<rollout_status>(&item))
            rolloutStates.insert(status->service);
    }
    m_rollouts.retain(rolloutRequests, rolloutStates);
    m_rollouts.refreshTargets();
    m_replacing = false;
    m_hasSnapshot = true;
    m_quarantineExchange.snapshotRead(std::exchange(m_snapshotQuarantine, {}));
    m_targets.retainTargets(targets, m_follower.hasStoreLostChanges());
    m_excluded.replace(excluded, m_follower.hasStoreLostChanges());
    applyExcluded();
    if (!isRegistered)
        m_presence.missingObserved(m_follower.revision());
    applyProcesses();
    if (!leaseHeld)
        m_lease.leaseObserved({}, m_follower.revision());
}

} // namespace marigold::relay
