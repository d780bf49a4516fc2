#pragma once

#include "service_rollout.h"
#include <relay/exchange/load_digest.h>
#include <relay/orders/order_lease_holder.h>
#include <relay/relay_metrics.h>
#include <relay/store/state_decoder.h>
#include <relay/targets/target_registry.h>

#include <platform/kv_store.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace marigold::relay {

/// The roll-outs of all services in one process: passes requests and status entries of the platform's store,
/// reports of peers and outcomes of requests on to `service_rollout`, and writes the status entries while
/// this process holds the lease on orders. It does nothing as long as there is no entry.
class rollout_control final : public version_policy {
public:
    struct options {
        std::string process;
        exposure_bound exposure = {};
        /// Time after the 50th bad answer of a version from which it must get no more requests.
        base::duration rollback = std::chrono::seconds(5);
        base::duration interval = std::chrono::milliseconds(100);
        /// Wait after a write that failed.
        base::duration retryDelay = std::chrono::milliseconds(250);
        /// Time in which an operator writes again what the store has lost.
        base::duration operatorTime = std::chrono::seconds(5);
    };

    rollout_control(target_registry& targets, platform::kv_store& store, const state_decoder& decoder,
        order_lease_holder& lease, base::scheduler& timers, const base::clock& time,
        base::random_source& random, const base::event_log& log, relay_metrics& metrics, options opts);

    /// Keeps requests and decisions that the store may have lost, since it has begun another era.
    void eraRaised();

    /// Tells that what is observed until `retain` is the whole state.
    void snapshotBegins() { m_isInSnapshot = true; }

    /// Records an entry of the platform's store. \a isWitnessed unless it is from before the start of this
    /// process.
    void requestObserved(const rollout_request& request, bool isWitnessed);
    void statusObserved(const rollout_status& status);

    /// Removes the requests and status entries of services that are not in \a requests and \a statuses.
    void retain(const std::set<std::string>& requests, const std::set<std::string>& statuses);

    /// Reads the registered targets again, after many of them have changed.
    void refreshTargets();

    /// Sets the registered processes by id, which divide the slack of the exposure among them.
    void setProcesses(std::span<const std::string_view> processes);
    void setStoreReachable(bool reachable);

    version_lane laneOf(std::string_view service, std::string_view version) const override;
    lane_choice lanesFor(std::string_view service, bool isRepeated) override;
    bool isShifting(std::string_view service) const override;

    void requestSent(const target_registration& target, bool isFirst);

    /// Records the end of an attempt at \a target. \a lost if no complete answer came; several lost at the
    /// same time count once, since a target that ends loses all its requests.
    enum class attempt_outcome { Answered, Failed, Lost };
    void attemptEnded(const target_registration& target, std::string_view route, attempt_outcome outcome,
        base::duration took);

    /// Returns the section of the digests that this process sends.
    digest_section section();

    /// Returns the number of running roll-outs.
    std::size_t running() const;

private:
    struct item {
        service_rollout rollout;
        bool isWriting = false;
        base::time_point nextWriteAt {};
        bool isBadLogged = false;
        /// What the first snapshot of an era has instead of the request in force, which may be older.
        std::optional<rollout_request> copied = {};
        rollout_phase loggedPhase = rollout_phase::Observing;
        std::map<std::string, base::time_point> lastLost = {}; ///< By target.
    };

    item& itemFor(const std::string& service);
    rollout_targets targetsOf(const service_rollout& rollout) const;
    exposure_member memberFor(std::string_view service) const;
    /// Returns true if \a request does not end the one in force.
    bool isRequestKept(item& at, const rollout_request& request);
    void applyCopiedRequests();
    void applyVersions(std::string_view service);
    void scheduleStep();
    void step();
    void stepService(item& at);
    void logChanges(item& at);
    void write(item& at, const service_rollout::decision& decision);
    void writeEnded(const std::string& service, const rollout_status& status, std::string_view reason,
        base::result<std::uint64_t> revision);
    void readStatus(const std::string& service);
    std::string writeSection();
    void readSection(std::string_view process, std::string_view bytes);

    target_registry& m_targets;
    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    order_lease_holder& m_lease;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    relay_metrics& m_metrics;
    options m_options;
    std::vector<std::string> m_peers;
    bool m_storeReachable = true;
    bool m_stepScheduled = false;
    bool m_isInSnapshot = false;
    base::time_point m_rewrittenUntil {}; ///< An operator writes again until then.
    base::time_point m_sectionAt {};
    std::map<std::string, item, std::less<>> m_items;
};

} // namespace marigold::relay
