#pragma once

#include <node/node.h>
#include <protocol/protocol.h>
#include <routing/routing.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::entry {

/// Combines configuration, membership, load reports and the outcomes of the requests of this entry into one
/// table of targets.
class target_directory {
public:
    explicit target_directory(node::fleet_node& node);

    /// Applies a new configuration.
    void configChanged(const control::config_content& content);

    /// Updates states and loads from the member table.
    void refresh();

    /// Records the load that an agent attached to a reply.
    void recordLoad(routing::target_index target, std::string_view loadText);

    /// Records the outcome of a request for the outlier detector and for membership.
    void observe(routing::target_index target, bool failed, double latencyRatio);

    /// Probes the ejected target whose probe is due, so that targets return even without traffic.
    void probeEjected();

    routing::target_table& table() { return m_table; }
    routing::outlier_detector& detector() { return m_detector; }

    /// Returns the address of the agent of \a target; empty if there is none.
    net::endpoint addressOf(routing::target_index target) const;

    /// Returns the target whose id is \a id, or `noTarget`.
    routing::target_index find(std::string_view id) const { return m_table.find(id); }

    /// Returns the addresses of the available agents of plain service \a service. Each claim is assigned to
    /// one of them as its home.
    std::vector<std::string> serviceAgents(std::string_view service) const;

    /// Returns the target whose agent has \a address, or `noTarget`.
    routing::target_index findByAddress(std::string_view address) const;

    /// A store of this region that can be queried for blocks, which excludes dead stores.
    struct store_view {
        std::string address;
        bool isInService = true;
        std::uint64_t usedBytes = 0;
        bool isFull = false;
    };
    std::vector<store_view> stores() const;

    /// Returns the weight version for a new request for \a model. While weights are swapped, requests are
    /// split in proportion to the number of engines with each version; requests with the same prefix use the
    /// same version.
    std::string versionFor(
        const control::config_content& content, std::string_view model, std::uint64_t prefixHash) const;

    /// Returns the number of concurrent runs that all serving engines admit.
    int totalBound() const;

private:
    struct target_entry {
        control::target info;
        net::endpoint address;
    };

    void applyMember(routing::target_index index, const target_entry& target);

    node::fleet_node& m_node;
    routing::target_table m_table;
    routing::outlier_detector m_detector;
    std::map<std::string, target_entry, std::less<>> m_targets; ///< By id.
    std::vector<net::endpoint> m_addresses; ///< By index.
    std::vector<base::time_point> m_reportedAt; ///< Last load report from the agent itself, by index.
};

} // namespace marigold::entry
