#include "rollout_control.h"

#include <relay/events.h>
#include <relay/log_fields.h>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Lost requests at one target within this time are one failure.
constexpr base::duration lossWindow = std::chrono::milliseconds(400);

/// Digests to a few peers follow each other faster than the figures need, and reading them takes processor
/// time. Each of very many peers gets a digest seldom, and none of those may lack the section.
constexpr base::duration sectionInterval = std::chrono::milliseconds(200);
constexpr std::size_t manyPeers = 30;
constexpr std::size_t veryManyPeers = 100;
constexpr double sectionShare = 0.5; ///< Of the digests, between the two numbers.

std::string number(auto value)
{
    return std::to_string(value);
}

} // namespace

rollout_control::rollout_control(target_registry& targets, platform::kv_store& store,
    const state_decoder& decoder, order_lease_holder& lease, base::scheduler& timers, const base::clock& time,
    base::random_source& random, const base::event_log& log, relay_metrics& metrics, options opts)
    : m_targets(targets)
    , m_store(store)
    , m_decoder(decoder)
    , m_lease(lease)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_log(log)
    , m_metrics(metrics)
    , m_options(std::move(opts))
{
    m_targets.setVersionPolicy(this);
}

rollout_control::item& rollout_control::itemFor(const std::string& service)
{
    const auto known = m_items.find(service);
    if (known != m_items.end())
        return known->second;
    // Leaves time for a verdict of others that arrives just before the contact is lost.
    constexpr double contactShare = 0.6;
    const auto contactLimit = base::duration(
        static_cast<std::int64_t>(contactShare * static_cast<double>(m_options.rollback.count())));
    item& added = m_items
                      .emplace(service,
                          item { .rollout = service_rollout(m_clock,
                                     { .service = service,
                                         .exposure = m_options.exposure,
                                         .contactLimit = contactLimit }) })
                      .first->second;
    added.rollout.setMember(memberFor(service));
    added.rollout.setPeers(m_peers);
    added.rollout.setStoreReachable(m_storeReachable);
    return added;
}

exposure_member rollout_control::memberFor(std::string_view service) const
{
    const std::uint64_t own = base::rendezvousScore(service, m_options.process);
    const auto rank = std::ranges::count_if(
        m_peers, [&](const std::string& other) { return base::rendezvousScore(service, other) > own; });
    return {
        .processes = m_peers.size() + 1, .rank = static_cast<std::size_t>(rank), .isolated = !m_storeReachable
    };
}

void rollout_control::setProcesses(std::span<const std::string_view> processes)
{
    m_peers.assign(processes.begin(), processes.end());
    std::erase(m_peers, m_options.process);
    for (auto& [service, at] : m_items) {
        at.rollout.setMember(memberFor(service));
        at.rollout.setPeers(m_peers);
    }
}

void rollout_control::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
    for (auto& [service, at] : m_items) {
        at.rollout.setStoreReachable(reachable);
        at.rollout.setMember(memberFor(service));
    }
}

rollout_targets rollout_control::targetsOf(const service_rollout& rollout) const
{
    rollout_targets found { .lacksCandidate = true };
    for (const auto& [id, target] : m_targets.targets()) {
        const target_registration& registration = target->registration;
        if (registration.service != rollout.settings().service)
            continue;
        found.versions.insert(base::hash64(registration.softwareVersion));
        const version_lane lane = rollout.laneOf(registration.softwareVersion);
        if (lane != version_lane::Candidate)
            found.usualUnfinished += std::max(target->own.requests, 0);
        const bool isColdCandidate = lane == version_lane::Candidate && m_clock.now() < target->coldUntil;
        if (!target->leaving && lane == version_lane::Candidate)
            found.lacksCandidate = false;
        if (!target->leaving && lane != version_lane::Barred && !isColdCandidate)
            (lane == version_lane::Candidate ? found.candidateSlots : found.usualSlots) += registration.slots;
    }
    return found;
}

void rollout_control::eraRaised()
{
    if (m_items.empty())
        return;
    for (auto& [service, at] : m_items) {
        at.rollout.eraRaised();
        at.copied.reset();
    }
    m_rewrittenUntil = m_clock.now() + m_options.operatorTime;
    m_timers.runAfter(m_options.operatorTime, [this, until = m_rewrittenUntil] {
        if (until == m_rewrittenUntil)
            applyCopiedRequests();
    });
    scheduleStep();
}

bool rollout_control::isRequestKept(item& at, const rollout_request& request)
{
    const rollout_status& status = at.rollout.status();
    const bool isDecided = at.rollout.request().to.empty() && status.state != rollout_state::Running;
    const std::string& known = isDecided ? status.to : at.rollout.request().to;
    if (m_clock.now() >= m_rewrittenUntil || known.empty())
        return false;
    if (request.to == known) {
        at.rollout.requestRewritten(request);
        return true;
    }
    if (m_isInSnapshot)
        at.copied = request;
    return m_isInSnapshot;
}

void rollout_control::applyCopiedRequests()
{
    for (auto& [service, at] : m_items)
        if (const auto copied = std::exchange(at.copied, std::nullopt))
            requestObserved(*copied, true);
}

void rollout_control::requestObserved(const rollout_request& request, bool isWitnessed)
{
    if (request.to.empty() && !m_items.contains(request.service))
        return;
    item& at = itemFor(request.service);
    at.copied.reset();
    if (request.to == at.rollout.request().to && request.revision == at.rollout.request().revision)
        return;
    if (isRequestKept(at, request))
        return scheduleStep();
    at.rollout.setRequest(request, targetsOf(at.rollout), isWitnessed);
    at.isBadLogged = false;
    at.loggedPhase = at.rollout.phase();
    m_log.write(events::rolloutRequested,
        { { "service", request.service }, { "to", request.to.empty() ? "-" : request.to },
            { "limit_ms", milliseconds(request.limit) }, { "revision", number(request.revision) } });
    applyVersions(request.service);
    scheduleStep();
}

void rollout_control::statusObserved(const rollout_status& status)
{
    if (status.to.empty() && !m_items.contains(status.service))
        return;
    item& at = itemFor(status.service);
    const rollout_status before = at.rollout.status();
    at.rollout.setStatus(status);
    if (before.to != status.to || before.state != status.state)
        m_log.write(events::rolloutStatus,
            { { "service", status.service }, { "to", status.to.empty() ? "-" : status.to },
                { "state", status.to.empty() ? std::string("-") : std::string(nameOf(status.state)) },
                { "revision", number(status.revision) },
                { "age_ms", at.rollout.request().to.empty() ? "-" : milliseconds(at.rollout.age()) },
                { "exposed", number(at.rollout.exposedByAll()) } });
    applyVersions(status.service);
    scheduleStep();
}

void rollout_control::retain(const std::set<std::string>& requests, const std::set<std::string>& statuses)
{
    std::vector<std::string> services;
    for (const auto& [service, at] : m_items)
        services.push_back(service);
    for (const std::string& service : services) {
        if (!requests.contains(service))
            requestObserved({ .service = service }, true);
        if (!statuses.contains(service))
            statusObserved({ .service = service });
    }
    m_isInSnapshot = false;
}

version_lane rollout_control::laneOf(std::string_view service, std::string_view version) const
{
    const auto found = m_items.find(service);
    return found == m_items.end() ? version_lane::Usual : found->second.rollout.laneOf(version);
}

lane_choice rollout_control::lanesFor(std::string_view service, bool isRepeated)
{
    const auto found = m_items.find(service);
    return found == m_items.end() ? lane_choice {}
                                  : found->second.rollout.lanes(isRepeated, m_random.uniform());
}

bool rollout_control::isShifting(std::string_view service) const
{
    const auto found = m_items.find(service);
    return found != m_items.end() && found->second.rollout.isRunning();
}

void rollout_control::requestSent(const target_registration& target, bool isFirst)
{
    const auto found = m_items.find(target.service);
    if (found == m_items.end())
        return;
    found->second.rollout.requestSent(target.softwareVersion, isFirst);
    if (found->second.rollout.isRunning())
        m_metrics.versionRequestSent(laneOf(target.service, target.softwareVersion));
}

void rollout_control::attemptEnded(
    const target_registration& target, std::string_view route, attempt_outcome outcome, base::duration took)
{
    const auto found = m_items.find(target.service);
    if (found == m_items.end())
        return;
    item& at = found->second;
    if (outcome == attempt_outcome::Lost) {
        base::time_point& last = at.lastLost[target.id];
        if (last != base::time_point {} && m_clock.now() - last < lossWindow)
            return;
        last = m_clock.now();
    }
    if (at.rollout.isRunning())
        m_metrics.versionAnswered(
            laneOf(target.service, target.softwareVersion), outcome != attempt_outcome::Answered);
    // A new target that is cold is slow whatever its version.
    const auto held = m_targets.targets().find(target.id);
    if (held != m_targets.targets().end() && m_clock.now() < held->second->coldUntil
        && laneOf(target.service, target.softwareVersion) == version_lane::Candidate)
        took = base::duration::zero();
    at.rollout.answered(
        target.softwareVersion, base::hash64(route), outcome != attempt_outcome::Answered, took);
}

void rollout_control::applyVersions(std::string_view service)
{
    m_targets.applyVersionPolicy(service);
    item& at = m_items.find(service)->second;
    at.rollout.setTargets(targetsOf(at.rollout));
}

void rollout_control::refreshTargets()
{
    for (auto& [service, at] : m_items)
        at.rollout.setTargets(targetsOf(at.rollout));
}

void rollout_control::scheduleStep()
{
    if (std::exchange(m_stepScheduled, true))
        return;
    m_timers.runAfter(m_options.interval, [this] {
        m_stepScheduled = false;
        step();
    });
}

void rollout_control::step()
{
    bool isActive = false;
    for (auto& [service, at] : m_items) {
        stepService(at);
        isActive = isActive || at.rollout.report() || at.rollout.due();
    }
    if (isActive)
        scheduleStep();
}

void rollout_control::stepService(item& at)
{
    service_rollout& rollout = at.rollout;
    rollout.setStoreReachable(m_storeReachable);
    rollout.setTargets(targetsOf(rollout));
    rollout.judge();
    const bool mayWrite = m_storeReachable && m_lease.isHeld();
    if (mayWrite)
        rollout.advance();
    logChanges(at);
    if (const auto decision = rollout.due(); decision && mayWrite)
        write(at, *decision);
}

void rollout_control::logChanges(item& at)
{
    const service_rollout& rollout = at.rollout;
    const rollout_request& request = rollout.request();
    if (rollout.phase() != at.loggedPhase) {
        at.loggedPhase = rollout.phase();
        m_log.write(events::rolloutPhase,
            { { "service", request.service }, { "to", request.to },
                { "phase", std::string(nameOf(rollout.phase())) }, { "age_ms", milliseconds(rollout.age()) },
                { "answers", number(rollout.judged().judged()) },
                { "exposed", number(rollout.exposedByAll()) } });
    }
    const auto& bad = rollout.judged().bad();
    if (at.isBadLogged || (!bad && !rollout.isBad()))
        return;
    at.isBadLogged = true;
    const bool isLate = !rollout.isRunning() && !rollout.isBad();
    m_log.write(isLate ? events::rolloutWorse : events::rolloutBad,
        { { "service", request.service }, { "to", request.to }, { "found_by", bad ? "this_process" : "peer" },
            { "route", bad && bad->route != 0 ? fmt::format("{:016x}", bad->route) : "all" },
            { "answers", number(bad ? bad->answers : 0) }, { "bad", number(bad ? bad->bad : 0) },
            { "usual_bad_share", bad ? fmt::format("{:.3f}", bad->usualShare) : "-" },
            { "age_ms", milliseconds(rollout.age()) }, { "exposed", number(rollout.exposedByAll()) } });
    applyVersions(request.service);
}

void rollout_control::write(item& at, const service_rollout::decision& decision)
{
    if (at.isWriting || m_clock.now() < at.nextWriteAt)
        return;
    at.isWriting = true;
    const rollout_request& request = at.rollout.request();
    const rollout_status& present = at.rollout.status();
    const rollout_status status { .service = at.rollout.settings().service,
        .state = decision.state,
        .to = request.to.empty() ? present.to : request.to };
    m_store.put({ .key = m_decoder.rolloutStatusKey(status.service),
                    .value = m_decoder.rolloutStatusValue(status),
                    .expectedRevision = at.rollout.storedRevision() },
        [this, status, reason = decision.reason](base::result<std::uint64_t> revision) {
            writeEnded(status.service, status, reason, std::move(revision));
        });
}

void rollout_control::writeEnded(const std::string& service, const rollout_status& status,
    std::string_view reason, base::result<std::uint64_t> revision)
{
    item& at = m_items.find(service)->second;
    m_log.write(events::rolloutStatusWritten,
        { { "service", service }, { "to", status.to }, { "state", std::string(nameOf(status.state)) },
            { "reason", std::string(reason) },
            { "outcome", revision ? std::string("written") : revision.error().message } });
    if (!revision) {
        at.nextWriteAt = m_clock.now() + m_options.retryDelay;
        return readStatus(service);
    }
    at.isWriting = false;
    rollout_status written = status;
    written.revision = *revision;
    statusObserved(written);
}

void rollout_control::readStatus(const std::string& service)
{
    // Another process may have written it, or the write may have been carried out although its reply was
    // lost.
    m_store.get(m_decoder.rolloutStatusKey(service),
        [this, service](base::result<std::optional<platform::kv_entry>> entry) {
            m_items.find(service)->second.isWriting = false;
            if (!entry)
                return;
            if (!*entry)
                return statusObserved({ .service = service });
            const auto decoded = m_decoder.decode(**entry);
            const auto* status = decoded ? std::get_if<rollout_status>(&*decoded) : nullptr;
            // An entry that can't be read is replaced, on condition of its revision.
            statusObserved(
                status ? *status : rollout_status { .service = service, .revision = (*entry)->revision });
        });
}

digest_section rollout_control::section()
{
    return { .id = digest_section_id::VersionOutcomes,
        .write = [this] { return writeSection(); },
        .read = [this](std::string_view process, std::string_view bytes) { readSection(process, bytes); } };
}

std::string rollout_control::writeSection()
{
    if (m_items.empty() || m_peers.empty())
        return {};
    if (m_peers.size() < manyPeers && m_clock.now() - m_sectionAt < sectionInterval)
        return {};
    // By chance, since some peers get every second digest of this process only.
    if (m_peers.size() >= manyPeers && m_peers.size() < veryManyPeers && m_random.uniform() >= sectionShare)
        return {};
    std::vector<version_report> reports;
    for (auto& [service, at] : m_items) {
        if (!at.rollout.report())
            continue;
        at.rollout.setTargets(targetsOf(at.rollout));
        reports.push_back(*at.rollout.report());
    }
    if (reports.empty())
        return {};
    m_sectionAt = m_clock.now();
    return encodeReports(reports);
}

void rollout_control::readSection(std::string_view process, std::string_view bytes)
{
    const auto reports = decodeReports(bytes);
    if (!reports)
        return;
    for (const version_report& report : *reports)
        for (auto& [service, at] : m_items)
            if (base::hash64(service) == report.service) {
                const bool wasBad = at.rollout.isBad();
                at.rollout.reportReceived(process, report);
                if (at.rollout.isBad() != wasBad)
                    logChanges(at);
            }
}

std::size_t rollout_control::running() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_items, [](const auto& entry) { return entry.second.rollout.isRunning(); }));
}

} // namespace marigold::relay
