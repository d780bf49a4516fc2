#pragma once

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

/// A process of the fleet: its loop, its place in configuration and membership, its shutdown, and what it
/// shows of itself. Entry and agent add their own handlers and state.
class fleet_node {
public:
    struct options {
        node_settings settings;
        control::member_kind kind = control::member_kind::Agent;
        std::string version; ///< Of the program, for the log.
    };

    explicit fleet_node(options opts);
    ~fleet_node();
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// Binds the port of the process, TCP and UDP, then joins the fleet. The bind comes first, so that of two
    /// processes on one address only the first one ever acts (design page, 4.6).
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
    net::rpc_endpoint& rpc();

    /// Calls \a handler after each change of the configuration in force.
    void onConfig(std::function<void(const control::config_state&)> handler);

    /// Calls \a handler when a member is new or changed its state.
    void onMember(std::function<void(const control::member&)> handler);

    /// Says whether this process may serve: it knows a configuration and is not shutting down.
    bool isReady() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::node
