#pragma once

#include "client_limits.h"
#include "http_router.h"
#include "node_settings.h"
#include "peer_link.h"

#include <control/control.h>
#include <net/net.h>
#include <operate/operate.h>
#include <outcome/outcome.h>
#include <platform/platform.h>

#include <memory>
#include <string>

namespace marigold::node {

/// A process of the fleet: event loop, configuration, membership, shutdown and diagnostics. Entry and agent
/// add their own handlers and state.
class fleet_node {
public:
    struct options {
        node_settings settings;
        control::member_kind kind = control::member_kind::Agent;
        std::string version; ///< Version of the program, for the log.
    };

    explicit fleet_node(options opts);
    ~fleet_node();
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// Binds the TCP and UDP port of the process, then joins the fleet. Of two processes with the same
    /// address, only the one that binds first becomes active (design page, 4.6).
    base::result<void> start();

    /// Runs until the shutdown is complete; returns the exit code of the process.
    int run();

    const node_settings& settings() const;
    net::event_loop& loop();
    const base::clock& clock() const;
    base::clock& clock();
    base::random_source& random();
    base::event_log& log();
    net::http_client& client();
    platform::http_kv_store& store();
    operate::metrics& metrics();
    operate::state_dump& dump();
    operate::access_control& access();
    control::config_log& configLog();
    control::config_replica& config();
    control::membership& membership();
    outcome::drain& drain();
    peer_link& peers();
    http_router& router();
    client_limits& limits();
    net::rpc_endpoint& rpc();

    /// Calls \a handler after each change of the configuration in force.
    void onConfig(std::function<void(const control::config_state&)> handler);

    /// Calls \a handler when a member is added or changes its state.
    void onMember(std::function<void(const control::member&)> handler);

    /// Returns whether this process can serve requests: it has a configuration and is not shutting down.
    bool isReady() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::node
