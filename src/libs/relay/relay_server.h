#pragma once

#include "caller_listener.h"
#include "context_follower.h"
#include "context_keeper.h"
#include "counted_store.h"
#include "load_exchange.h"
#include "order_lease_holder.h"
#include "presence.h"
#include "relay_services.h"
#include "relay_session.h"
#include "state_follower.h"
#include "weights_rollout.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace marigold::relay {

/// What a platform gives to the relay.
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
    net::endpoint callers; ///< Where callers connect.
    net::endpoint peers; ///< For datagrams of the other processes.
    net::endpoint metrics; ///< Where metrics are served.
    net::endpoint readiness; ///< Where the platform asks whether callers may connect.
    bool targetsCheckTokens = true;
    /// Orders of two holders within this time count as concurrent.
    base::duration orderSettle = std::chrono::seconds(3);
    /// Time between the naming of new weights and the last request that may begin on older ones.
    base::duration versionLimit = std::chrono::seconds(6);
    /// Retries and refused sends that all processes may make, beyond a share of the requests.
    int retrySlack = 50;
    double retryShare = 0.2;
    /// A cold target bears its stated rate times this factor, and the slack, within a second.
    double coldFactor = 1;
    double coldSlack = 0;
    /// Time from the first readiness answer that says no until the load balancer has noticed, two probes of a
    /// second and the start of a connection; requests that come later are refused, since they might not end
    /// in time.
    base::duration noticeTime = std::chrono::milliseconds(2900);
    /// A process that stops ends after this time, whatever is still running.
    base::duration drainLimit = std::chrono::seconds(7);
};

/// The process between callers and targets on one VM.
class relay_server final : public state_observer {
public:
    relay_server(net::event_loop& loop, const base::clock& time, const base::event_log& log,
        relay_ports ports, relay_options opts);
    ~relay_server() override;

    base::result<void> start();

    /// Notes that the settings file has changed. Addresses and bounds are taken at a start only.
    void settingsChanged();

    /// Stops taking callers, lets running requests end, then stops the loop.
    void drain();

    void changed(const state_item& item) override;
    void removed(const state_item& item) override;
    void replaced(const std::vector<state_item>& present) override;

private:
    struct state_visitor;

    void requestArrived(caller_connection& caller, message_head&& head, std::string&& body);
    void readinessAsked(caller_connection& caller);
    void metricsAsked(caller_connection& caller);
    void setConfig(std::shared_ptr<const relay_config> config);
    void applyExcluded();
    void applyProcesses();
    void houseKeeping();
    void checkSilence();
    void finishDrainIfIdle();
    void finishDrain();
    void datagramArrived(std::string_view bytes);

    net::event_loop& m_loop;
    const base::clock& m_clock;
    const base::event_log& m_log;
    relay_ports m_ports;
    relay_options m_options;
    base::random_source m_random = base::random_source::fromSystem();
    target_pool m_pool;
    target_registry m_targets;
    target_chooser m_chooser;
    context_catalog m_catalog;
    waiting_room m_waiting;
    relay_metrics& m_metrics;
    counted_store m_store;
    base::time_point m_configSince {};

    retry_budgets m_retryBudgets;
    relay_services m_services;
    state_follower m_follower;
    presence m_presence;
    order_lease_holder m_lease;
    weights_rollout m_rollout;
    context_sharing m_contextSharing;
    context_follower m_contextFollower;
    context_keeper m_contextKeeper;
    std::set<std::string, std::less<>> m_excluded;
    std::map<std::string, net::endpoint> m_processes;
    std::unordered_map<relay_session*, std::unique_ptr<relay_session>> m_sessions;
    net::udp_socket m_datagrams;
    load_exchange m_loads;
    caller_listener m_callers;
    caller_listener m_readiness;
    caller_listener m_metricsListener;
    base::time_point m_lastSilenceCheck {};
    base::duration m_loopLag { 0 };
    bool m_draining = false;
    bool m_finished = false; ///< Only the farewell is left to send.
    bool m_noticed = false; ///< The load balancer must have noticed by now that this process stops.
};

} // namespace marigold::relay
