#pragma once

#include "rollout_record.h"
#include "traffic_shift.h"
#include "version_judge.h"
#include "version_lane.h"

#include <base/base.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// The targets of a service as one process sees them.
struct rollout_targets {
    std::set<std::uint64_t> versions = {}; ///< Hashes of the versions of the registered targets.
    int candidateSlots = 0; ///< Of the warm targets of the new version that get requests.
    int usualSlots = 0;
    bool lacksCandidate = false; ///< No target of the new version takes requests, not even a cold one.
    std::int64_t usualUnfinished = 0; ///< Requests of this process at targets of other versions.
};

/// The versions of one service in one process: what the operator and the status entry say, what this process
/// and its peers have measured, and what follows for the next request.
///
/// The status entry counts for the request if it names the same version and has a later revision. A decision
/// that the platform's store has lost stays in force, and is due to be written again. Every
/// process stops at the first sign of a bad version that it or a peer finds; only the process that may write
/// the status begins a new phase, and the others follow its reports.
class service_rollout {
public:
    struct options {
        std::string service;
        exposure_bound exposure = {};
        shift_schedule schedule = {};
        version_judge::options judge = {};
        /// Once the new version has given so many answers, each request earns this part of the share only.
        /// What is left covers requests until a fault is found that appears when the share grows.
        std::int64_t manyAnswers = 150;
        double requestWeight = 0.5;
        /// Without a word of a peer or of the platform's store for this time, this process sends nothing to
        /// a version that may have been rolled back.
        base::duration contactLimit = std::chrono::seconds(3);
        /// Time without a call of `setStoreReachable` after which this process has been paused. It then knows
        /// only the state before, until it has read what happened meanwhile.
        base::duration pauseThreshold = std::chrono::milliseconds(700);
        base::duration readTime = std::chrono::milliseconds(1200);
        /// Time after the completion in which the version is still judged, for the log.
        base::duration reviewTime = std::chrono::seconds(30);
    };

    service_rollout(const base::clock& time, options opts);

    /// Records the request in force; \a isWitnessed unless it was written before this process started.
    void setRequest(const rollout_request& request, const rollout_targets& targets, bool isWitnessed);
    void setStatus(const rollout_status& status);

    /// Keeps what is known, and forgets its revisions, since the platform's store has begun another era.
    void eraRaised();

    /// Records that the request in force has been written again.
    void requestRewritten(const rollout_request& request);
    void setMember(const exposure_member& member) { m_member = member; }

    /// Sets the ids of the other registered processes.
    void setPeers(std::vector<std::string> peers) { m_registered = std::move(peers); }
    void setTargets(const rollout_targets& targets) { m_targets = targets; }

    /// Records whether the platform's store answers. To be called periodically.
    void setStoreReachable(bool reachable);

    /// Records what \a process has reported; ignored if it is about another request.
    void reportReceived(std::string_view process, const version_report& report);

    version_lane laneOf(std::string_view version) const;
    lane_choice lanes(bool isRepeated, double uniform);

    /// Records that a request was sent to a target of \a version; \a isFirst unless it was sent before.
    void requestSent(std::string_view version, bool isFirst);

    /// Records the end of an attempt at a target of \a version.
    void answered(std::string_view version, std::uint64_t route, bool failed, base::duration took);

    /// Updates the verdict from all reports.
    void judge();

    /// Begins the next phase if it is due. To be called only by the process that may write the status; it
    /// returns true if a phase has begun.
    bool advance();

    /// Status that the entry in the platform's store should have, and why.
    struct decision {
        rollout_state state = rollout_state::Running;
        std::string_view reason = {};
    };

    /// Returns what to write; empty if the entry is right.
    std::optional<decision> due() const;

    /// Returns the report of this process; empty if no peer needs it.
    std::optional<version_report> report() const;

    const rollout_request& request() const { return m_request; }
    const rollout_status& status() const { return m_status; }

    /// Returns the revision of the status entry in the platform's store; 0 if it is absent.
    std::uint64_t storedRevision() const { return m_stored.revision; }
    rollout_phase phase() const { return m_phase; }
    base::duration age() const;
    bool isRunning() const { return state() == use::Running; }
    bool isShifting() const { return isRunning(); }
    bool isBad() const { return m_isBad; }
    const version_judge& judged() const { return m_judge; }
    const options& settings() const { return m_options; }
    std::int64_t exposedByAll() const;

private:
    enum class use { Unrestricted, Running, Completed, RolledBack };

    use state() const;
    bool statusAnswersRequest() const;
    /// Names the request in reports, also until it has been written again.
    std::uint64_t requestId() const;
    void applyStatus(const rollout_status& status);
    bool isUsual(std::uint64_t version) const;
    bool hasContact() const;
    bool mayExpose() const;
    bool hasUsualTarget() const;
    /// Returns whether no process has requests at other versions or may send one there.
    bool isMoved() const;
    double ageShare() const;

    const base::clock& m_clock;
    options m_options;
    rollout_request m_request;
    rollout_status m_status; ///< In force.
    rollout_status m_stored; ///< In the platform's store.
    /// The status in force is a decision that the platform's store has lost, or had before the request.
    bool m_isKept = false;
    rollout_targets m_targets;
    exposure_member m_member;
    bool m_startedLater = false;
    std::vector<std::string> m_registered;
    std::set<std::uint64_t> m_usual; ///< Versions in use before the request; all others if empty.
    std::set<std::uint64_t> m_barred; ///< Versions that were rolled back or replaced.
    base::time_point m_since {}; ///< Of the request, as far as known.
    base::time_point m_phaseSince {};
    rollout_phase m_phase = rollout_phase::Observing;
    bool m_isBad = false;
    version_judge m_judge;
    double m_requests = 0; ///< That earn a share for the new version; see `requestWeight`.
    std::int64_t m_exposed = 0;
    answers_by_route m_answers;
    struct peer_report {
        base::time_point at {};
        version_report report;
    };
    std::map<std::string, peer_report, std::less<>> m_peers;
    bool m_storeReachable = true;
    base::time_point m_lastContact {};
    base::time_point m_lastStep {}; ///< Last call of `setStoreReachable`.
    base::time_point m_pausedUntil {}; ///< What happened during a pause has been read then.
    std::optional<base::time_point> m_completedAt;
};

} // namespace marigold::relay
