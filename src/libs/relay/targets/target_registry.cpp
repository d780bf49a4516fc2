#include "target_registry.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace marigold::relay {

namespace {

/// Region of all targets: routes do not distinguish regions.
constexpr std::string_view commonRegion = "region";

/// Weight of a new sample in the exponential moving averages.
constexpr double smoothingFactor = 0.1;

void updateMean(double& mean, double sample)
{
    mean += (mean == 0 ? 1.0 : smoothingFactor) * (sample - mean);
}

/// Shorter prefills are dominated by fixed costs and are not used to measure the speed.
constexpr std::int64_t minMeasuredPrefillTokens = 2000;

} // namespace

target_registry::target_registry(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
    , m_random(m_options.seed ? base::random_source(*m_options.seed) : base::random_source::fromSystem())
    , m_table({ .failureDomain = m_options.failureDomain, .region = std::string(commonRegion) })
    , m_outliers({ .consecutiveErrors = 3,
          .errorShare = 0.3,
          .firstEjection = std::chrono::seconds(1),
          .longestEjection = std::chrono::seconds(8),
          .probeTimeout = std::chrono::seconds(3),
          .probesToReturn = 1,
          .changed
          = [this](routing::target_index target, bool ejected) { m_table.setEjected(target, ejected); } })
    , m_router(
          m_table, m_random, { .candidates = routing::route_decision::capacity, .samples = 12 }, &m_outliers)
    , m_groups({ .process = m_options.process })
    , m_standing(time, {})
{
}

void target_registry::assign(target_record& target)
{
    const std::size_t groups = groupCountOf(target.registration.service);
    const std::size_t group = sender_groups::groupOf(target.hash, groups);
    target.assigned = m_groups.isMember(group, groups);
    if (target.assigned) {
        target.senders = m_groups.memberCount(group, groups);
        target.rank = m_groups.rankOf(target.hash, group, groups);
    }
    m_table.setListed(target.index, target.assigned);
}

void target_registry::assignAll(std::string_view service)
{
    for (const auto& [id, target] : m_targets)
        if (target->registration.service == service)
            assign(*target);
}

void target_registry::countTarget(std::string_view service, int change)
{
    const std::size_t before = groupCountOf(service);
    m_counts[std::string(service)] += change;
    if (groupCountOf(service) != before)
        assignAll(service);
}

void target_registry::setProcesses(std::span<const std::string_view> processes)
{
    m_groups.setProcesses(processes);
    m_peers.assign(processes.begin(), processes.end());
    std::erase(m_peers, m_options.process);
    m_weightsInUse.setProcesses(m_peers);
    for (const auto& [id, target] : m_targets)
        assign(*target);
}

routing::target_info target_registry::infoOf(const target_registration& registration) const
{
    const auto& versions = registration.weightVersions;
    return { .id = registration.id,
        .failureDomain = registration.failureDomain,
        .region = std::string(commonRegion),
        .kind = routing::target_kind::Engine,
        .model = groupName(registration.service, laneOf(registration)),
        .version = versions.empty() ? std::string() : std::to_string(versions.begin()->second) };
}

void target_registry::put(const target_registration& registration)
{
    m_missing.erase(registration.id);
    auto& held = m_targets[registration.id];
    const bool restarted = held && registration.startedAtMs != held->registration.startedAtMs;
    if (held && (restarted || held->registration.address != registration.address)) {
        // A process restarted under the same id starts without the previous state.
        const std::string id = registration.id;
        remove(id);
        return put(registration);
    }
    const bool isNew = !held;
    if (isNew)
        held = std::make_shared<target_record>();
    // The registration may have been written before the target loaded the weights that its answers have
    // reported.
    const auto observedVersions = std::move(held->registration.weightVersions);
    held->registration = registration;
    for (auto& [model, version] : held->registration.weightVersions)
        if (const auto observed = observedVersions.find(model); observed != observedVersions.end())
            version = std::max(version, observed->second);
    recordVersions(held->registration);
    if (registration.coldFor > base::duration::zero())
        held->coldUntil = m_clock.now() + registration.coldFor;
    held->index = m_table.put(infoOf(held->registration));
    applyStanding(*held);
    if (!isNew)
        return publishLoad(*held);
    m_byIndex.resize(std::max<std::size_t>(m_byIndex.size(), held->index + 1));
    m_byIndex[held->index] = held;
    m_outliers.add(held->index, registration.service);
    held->hash = base::hash64(registration.id);
    m_byHash[held->hash] = held.get();
    countTarget(registration.service, 1);
    assign(*held);
    publishLoad(*held);
}

void target_registry::remove(std::string_view id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    const std::shared_ptr<target_record> target = found->second;
    target->removed = true;
    m_outliers.remove(target->index);
    m_table.remove(target->index);
    m_byIndex[target->index] = nullptr;
    m_byHash.erase(target->hash);
    m_targets.erase(found);
    countTarget(target->registration.service, -1);
}

bool target_registry::unregister(std::string_view id)
{
    if (m_clock.now() - m_options.missingGrace < m_lostChangesAt) {
        m_missing.emplace(id, m_lostChangesAt);
        return false;
    }
    remove(id);
    return true;
}

void target_registry::retainTargets(const std::vector<std::string>& present, bool hasLostChanges)
{
    if (hasLostChanges)
        m_lostChangesAt = m_clock.now();
    for (const auto& [id, target] : m_targets) {
        if (std::ranges::find(present, id) != present.end())
            continue;
        const auto known = m_missing.emplace(id, m_clock.now()).first;
        known->second = std::max(known->second, m_lostChangesAt);
    }
}

void target_registry::removeExpired()
{
    const base::time_point limit = m_clock.now() - m_options.missingGrace;
    for (auto next = m_missing.begin(); next != m_missing.end();) {
        if (next->second > limit) {
            ++next;
            continue;
        }
        remove(next->first);
        next = m_missing.erase(next);
    }
    removeExpiredStanding();
    std::vector<std::string> expired;
    for (const auto& [process, reported] : m_peerLoads)
        if (reported.at + m_options.peerLoadTimeout < m_clock.now())
            expired.push_back(process);
    for (const std::string& process : expired)
        setPeerLoad(process, {});
}

void target_registry::setConfig(std::shared_ptr<const relay_config> config)
{
    m_config = std::move(config);
    // Whether a target is a model server depends on the configuration.
    for (const auto& [id, target] : m_targets)
        publishLoad(*target);
}

target_record* target_registry::record(routing::target_index index)
{
    return index < m_byIndex.size() ? m_byIndex[index].get() : nullptr;
}

bool target_registry::hasCapacity(const target_record& target, const target_load& work) const
{
    const target_load all = knownLoad(target);
    if (all.requests <= 0)
        return true;
    if (isUnresponsive(target))
        return false;
    const service_info* service = m_config ? m_config->findService(target.registration.service) : nullptr;
    if (!service || !service->engine)
        return all.requests < plainLimit(target);
    const auto memory = static_cast<double>(service->engine->contextTokens);
    if (memory > 0 && static_cast<double>(all.tokens + work.tokens) > m_options.memoryShare * memory)
        return false;
    const double tokensPerSecond = prefillTokensPerSecondOf(target);
    const double limit = std::chrono::duration<double>(m_options.prefillBacklog).count();
    return tokensPerSecond <= 0 || static_cast<double>(all.prefillTokens) / tokensPerSecond <= limit;
}

bool target_registry::isUnresponsive(const target_record& target) const
{
    if (target.own.requests <= 0)
        return false;
    const double tokensPerSecond = prefillTokensPerSecondOf(target);
    const double backlogTokens = static_cast<double>(target.own.prefillTokens + target.peers.prefillTokens);
    const double allowedSeconds = tokensPerSecond > 0 ? 2 * backlogTokens / tokensPerSecond : 0;
    return m_clock.now() - target.lastActivityAt
        > m_options.inactivityLimit + base::duration(static_cast<std::int64_t>(allowedSeconds * 1e6));
}

bool target_registry::canAccept(target_record& target, const target_load& work) const
{
    if (target.leaving || isPaused(target) || m_clock.now() < target.pausedUntil
        || !hasCapacity(target, work))
        return false;
    const service_info* service = m_config ? m_config->findService(target.registration.service) : nullptr;
    if (!service)
        return true;
    const base::time_point now = m_clock.now();
    const double stated = service->coldRequestsPerSecond;
    const send_rate_share share {
        .target = { .bound = stated > 0 ? stated * m_options.coldFactor + m_options.coldSlack : 0,
            .processes = target.senders,
            .rank = target.rank,
            .isolated = m_isolated },
        .cold = now < target.coldUntil,
    };
    return target.sendLimiter.allows(share.perSecond(), now);
}

base::duration target_registry::expectedPrefillTime(
    const target_record& target, const target_load& work) const
{
    const double tokensPerSecond = prefillTokensPerSecondOf(target);
    const auto tokens = static_cast<double>(knownLoad(target).prefillTokens + work.prefillTokens);
    return tokensPerSecond > 0 ? base::duration(static_cast<std::int64_t>(tokens / tokensPerSecond * 1e6))
                               : base::duration::zero();
}

base::duration target_registry::idlePrefillTime(std::string_view service, const target_load& work) const
{
    const auto known = m_prefillSpeed.find(service);
    if (known == m_prefillSpeed.end() || known->second.plain() <= 0)
        return base::duration::zero();
    const double seconds = static_cast<double>(work.prefillTokens) / known->second.plain();
    return base::duration(static_cast<std::int64_t>(seconds * 1e6));
}

void target_registry::requestStarted(target_record& target, const target_load& work)
{
    target.sendLimiter.recordSend(m_clock.now());
    if (target.own.requests == 0)
        bytesReceived(target);
    target.own += work;
    updateMean(m_meanTokens[target.registration.service], static_cast<double>(work.tokens));
    updateMean(m_meanPrefillTokens[target.registration.service], static_cast<double>(work.prefillTokens));
    publishLoad(target);
    if (m_observer.requestStarted)
        m_observer.requestStarted(target);
}

void target_registry::prefillFinished(target_record& target, std::int64_t prefillTokens, base::duration took)
{
    target.own.prefillTokens -= prefillTokens;
    const double seconds = std::chrono::duration<double>(took).count();
    if (prefillTokens >= minMeasuredPrefillTokens && seconds > 0) {
        const double tokensPerSecond = static_cast<double>(prefillTokens) / seconds;
        const double pace = target.pace.factor(m_clock.now());
        m_prefillSpeed.try_emplace(target.registration.service, paced_average::quantity::PerSecond)
            .first->second.add(tokensPerSecond, pace);
        target.prefillSpeed.add(tokensPerSecond, pace);
    }
    publishLoad(target);
}

void target_registry::requestFinished(target_record& target, const target_load& work, base::duration took)
{
    target.own -= work;
    const double seconds = std::chrono::duration<double>(took).count();
    target.serviceTime.add(seconds, target.pace.factor(m_clock.now()));
    double& runSeconds = m_runSeconds[target.registration.service];
    runSeconds += (runSeconds == 0 ? 1.0 : smoothingFactor) * (seconds - runSeconds);
    publishLoad(target);
}

void target_registry::setLoading(target_record& target, bool loading)
{
    const int before = std::exchange(target.own.loading, loading ? 1 : 0);
    publishLoad(target);
    if (before != target.own.loading && m_observer.loadingChanged)
        m_observer.loadingChanged(target);
}

std::pair<std::size_t, std::size_t> target_registry::groupOf(const target_record& target) const
{
    const std::size_t groups = groupCountOf(target.registration.service);
    return { sender_groups::groupOf(target.hash, groups), groups };
}

target_registry::own_load target_registry::ownLoad(const target_record& target) const
{
    const auto [group, groups] = groupOf(target);
    return {
        .entry = { .target = target.hash, .load = target.own },
        .group = group,
        .groups = groups,
    };
}

std::vector<target_registry::own_load> target_registry::ownLoads() const
{
    std::vector<own_load> loads;
    for (const auto& [id, target] : m_targets) {
        if (target->own == target_load {})
            continue;
        loads.push_back(ownLoad(*target));
    }
    return loads;
}

void target_registry::addPeerLoad(const load_digest::entry& item, bool add)
{
    const auto found = m_byHash.find(item.target);
    if (found == m_byHash.end())
        return;
    target_record& target = *found->second;
    if (add)
        target.peers += item.load;
    else
        target.peers -= item.load;
}

void target_registry::setPeerLoad(std::string_view process, const std::vector<load_digest::entry>& loads)
{
    peer_load& reported = m_peerLoads[std::string(process)];
    for (const load_digest::entry& item : reported.entries)
        addPeerLoad(item, false);
    for (const load_digest::entry& item : loads)
        addPeerLoad(item, true);
    publishLoads(reported.entries);
    publishLoads(loads);
    if (loads.empty())
        m_peerLoads.erase(m_peerLoads.find(process));
    else
        reported = { .at = m_clock.now(), .entries = loads };
}

void target_registry::updatePeerLoad(std::string_view process, const std::vector<load_digest::entry>& loads)
{
    peer_load& reported = m_peerLoads[std::string(process)];
    reported.at = m_clock.now();
    for (const load_digest::entry& item : loads) {
        const auto known = std::ranges::find(reported.entries, item.target, &load_digest::entry::target);
        if (known != reported.entries.end()) {
            addPeerLoad(*known, false);
            *known = item;
        } else {
            reported.entries.push_back(item);
        }
        addPeerLoad(item, true);
    }
    publishLoads(loads);
}

void target_registry::publishLoads(const std::vector<load_digest::entry>& entries)
{
    for (const load_digest::entry& item : entries)
        if (const auto found = m_byHash.find(item.target); found != m_byHash.end())
            publishLoad(*found->second);
}

void target_registry::stopUsingOlderWeights(std::string_view model, int version)
{
    if (m_weightsInUse.oldest(model) >= version)
        return;
    m_weightsInUse.raise(model, version);
    for (const auto& [id, target] : m_targets)
        publishLoad(*target);
}

bool target_registry::hasOldWeights(const target_record& target) const
{
    return std::ranges::any_of(target.registration.weightVersions,
        [&](const auto& entry) { return entry.second < m_weightsInUse.oldest(entry.first); });
}

void target_registry::publishLoad(target_record& target)
{
    if (target.removed)
        return;
    const target_load all = knownLoad(target);
    m_table.setOutOfService(target.index,
        all.loading > 0 || hasOldWeights(target) || isPaused(target)
            || laneOf(target.registration) == version_lane::Barred
            || (m_config && m_config->lacksWeights(target.registration)));
    int running = std::max(all.requests, 0);
    int slots = std::max(target.registration.slots, 1);
    // Memory is exhausted before the slots are, so both are converted to requests of the mean size.
    const service_info* service = m_config ? m_config->findService(target.registration.service) : nullptr;
    const double mean = m_meanTokens[target.registration.service];
    if (service && service->engine && service->engine->contextTokens > 0 && mean > 0) {
        running = std::max(running, static_cast<int>(static_cast<double>(all.tokens) / mean));
        slots = std::clamp(
            static_cast<int>(static_cast<double>(service->engine->contextTokens) / mean), 1, slots);
    }
    const double serviceSeconds = target.serviceTime.expected(target.pace.factor(m_clock.now()));
    m_table.report(target.index,
        { .running = running,
            .slots = slots,
            .pendingPrefillTokens = std::max<std::int64_t>(all.prefillTokens, 0),
            .prefillTokensPerSecond = prefillTokensPerSecondOf(target),
            .serviceTime = base::duration(static_cast<std::int64_t>(serviceSeconds * 1e6)),
            .slowdown = base::duration(
                static_cast<std::int64_t>((serviceSeconds - target.serviceTime.expected(1)) * 1e6)) },
        m_clock.now());
}

void target_registry::observe(target_record& target, bool failed)
{
    if (!target.removed)
        m_outliers.observe(target.index, failed, 1.0, m_clock.now());
}

void target_registry::observeVersion(target_record& target, std::string_view model, int version)
{
    const auto found = target.registration.weightVersions.find(std::string(model));
    if (found == target.registration.weightVersions.end() || found->second == version || target.removed)
        return;
    found->second = version;
    recordVersions(target.registration);
    m_table.put(infoOf(target.registration));
    publishLoad(target);
}

void target_registry::recordVersions(const target_registration& registration)
{
    for (const auto& [model, version] : registration.weightVersions) {
        int& newest = m_newest[registration.service][model];
        newest = std::max(newest, version);
    }
}

int target_registry::newestVersion(std::string_view service, std::string_view model) const
{
    const auto models = m_newest.find(service);
    if (models == m_newest.end())
        return 0;
    const auto found = models->second.find(model);
    return found == models->second.end() ? 0 : found->second;
}

std::map<std::string, int> target_registry::oldestVersions() const
{
    std::map<std::string, int> oldest;
    for (const auto& [id, target] : m_targets) {
        if (target->leaving)
            continue;
        for (const auto& [model, version] : target->registration.weightVersions) {
            const auto [known, isNew] = oldest.emplace(model, version);
            known->second = std::min(known->second, version);
        }
    }
    return oldest;
}

int target_registry::versionOfShare(std::string_view service, std::string_view model, double share) const
{
    std::vector<int> versions;
    for (const auto& [id, target] : m_targets) {
        const auto found = target->registration.weightVersions.find(std::string(model));
        if (target->registration.service == service && target->assigned
            && found != target->registration.weightVersions.end())
            versions.push_back(found->second);
    }
    if (versions.empty())
        return 0;
    std::ranges::sort(versions, std::greater<> {});
    const auto needed = static_cast<std::size_t>(std::ceil(share * static_cast<double>(versions.size())));
    return versions[std::max<std::size_t>(needed, 1) - 1];
}

} // namespace marigold::relay
