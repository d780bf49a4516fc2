#pragma once

#include "paced_average.h"
#include "target_load_report.h"
#include "target_notice.h"
#include "target_pace.h"
#include "target_standing.h"
#include "unseen_requests.h"
#include <relay/admission/send_rate_limiter.h>
#include <relay/exchange/load_digest.h>
#include <relay/message/wire_dialect.h>
#include <relay/orders/weights_in_use.h>
#include <relay/placement/sender_groups.h>
#include <relay/rollout/version_lane.h>
#include <relay/store/relay_config.h>

#include <routing/routing.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::relay {

/// State of a target as seen by this process.
struct target_record {
    target_registration registration;
    routing::target_index index = routing::noTarget;
    base::time_point coldUntil {};
    base::time_point pausedUntil {}; ///< Has refused a request; gets none until then.
    /// Has asked for no requests until then; unlike after other refusals, this binds also if no other target
    /// is left.
    base::time_point requestedPauseUntil {};
    send_rate_limiter sendLimiter;
    std::uint64_t hash = 0; ///< Hash of the id; identifies the target in digests.
    bool assigned = true; ///< This process may send requests to the target.
    std::size_t senders = 1; ///< Number of processes that may, including this one.
    std::size_t rank = 0; ///< Number of those that precede this process where the bound is small.
    target_load own; ///< Unfinished work of this process.
    target_load peers; ///< Unfinished work of the other processes, as last reported.
    /// Prefill speed of prompts with no other prefill ahead of them, in tokens per second.
    paced_average prefillSpeed { paced_average::quantity::PerSecond };
    paced_average serviceTime { paced_average::quantity::Seconds }; ///< Run time.
    target_pace pace;
    unseen_requests unseen;
    bool isPacePublished = false; ///< The routing table has its load at a pace that has to be updated.
    /// Time of the last byte received, or of the first send after an idle period.
    base::time_point lastActivityAt {};
    bool removed = false;
    bool leaving = false; ///< By its registration or by an answer; gets no more requests.
};

/// Which load reports of targets are used.
enum class load_report_use {
    None,
    WithPace, ///< Those that state the pace of the machine.
    All,
};

/// Where prompts are spread over targets of about equal cost. Otherwise the cheapest one is chosen, however
/// small the difference, and processes that know the same choose the same one.
enum class choice_spread {
    Never,
    WithPace, ///< At services whose targets report a pace.
    Always,
};

/// The registered targets and the state that routing needs of each.
class target_registry {
public:
    struct options {
        std::string process = {};
        std::string failureDomain = {}; ///< Failure domain of this process.
        /// A cold target can serve its stated rate times this factor, plus the slack, within a second.
        double coldFactor = 1;
        double coldSlack = 0;
        /// Grace period for targets that are missing when the list is read again after a store outage, since
        /// they may be about to register again.
        base::duration missingGrace = std::chrono::milliseconds(2300);
        /// Share of an engine's memory that requests may need at their end. The estimates are inexact, and an
        /// engine that runs out of memory evicts context and recomputes it.
        double memoryShare = 0.95;
        /// Prefill backlog of an engine above which it gets no more requests. They wait in this process
        /// instead, where another engine can still be chosen.
        base::duration prefillBacklog = std::chrono::milliseconds(150);
        /// A target with unfinished requests may send nothing for this long, in addition to twice the
        /// expected prefill time of its backlog.
        base::duration inactivityLimit = std::chrono::milliseconds(700);
        /// Requests per slot of a plain service. A value above one hides the network round trip.
        double plainOverbooking = 1.5;
        /// Time for which a target gets no requests after it has refused one without running it: it is full
        /// or loads weights, and its state is known here only with a delay.
        base::duration refusalPause = std::chrono::milliseconds(250);
        /// Load reported by a peer expires after this time without an update: its requests have ended or are
        /// reported elsewhere.
        base::duration peerLoadTimeout = std::chrono::milliseconds(1500);
        load_report_use loadReports = load_report_use::WithPace;
        choice_spread spread = choice_spread::WithPace;
        std::optional<std::uint64_t> seed = {}; ///< Of the random choices; by default from the system.
        /// Time after which the load of a target is published again while its pace returns to usual.
        base::duration paceRefresh = std::chrono::milliseconds(50);
    };

    target_registry(const base::clock& time, options opts);

    /// Adds a target or updates its state.
    void put(const target_registration& registration);
    void remove(std::string_view id);

    /// Removes the target \a id, whose registration has ended. If the platform's store has lost changes
    /// shortly before, it is kept until the grace period of that ends. Returns whether it was removed.
    bool unregister(std::string_view id);

    /// Removes the targets whose ids are not in \a present after the grace period. It begins anew if the
    /// platform's store \a hasLostChanges.
    void retainTargets(const std::vector<std::string>& present, bool hasLostChanges = false);

    /// Removes targets that have been missing for the grace period, and load reported by peers that have
    /// timed out. To be called periodically.
    void removeExpired();

    void setConfig(std::shared_ptr<const relay_config> config);
    void setExcludedDomains(const std::vector<std::string>& domains)
    {
        m_excludedDomains = domains;
        m_table.setExcludedDomains(domains);
    }

    /// Sets the registered processes by id and divides the targets among them.
    void setProcesses(std::span<const std::string_view> processes);
    const sender_groups& groups() const { return m_groups; }

    /// Sets whether this process has lost contact with the platform's store, so that others may not count it.
    void setIsolated(bool isolated) { m_isolated = isolated; }

    target_record* record(routing::target_index index);
    const std::map<std::string, std::shared_ptr<target_record>, std::less<>>& targets() const
    {
        return m_targets;
    }

    /// Returns true if \a target can start \a work soon and its request rate limit allows one more request.
    bool canAccept(target_record& target, const target_load& work) const;

    /// Returns the prefill time of \a work at an idle target of \a service; 0 if nothing was measured yet.
    base::duration idlePrefillTime(std::string_view service, const target_load& work) const;

    /// Returns for how long \a work occupies a whole target of \a service by the resource of which it needs
    /// the largest share; 0 if nothing was measured yet. All requests of a plain service count the same.
    base::duration capacityTime(std::string_view service, const target_load& work) const;

    /// Returns the expected prefill time of \a work at \a target, including the backlog there.
    base::duration expectedPrefillTime(const target_record& target, const target_load& work) const;

    /// Records that a request with \a work is sent to \a target.
    void requestStarted(target_record& target, const target_load& work);

    /// Records that the prefill of \a prefillTokens ended after \a took. Zero means that the time is no
    /// measure of the speed, since other prompts were ahead.
    void prefillFinished(target_record& target, std::int64_t prefillTokens, base::duration took);

    /// Records the end of a request; \a work is its remaining load.
    void requestFinished(target_record& target, const target_load& work, base::duration took);

    /// Records whether \a target is loading weights by order of this process, so that no process sends
    /// requests to it.
    void setLoading(target_record& target, bool loading);

    /// Called when the load of a target changes such that the other processes should know at once.
    struct load_observer {
        std::function<void(const target_record&)> loadingChanged; ///< After each change by `setLoading`.
        std::function<void(const target_record&)> requestStarted;
    };
    void setLoadObserver(load_observer observer) { m_observer = std::move(observer); }

    /// Records what an answer of \a target says about it. The registration may have been replaced or removed
    /// since the request was sent.
    void noticeReceived(const target_registration& target, const target_notice& notice);

    /// Records the load that \a target reports with an answer that has just begun.
    void loadReported(target_record& target, const target_load_report& report);

    /// Records the \a pace in percent that a target has reported to another process at \a at. The target is
    /// named by the high half of its hash; a name that two targets share is ignored.
    void paceReported(std::uint32_t highHash, int pace, base::time_point at);

    /// Called with each pace that a target reports to this process.
    void setPaceObserver(std::function<void(const target_record&, int)> observer)
    {
        m_paceObserver = std::move(observer);
    }

    /// Called with the first target of a service that reports a pace.
    void setFirstPaceObserver(std::function<void(const target_registration&)> observer)
    {
        m_firstPaceObserver = std::move(observer);
    }

    /// Returns whether prompts are spread over the targets of \a service that have about equal cost.
    bool isSpread(std::string_view service) const
    {
        return m_options.spread == choice_spread::Always
            || (m_options.spread == choice_spread::WithPace && m_pacedServices.contains(service));
    }

    /// Publishes the loads of targets whose pace has changed by its age. To be called before a choice.
    void refreshPaces();

    /// Called when the targets say something new about themselves.
    struct notice_observer {
        std::function<void(const target_registration&)> leaves;
        std::function<void(const target_registration&, base::duration)> pauses;
    };
    void setNoticeObserver(notice_observer observer) { m_noticeObserver = std::move(observer); }

    /// Returns true if \a target has asked for no requests and the time has not passed.
    bool isPaused(const target_record& target) const { return m_clock.now() < target.requestedPauseUntil; }

    /// Makes targets available whose pause has passed.
    void endPauses();

    /// Returns the earliest end of a pause of a target of \a service that is not in \a tried; the maximum if
    /// there is none.
    base::time_point nextPauseEnd(
        std::string_view service, std::span<const routing::target_index> tried) const;

    /// Returns the earliest time at which a target of \a service that this process may send to wants requests
    /// again, if all of them have said that they want none now: the maximum if all leave.
    std::optional<base::time_point> nextWanted(std::string_view service) const;

    /// Records that a run of \a outputTokens tokens at \a target took \a time after its first token.
    void observeRun(const target_record& target, int outputTokens, base::duration time);

    /// Returns how long a run of \a outputTokens tokens at \a service is expected to take after its first
    /// token; 0 if nothing was measured yet.
    base::duration expectedRun(std::string_view service, int outputTokens) const;

    /// Records that \a target has refused a request without running it.
    void refused(target_record& target) { target.pausedUntil = m_clock.now() + m_options.refusalPause; }

    /// Returns the group of \a target and the number of groups of its service.
    std::pair<std::size_t, std::size_t> groupOf(const target_record& target) const;

    /// Unfinished work of this process at one target.
    struct own_load {
        load_digest::entry entry;
        std::size_t group = 0; ///< Group of the target, and the number of groups of its service.
        std::size_t groups = 1;
    };

    /// Returns the unfinished work of this process at \a target.
    own_load ownLoad(const target_record& target) const;

    /// Returns the unfinished work of this process at each target that has any.
    std::vector<own_load> ownLoads() const;

    /// Sets the time after which load reported by a peer expires; it follows from the interval of the
    /// reports.
    void setPeerLoadTimeout(base::duration timeout) { m_options.peerLoadTimeout = timeout; }

    /// Sets the unfinished work of \a process and replaces what it reported before.
    void setPeerLoad(std::string_view process, const std::vector<load_digest::entry>& loads);

    /// Sets the unfinished work of \a process at the targets in \a loads only.
    void updatePeerLoad(std::string_view process, const std::vector<load_digest::entry>& loads);

    /// Removes the load of processes that are not in \a present.
    template <typename Map> void retainPeers(const Map& present)
    {
        std::vector<std::string> removed;
        for (const auto& [process, reported] : m_peerLoads)
            if (!present.contains(process))
                removed.push_back(process);
        for (const std::string& process : removed)
            setPeerLoad(process, {});
    }

    /// Records that bytes of an answer were received from \a target.
    void bytesReceived(target_record& target) { target.lastActivityAt = m_clock.now(); }

    /// Returns true if \a target has unfinished requests of this process and has sent nothing on any
    /// connection for longer than its load explains. It gets no requests until bytes are received again.
    bool isUnresponsive(const target_record& target) const;

    /// Records whether a request failed because of \a target.
    void observe(target_record& target, bool failed);

    /// Records that \a target has \a version of the weights of \a model.
    void observeVersion(target_record& target, std::string_view model, int version);

    /// Returns the newest version of \a model seen at a target of \a service; 0 if none.
    int newestVersion(std::string_view service, std::string_view model) const;

    /// Returns the oldest version at any target, by model. Draining targets are ignored.
    std::map<std::string, int> oldestVersions() const;

    /// Stops sending requests of \a model to targets with weights older than \a version, for good.
    void stopUsingOlderWeights(std::string_view model, int version);

    weights_in_use& weightsInUse() { return m_weightsInUse; }

    /// Returns the oldest version of \a model on which any registered process starts requests; 0 if unknown.
    int oldestVersionInUse(std::string_view model) const { return m_weightsInUse.oldestOfAll(model); }

    /// Returns the newest version of \a model that at least \a share of the targets of \a service have to
    /// which this process sends; 0 if there are none.
    int versionOfShare(std::string_view service, std::string_view model, double share) const;

    /// Sets the use of software versions; \a policy must outlive this object.
    void setVersionPolicy(const version_policy* policy) { m_versionPolicy = policy; }

    /// Applies the policy to the targets of \a service after it has changed.
    void applyVersionPolicy(std::string_view service);

    /// Returns the name under which `table` lists the targets of \a service in \a lane.
    static std::string groupName(std::string_view service, version_lane lane);

    routing::router& router() { return m_router; }
    const routing::target_table& table() const { return m_table; }

private:
    version_lane laneOf(const target_registration& registration) const;
    routing::target_info infoOf(const target_registration& registration) const;
    std::size_t groupCountOf(std::string_view service) const;
    void assign(target_record& target);
    void assignAll(std::string_view service);
    void countTarget(std::string_view service, int change);
    bool hasCapacity(const target_record& target, const target_load& work) const;
    double plainLimit(const target_record& target) const;
    void paceChanged(target_record& target);
    void servicePaced(const target_record& target);
    double prefillTokensPerSecondOf(const target_record& target) const;
    target_load knownLoad(const target_record& target) const;
    void recordVersions(const target_registration& registration);
    bool hasOldWeights(const target_record& target) const;
    void publishLoad(target_record& target);
    void applyStanding(target_record& target);
    void removeExpiredStanding();
    bool isExcluded(const target_record& target) const;
    void publishLoads(const std::vector<load_digest::entry>& entries);
    void addPeerLoad(const load_digest::entry& item, bool add);

    const base::clock& m_clock;
    options m_options;
    base::random_source m_random;
    routing::target_table m_table;
    routing::outlier_detector m_outliers;
    routing::router m_router;
    std::shared_ptr<const relay_config> m_config;
    sender_groups m_groups;
    std::vector<std::string> m_peers; ///< Ids of the other registered processes.
    weights_in_use m_weightsInUse { m_clock };
    bool m_isolated = false;
    const version_policy* m_versionPolicy = nullptr;
    std::map<std::string, int, std::less<>> m_counts; ///< Number of targets by service.
    std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> m_newest; ///< By service.
    std::map<std::string, std::shared_ptr<target_record>, std::less<>> m_targets;
    std::vector<std::shared_ptr<target_record>> m_byIndex;
    std::map<std::uint64_t, target_record*> m_byHash;
    struct peer_load {
        base::time_point at {};
        std::vector<load_digest::entry> entries;
    };
    std::map<std::string, peer_load, std::less<>> m_peerLoads;
    std::map<std::string, double, std::less<>> m_secondsPerToken; ///< Of output; smoothed, by service.
    std::map<std::string, double, std::less<>> m_runSeconds; ///< Smoothed run time, by service.
    std::map<std::string, paced_average, std::less<>> m_prefillSpeed; ///< Tokens per second, by service.
    std::map<std::string, double, std::less<>> m_meanTokens; ///< Mean tokens of a request, by service.
    std::map<std::string, double, std::less<>> m_meanPrefillTokens; ///< To be computed, by service.
    std::map<std::string, base::time_point, std::less<>> m_missing;
    base::time_point m_lostChangesAt = base::time_point::min(); ///< When the store last had lost changes.
    load_observer m_observer;
    target_standing m_standing;
    notice_observer m_noticeObserver;
    base::time_point m_nextPauseEnd = base::time_point::max();
    std::vector<std::string> m_excludedDomains;
    std::function<void(const target_record&, int)> m_paceObserver;
    std::function<void(const target_registration&)> m_firstPaceObserver;
    std::set<std::string, std::less<>> m_pacedServices; ///< Those with a target that has reported a pace.
    bool m_hasPaces = false; ///< A pace has been reported since all returned to usual.
    base::time_point m_nextPaceRefresh {};
};

} // namespace marigold::relay
