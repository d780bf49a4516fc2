#pragma once

#include <node/node.h>
#include <protocol/protocol.h>
#include <routing/routing.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::entry {

/// The targets of the configuration as this entry may use them now: configuration, membership, load reports
/// and the outcomes of its own requests in one table.
class target_directory {
public:
    explicit target_directory(node::fleet_node& node);

    /// Takes a new configuration.
    void configChanged(const control::config_content& content);

    /// Takes states and loads from the member table.
    void refresh();

    /// Takes the load that an agent added to an answer.
    void reported(routing::target_index target, std::string_view loadText);

    /// Notes how a request ended, for the outlier detector and for membership.
    void observe(routing::target_index target, bool failed, double latencyRatio);

    /// Asks one ejected target whose turn it is whether it is ready, so that it returns without traffic as
    /// well.
    void probeEjected();

    routing::target_table& table() { return m_table; }
    routing::outlier_detector& detector() { return m_detector; }

    /// Returns the address of the agent of \a target; empty if it is gone.
    net::endpoint addressOf(routing::target_index target) const;

    /// Returns the target whose id is \a id, or `noTarget`.
    routing::target_index find(std::string_view id) const { return m_table.find(id); }

    /// Addresses of the live agents of plain service \a service, which are the homes of its claims.
    std::vector<std::string> serviceAgents(std::string_view service) const;

    /// Returns the target whose agent has \a address, or `noTarget`.
    routing::target_index findByAddress(std::string_view address) const;

    /// Stores of the region that may be asked for blocks.
    struct store_view {
        std::string address;
        bool isInService = true;
        std::uint64_t usedBytes = 0;
        bool isFull = false;
    };
    std::vector<store_view> stores() const;

    /// Weight version that a new request for \a model runs with. While weights are swapped, requests are
    /// split by the capacity that has each version; one prefix stays with one version.
    std::string versionFor(
        const control::config_content& content, std::string_view model, std::uint64_t prefixHash) const;

    /// Concurrent runs that all serving targets admit.
    int totalBound() const;

private:
    struct entry {
        control::target info;
        net::endpoint address;
    };

    void applyMember(routing::target_index index, const entry& target);

    node::fleet_node& m_node;
    routing::target_table m_table;
    routing::outlier_detector m_detector;
    std::map<std::string, entry, std::less<>> m_targets; ///< By id.
    std::vector<net::endpoint> m_addresses; ///< By index.
    std::vector<base::time_point> m_reportedAt; ///< Last answer of the agent itself, by index.
};

} // namespace marigold::entry
