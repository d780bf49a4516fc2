#pragma once

#include "intake_limiter.h"
#include "load_digest.h"
#include "relay_config.h"
#include "wire_dialect.h"

#include <routing/routing.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// A target as this process knows it.
struct target_record {
    target_registration registration;
    routing::target_index index = routing::noTarget;
    base::time_point coldUntil {};
    intake_limiter intake;
    std::uint64_t hash = 0; ///< Of its id; names it in digests.
    target_load own; ///< Unfinished work of this process.
    target_load peers; ///< Of the other processes, as far as told.
    double prefillSpeed = 0; ///< Tokens a second, of prompts that had nothing before them; 0 if unknown.
    double serviceSeconds = 0; ///< Smoothed duration of a run.
    base::time_point heardAt {}; ///< Last byte of any answer, or the send that ended a time without requests.
    bool gone = false;
};

/// The registered targets, with what routing needs to know of each.
class target_registry {
public:
    struct options {
        std::string failureDomain = {}; ///< Of this process.
        /// A cold target bears its service's rate times this factor, and the slack, within a second.
        double coldFactor = 1;
        double coldSlack = 0;
        /// A target that is missing when the list is read again after an outage of its store may be about to
        /// register anew, so it is kept this long.
        base::duration missingGrace = std::chrono::milliseconds(2300);
        /// Share of an engine's memory that requests may need at their end; the estimates err, and an engine
        /// without memory drops and reads again what it has.
        double memoryShare = 0.95;
        /// Prefill work at an engine above which it gets no more; further requests wait here, where they can
        /// still go to another engine.
        base::duration prefillBacklog = std::chrono::milliseconds(150);
        /// A target that owes answers may be silent for this long, beside twice the prefill that is ahead.
        base::duration silenceLimit = std::chrono::milliseconds(700);
        /// Requests of a plain service for each slot; more than one hides the way to and fro.
        double plainOverbooking = 1.5;
        /// The work of a peer that has told nothing for this long is over or told elsewhere.
        base::duration peerSilence = std::chrono::milliseconds(1500);
    };

    target_registry(const base::clock& time, options opts);

    /// Adds a target or takes its new state.
    void put(const target_registration& registration);
    void remove(std::string_view id);

    /// Drops the targets whose ids are not in \a present, after the grace time.
    void keepOnly(const std::vector<std::string>& present);

    /// Drops what has been missing for the grace time, and the load told by peers that have fallen silent; to
    /// be called now and then.
    void removeMissing();

    void setConfig(std::shared_ptr<const relay_config> config);
    void setExcludedDomains(const std::vector<std::string>& domains) { m_table.setExcludedDomains(domains); }

    /// Number of processes that send to the targets.
    void setProcesses(int processes) { m_processes = std::max(processes, 1); }
    int processes() const { return m_processes; }

    target_record* record(routing::target_index index);
    const std::map<std::string, std::shared_ptr<target_record>, std::less<>>& targets() const
    {
        return m_targets;
    }

    /// Returns true if \a target can begin \a work soon and the bound on its intake allows one more request.
    bool mayTake(target_record& target, const target_load& work) const;

    /// Returns how long the prefill of \a work takes at an idle target of \a service; 0 while nothing was
    /// measured.
    base::duration usualPrefill(std::string_view service, const target_load& work) const;

    /// Returns how long the prefill of \a work is expected to take at \a target, behind what is there.
    base::duration expectedPrefill(const target_record& target, const target_load& work) const;

    /// Records a request that is sent to \a target, with its \a work.
    void began(target_record& target, const target_load& work);

    /// Records that the prefill of \a prefillTokens ended; \a took is how long, or zero if it says nothing
    /// of the speed, since the prompt had others before it.
    void prefillEnded(target_record& target, std::int64_t prefillTokens, base::duration took);

    /// Records the end of a request; \a work is what is left of it.
    void ended(target_record& target, const target_load& work, base::duration took);

    /// Marks that this process has \a target load weights, so that no process sends requests there.
    void setLoading(target_record& target, bool loading);

    /// Unfinished work of this process at each target that has any.
    std::vector<load_digest::entry> ownLoads() const;

    /// Takes the unfinished work of \a process in place of what it told before.
    void setPeerLoad(std::string_view process, const std::vector<load_digest::entry>& loads);

    /// Forgets the work of processes that are not in \a present.
    template <typename Map> void keepPeers(const Map& present)
    {
        std::vector<std::string> gone;
        for (const auto& [process, told] : m_peerLoads)
            if (!present.contains(process))
                gone.push_back(process);
        for (const std::string& process : gone)
            setPeerLoad(process, {});
    }

    /// Records that bytes of an answer came from \a target.
    void heard(target_record& target) { target.heardAt = m_clock.now(); }

    /// Returns true if \a target has unfinished requests of this process and has said nothing on any of its
    /// connections for longer than its work explains. It gets no requests until it is heard again.
    bool isSilent(const target_record& target) const;

    /// Records whether a request failed by a fault of \a target.
    void observe(target_record& target, bool failed);

    /// Records that the weights of \a model at \a target have \a version.
    void versionSeen(target_record& target, std::string_view model, int version);

    /// Newest weights of \a model that a target of \a service was seen with; 0 if none.
    int newestVersion(std::string_view service, std::string_view model) const;

    /// Oldest weights that any target has, by model; targets that drain do not count.
    std::map<std::string, int> oldestVersions() const;

    /// Share of the targets of \a service that have at least \a version of \a model.
    double shareWithVersion(std::string_view service, std::string_view model, int version) const;

    routing::router& router() { return m_router; }
    const routing::target_table& table() const { return m_table; }

private:
    routing::target_info infoOf(const target_registration& registration) const;
    bool hasRoom(const target_record& target, const target_load& work) const;
    double usualSpeed(const target_record& target) const;
    void noteVersions(const target_registration& registration);
    void report(target_record& target);
    void reportAll(const std::vector<load_digest::entry>& entries);
    void addPeerLoad(const load_digest::entry& item, bool add);

    const base::clock& m_clock;
    options m_options;
    base::random_source m_random = base::random_source::fromSystem();
    routing::target_table m_table;
    routing::outlier_detector m_outliers;
    routing::router m_router;
    std::shared_ptr<const relay_config> m_config;
    int m_processes = 1;
    std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> m_newest; ///< By service.
    std::map<std::string, std::shared_ptr<target_record>, std::less<>> m_targets;
    std::vector<std::shared_ptr<target_record>> m_byIndex;
    std::unordered_map<std::uint64_t, target_record*> m_byHash;
    struct peer_load {
        base::time_point at {};
        std::vector<load_digest::entry> entries;
    };
    std::map<std::string, peer_load, std::less<>> m_peerLoads;
    std::map<std::string, double, std::less<>> m_prefillSpeed; ///< Smoothed, by service.
    std::map<std::string, double, std::less<>> m_meanTokens; ///< Of a request, by service.
    std::map<std::string, base::time_point, std::less<>> m_missing;
};

} // namespace marigold::relay
