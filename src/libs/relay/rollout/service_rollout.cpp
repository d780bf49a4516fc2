#include "service_rollout.h"

#include <algorithm>
#include <utility>

namespace marigold::relay {

service_rollout::service_rollout(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
    , m_judge(m_options.judge)
    , m_lastContact(time.now())
    , m_lastStep(time.now())
{
}

bool service_rollout::statusAnswersRequest() const
{
    return m_status.to == m_request.to && m_status.revision > m_request.revision;
}

service_rollout::use service_rollout::state() const
{
    if (!m_request.to.empty() && !m_isKept && !statusAnswersRequest())
        return use::Running;
    if (m_status.to.empty())
        return use::Unrestricted;
    switch (m_status.state) {
    case rollout_state::Completed:
        return use::Completed;
    case rollout_state::RolledBack:
        return use::RolledBack;
    case rollout_state::Running:
        break;
    }
    // Without its request, a roll-out that has not been decided is given up.
    return m_request.to.empty() ? use::RolledBack : use::Running;
}

void service_rollout::setRequest(
    const rollout_request& request, const rollout_targets& targets, bool isWitnessed)
{
    if (request.revision == m_request.revision && request.to == m_request.to)
        return;
    const use before = state();
    const std::uint64_t version = base::hash64(request.to);
    // A version whose roll-out ends without a decision has never been allowed to serve all requests.
    if (before == use::Running && m_request.to != request.to && !m_usual.contains(base::hash64(m_request.to)))
        m_barred.insert(base::hash64(m_request.to));
    if (request.to.empty()) {
        m_request = request;
        return;
    }
    if (before == use::RolledBack)
        m_barred.insert(base::hash64(m_status.to));
    if (before == use::Completed)
        m_usual = { base::hash64(m_status.to) };
    m_barred.erase(version);
    if (m_usual.empty() && isWitnessed) {
        m_usual = targets.versions;
        // Registered before the request was seen; it has still to be judged.
        m_usual.erase(version);
        for (const std::uint64_t barred : m_barred)
            m_usual.erase(barred);
    }
    m_request = request;
    m_targets = targets;
    m_since = m_phaseSince = m_lastStep = m_clock.now();
    m_phase = m_usual.contains(version) ? rollout_phase::All : rollout_phase::Observing;
    m_isBad = false;
    m_judge = version_judge(m_options.judge);
    m_requests = 0;
    m_exposed = 0;
    m_answers.clear();
    m_peers.clear();
    m_startedLater = !isWitnessed;
    m_completedAt.reset();
    if (std::exchange(m_isKept, false))
        applyStatus(m_stored);
}

void service_rollout::eraRaised()
{
    m_isKept = state() == use::Completed
        || (state() == use::RolledBack && m_status.state == rollout_state::RolledBack);
    m_request.revision = 0;
    m_status.revision = 0;
    m_stored = {};
}

void service_rollout::requestRewritten(const rollout_request& request)
{
    const bool isDecided = state() != use::Running;
    m_request = request;
    m_isKept = isDecided && !statusAnswersRequest();
}

void service_rollout::setStatus(const rollout_status& status)
{
    if (!status.to.empty() && status.revision <= m_stored.revision)
        return;
    m_stored = status;
    const bool isConfirmed = status.to == m_status.to && status.state == m_status.state
        && (m_request.to.empty() || status.revision > m_request.revision);
    if (m_isKept && !isConfirmed)
        return;
    m_isKept = false;
    applyStatus(status);
}

void service_rollout::applyStatus(const rollout_status& status)
{
    const use before = state();
    m_status = status;
    const std::uint64_t version = base::hash64(status.to);
    if (status.to.empty())
        return;
    if (status.state == rollout_state::Completed) {
        m_usual = { version };
        m_barred.erase(version);
        if (before != use::Completed)
            m_completedAt = m_clock.now();
    } else if (status.state == rollout_state::RolledBack) {
        m_barred.insert(version);
        m_usual.erase(version);
        // The verdict holds even if the entry is removed.
        m_isBad = m_isBad || statusAnswersRequest();
    }
    if (state() == use::Running)
        m_barred.erase(base::hash64(m_request.to));
}

void service_rollout::setStoreReachable(bool reachable)
{
    const base::time_point now = m_clock.now();
    if (now - m_lastStep > m_options.pauseThreshold)
        m_pausedUntil = now + m_options.readTime;
    m_lastStep = now;
    m_storeReachable = reachable;
    if (reachable)
        m_lastContact = now;
}

void service_rollout::reportReceived(std::string_view process, const version_report& report)
{
    if (report.request != requestId() || m_request.to.empty())
        return;
    const base::time_point now = m_clock.now();
    m_lastContact = now;
    m_peers[std::string(process)] = { .at = now, .report = report };
    m_since = std::min(m_since, now - report.age);
    if (m_startedLater && m_usual.empty() && state() == use::Running)
        m_usual = report.usualVersions;
    if (report.phase > m_phase) {
        m_phase = report.phase;
        m_phaseSince = now;
    }
    m_isBad = m_isBad || report.isBad;
}

std::uint64_t service_rollout::requestId() const
{
    return m_request.revision != 0 ? m_request.revision : base::hash64(m_request.to);
}

bool service_rollout::isUsual(std::uint64_t version) const
{
    return m_usual.empty() ? !m_barred.contains(version) : m_usual.contains(version);
}

version_lane service_rollout::laneOf(std::string_view version) const
{
    const std::uint64_t hash = base::hash64(version);
    switch (state()) {
    case use::Unrestricted:
        return m_barred.contains(hash) ? version_lane::Barred : version_lane::Usual;
    case use::Running:
        if (version == m_request.to)
            return m_isBad ? version_lane::Barred : version_lane::Candidate;
        return isUsual(hash) ? version_lane::Usual : version_lane::Barred;
    case use::Completed:
        return version == m_status.to ? version_lane::Usual : version_lane::Barred;
    case use::RolledBack:
        return version != m_status.to && isUsual(hash) ? version_lane::Usual : version_lane::Barred;
    }
    return version_lane::Barred;
}

bool service_rollout::hasContact() const
{
    const base::time_point now = m_clock.now();
    if (now < m_pausedUntil || now - m_lastStep > m_options.pauseThreshold)
        return false;
    return m_storeReachable || now - m_lastContact < m_options.contactLimit;
}

bool service_rollout::mayExpose() const
{
    exposure_member member = m_member;
    member.startedLater = m_startedLater;
    return static_cast<double>(m_exposed + 1)
        <= exposureAllowance(m_options.exposure, member, m_requests + 1);
}

bool service_rollout::hasUsualTarget() const
{
    return std::ranges::any_of(m_targets.versions,
        [this](std::uint64_t version) { return version != base::hash64(m_request.to) && isUsual(version); });
}

lane_choice service_rollout::lanes(bool isRepeated, double uniform)
{
    constexpr auto usual = version_lane::Usual;
    constexpr auto candidate = version_lane::Candidate;
    if (state() != use::Running || m_isBad)
        return {};
    if (!hasUsualTarget())
        return { .first = candidate };
    if (!hasContact())
        return m_phase == rollout_phase::All ? lane_choice { .first = usual, .second = candidate }
                                             : lane_choice {};
    switch (m_phase) {
    case rollout_phase::Observing:
        // A repeated request goes to a version that is known to work.
        return isRepeated || !mayExpose() ? lane_choice {}
                                          : lane_choice { .first = candidate, .second = usual };
    case rollout_phase::Quarter:
    case rollout_phase::Half:
        if (!isRepeated && uniform < shareOf(m_phase))
            return { .first = candidate, .second = usual };
        return { .first = usual };
    case rollout_phase::All:
        // The others run until the completion, which then does not come.
        return { .first = m_targets.lacksCandidate ? usual : candidate };
    }
    return {};
}

void service_rollout::requestSent(std::string_view version, bool isFirst)
{
    if (isFirst)
        m_requests += m_judge.judged() >= m_options.manyAnswers ? m_options.requestWeight : 1;
    if (state() == use::Running && laneOf(version) == version_lane::Candidate)
        ++m_exposed;
}

void service_rollout::answered(
    std::string_view version, std::uint64_t route, bool failed, base::duration took)
{
    if (m_request.to.empty())
        return;
    route_answers& both = m_answers[route];
    answer_counts& counts = version == m_request.to ? both.candidate : both.usual;
    if (failed)
        ++counts.failed;
    else
        ++counts.byTime[answer_counts::bucketOf(took)];
}

void service_rollout::judge()
{
    if (m_request.to.empty())
        return;
    answers_by_route sums = m_answers;
    for (const auto& [process, peer] : m_peers)
        for (const auto& [route, answers] : peer.report.answers) {
            sums[route].usual += answers.usual;
            sums[route].candidate += answers.candidate;
        }
    m_judge.update(sums);
    // After the completion there is nothing to go back to.
    if (state() == use::Running && m_judge.bad())
        m_isBad = true;
}

base::duration service_rollout::age() const
{
    return m_clock.now() - m_since;
}

double service_rollout::ageShare() const
{
    return std::chrono::duration<double>(age())
        / std::chrono::duration<double>(std::max<base::duration>(m_request.limit, std::chrono::seconds(1)));
}

bool service_rollout::advance()
{
    if (state() != use::Running || m_isBad)
        return false;
    const double phaseAge = std::chrono::duration<double>(m_clock.now() - m_phaseSince)
        / std::chrono::duration<double>(std::max<base::duration>(m_request.limit, std::chrono::seconds(1)));
    rollout_phase next = nextPhase(m_options.schedule,
        { .phase = m_phase,
            .age = ageShare(),
            .phaseAge = phaseAge,
            .answers = m_judge.judged(),
            .candidateSlots = m_targets.candidateSlots,
            .usualSlots = m_targets.usualSlots });
    if (next == m_phase)
        return false;
    m_phase = next;
    m_phaseSince = m_clock.now();
    return true;
}

bool service_rollout::isMoved() const
{
    // A process that follows the last phase and has no request left at other versions stays so.
    return m_targets.usualUnfinished == 0 && std::ranges::all_of(m_registered, [this](const auto& id) {
        const auto peer = m_peers.find(id);
        return peer != m_peers.end() && peer->second.report.phase == rollout_phase::All
            && peer->second.report.usualUnfinished == 0;
    });
}

std::optional<service_rollout::decision> service_rollout::due() const
{
    if (m_isKept)
        return decision { .state = m_status.state, .reason = "store_older" };
    if (state() != use::Running) {
        if (m_request.to.empty() && !m_status.to.empty() && m_status.state == rollout_state::Running)
            return decision { .state = rollout_state::RolledBack, .reason = "withdrawn" };
        return std::nullopt;
    }
    if (m_isBad)
        return decision { .state = rollout_state::RolledBack, .reason = "judged_bad" };
    const double age = ageShare();
    if (m_phase == rollout_phase::All && !m_targets.lacksCandidate) {
        if (age >= m_options.schedule.completeAt && isMoved())
            return decision { .state = rollout_state::Completed, .reason = "moved" };
        if (age >= m_options.schedule.forcedAt)
            return decision { .state = rollout_state::Completed, .reason = "requests_unfinished" };
    } else if (age >= 1 && (m_judge.judged() == 0 || m_targets.lacksCandidate)) {
        return decision { .state = rollout_state::RolledBack,
            .reason = m_targets.lacksCandidate ? "no_targets" : "no_answers" };
    }
    if (m_status.to != m_request.to || m_status.state != rollout_state::Running
        || m_status.revision < m_request.revision)
        return decision { .state = rollout_state::Running, .reason = "requested" };
    return std::nullopt;
}

std::optional<version_report> service_rollout::report() const
{
    const bool isReviewed = m_completedAt && m_clock.now() - *m_completedAt < m_options.reviewTime;
    if (m_request.to.empty() || (state() != use::Running && !isReviewed && !m_isKept))
        return std::nullopt;
    return version_report { .service = base::hash64(m_options.service),
        .request = requestId(),
        .age = age(),
        .phase = m_phase,
        .isBad = m_isBad,
        .usualUnfinished = m_targets.usualUnfinished,
        .exposed = m_exposed,
        .usualVersions = m_usual,
        .answers = m_answers };
}

std::int64_t service_rollout::exposedByAll() const
{
    std::int64_t sum = m_exposed;
    for (const auto& [process, peer] : m_peers)
        sum += peer.report.exposed;
    return sum;
}

} // namespace marigold::relay
