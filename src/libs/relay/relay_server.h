#pragma once

#include <relay/callers/caller_listener.h>
#include <relay/context/context_follower.h>
#include <relay/context/context_reclaimer.h>
#include <relay/exchange/load_exchange.h>
#include <relay/exchange/pace_exchange.h>
#include <relay/exchange/quarantine_exchange.h>
#include <relay/orders/order_lease_holder.h>
#include <relay/orders/weights_rollout.h>
#include <relay/rollout/rollout_control.h>
#include <relay/session/relay_services.h>
#include <relay/session/relay_session.h>
#include <relay/store/counted_store.h>
#include <relay/store/presence.h>
#include <relay/store/state_follower.h>
#include <relay/targets/excluded_domains.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace marigold::relay {

/// The platform interfaces that the relay uses.
struct relay_ports {
    const wire_dialect& dialect;
    const state_decoder& decoder;
    platform::kv_store& store;
    target_control& control;
    context_source& context;
    relay_metrics& metrics;
};

/// Settings of one relay process.
struct relay_options {
    std::string process; ///< Unique for each start.
    std::string failureDomain;
    net::endpoint callers; ///< Address for callers.
    net::endpoint peers; ///< For datagrams of the other processes.
    net::endpoint metrics; ///< Address of the metrics endpoint.
    net::endpoint readiness; ///< For the readiness probe of the load balancer.
    bool targetsCheckTokens = true;
    /// Without token checks at the targets, orders of two holders within this time count as concurrent.
    base::duration orderTakeoverDelay = std::chrono::seconds(3);
    /// Time within which a change of the operator or of a registration must be in force.
    base::duration changeLimit = std::chrono::seconds(2);
    /// Time after a change of the wanted weight version in which requests may still start on older weights.
    base::duration versionLimit = std::chrono::seconds(6);
    /// Time after its start from which the process must keep that limit, whatever happened before.
    base::duration startGrace = std::chrono::seconds(3);
    /// Retries, including sends that a target refused, that all processes may make beyond a share of the
    /// requests.
    double retrySlack = 50;
    double retryShare = 0.2;
    /// A cold target can serve its stated rate times this factor, plus the slack, within a second.
    double coldFactor = 1;
    double coldSlack = 0;
    load_report_use loadReports = load_report_use::WithPace;
    choice_spread spread = choice_spread::WithPace;
    /// Time from the first negative readiness reply until the load balancer must have detected it: two
    /// probe periods of one second each, plus the setup of a connection. Requests that arrive later are
    /// refused, since they might not end in time.
    base::duration noticePeriod = std::chrono::milliseconds(2900);
    /// Longest duration of a graceful shutdown; requests that are still running are then aborted.
    base::duration drainLimit = std::chrono::seconds(7);
    /// Longest time after that for callers that read slowly to take their answers.
    base::duration lastSendLimit = std::chrono::milliseconds(700);
    part_quarantine::options quarantine = {};
    /// Requests that all processes together may send to a software version that has not been judged.
    exposure_bound exposure = {};
    /// Time after the 50th bad answer of a software version from which it must get no more requests.
    base::duration rollback = std::chrono::seconds(5);
    bool admissionEnabled = false; ///< See `admission_control`.
    hedge_policy::options hedging = {}; ///< Without the name of the process.
    net::memory_account::options memory = {}; ///< Without a budget, callers may use all memory.
    std::size_t sockets = 0; ///< Sockets that the process may have open; 0 for no limit.
};

/// The relay process between the callers and the targets of one VM.
class relay_server final : public state_observer {
public:
    relay_server(net::event_loop& loop, const base::clock& time, const base::event_log& log,
        relay_ports ports, relay_options opts);
    ~relay_server() override;

    base::result<void> start();

    /// Logs that the settings file has changed. Addresses and limits are read only at startup.
    void settingsChanged();

    /// Reports not ready, refuses new requests after the notice period, lets running ones end, then stops the
    /// event loop.
    void drain();

    /// Returns what the process holds for its callers and targets.
    const net::memory_account& memory() const { return m_guard.memory(); }

    void changed(const state_item& item) override;
    void removed(const state_item& item) override;
    void replaced(const std::vector<state_item>& present) override;
    bool isUrgent(const state_item& item) const override;

private:
    struct state_visitor;

    /// Returns what other parts of the relay add to the digests.
    std::vector<digest_section> digestSections();
    void requestReceived(caller_connection& caller, message_head&& head, content_buffer&& body);
    net::http_headers refusalFields(const message_head& head, base::duration retryAfter) const;
    void reportLimit(limit_action action);
    void answerReadiness(caller_connection& caller);
    void answerMetrics(caller_connection& caller);
    void eraRaised(std::uint64_t before, std::uint64_t now);
    void setConfig(std::shared_ptr<const relay_config> config);
    void applyExcluded();
    void applyProcesses();
    void removeMissingProcesses();
    /// Returns true if the other processes count this one, or did so until recently.
    bool isKnownToOthers() const;
    void runHousekeeping();
    void checkResponsiveness();
    void finishDrainIfIdle();
    void finishDrain();
    /// Ends the event loop once the callers have taken all answers, at \a stopBy at the latest.
    void stopWhenSent(base::time_point stopBy);
    void datagramReceived(std::string_view bytes);
    void targetEnded(const target_registration& target, std::string_view incarnation,
        const std::vector<lost_request>& requests);
    void partBlocked(const blocked_part& block);
    void partReleased(std::string_view part, std::string_view reason);
    void answerQuarantine(caller_connection& caller);
    void answerAdmission(caller_connection& caller);
    /// Returns the number of peers that receive one round of digests.
    std::size_t digestReceivers() const;
    void claimTrial(std::string_view part, int number, std::function<void(bool)> done);

    net::event_loop& m_loop;
    const base::clock& m_clock;
    const base::event_log& m_log;
    relay_ports m_ports;
    relay_options m_options;
    base::random_source m_random = base::random_source::fromSystem();
    resource_guard m_guard;
    target_pool m_pool;
    target_registry m_targets;
    target_chooser m_chooser;
    net::connection_probe m_probe;
    target_end_detector m_targetEnds;
    part_quarantine m_quarantine;
    context_catalog m_catalog;
    wait_queue m_waitQueue;
    relay_metrics& m_metrics;
    counted_store m_store;
    base::time_point m_configSince {};

    retry_budgets m_retryBudgets;
    std::unique_ptr<admission_control> m_admission; ///< Null unless it is enabled.
    hedge_policy m_hedging;
    relay_services m_services;
    state_follower m_follower;
    presence m_presence;
    quarantine_exchange m_quarantineExchange;
    order_lease_holder m_lease;
    weights_rollout m_rollout;
    rollout_control m_rollouts;
    context_event_distributor m_contextDistributor;
    context_follower m_contextFollower;
    context_reclaimer m_contextReclaimer;
    excluded_domains m_excluded;
    std::map<std::string, net::endpoint> m_processes;
    /// Processes that are no longer registered, with the time since when. They still count as senders for a
    /// while: registrations lapse in an outage of the store although the processes run.
    std::map<std::string, base::time_point, std::less<>> m_missingProcesses;
    bool m_replacing = false; ///< A whole snapshot is being applied; its processes are applied at its end.
    bool m_hasSnapshot = false; ///< The state at the start is known.
    std::vector<quarantine_entry> m_snapshotQuarantine; ///< Of that snapshot; applied at its end.
    std::unordered_map<relay_session*, std::unique_ptr<relay_session>> m_sessions;
    net::udp_socket m_datagrams;
    pace_exchange m_paceExchange;
    load_exchange m_loadExchange;
    caller_listener m_callers;
    caller_listener m_readiness;
    caller_listener m_metricsListener;
    base::time_point m_lastResponsivenessCheck {};
    base::duration m_loopLag { 0 };
    bool m_draining = false;
    bool m_finished = false; ///< Only the revocation of the presence lease is outstanding.
    /// New requests are refused, since the load balancer must have detected the shutdown.
    bool m_noticePeriodOver = false;
    bool m_drainCheckScheduled = false;
};

} // namespace marigold::relay
