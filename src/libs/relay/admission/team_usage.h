#pragma once

#include "decayed_sum.h"

#include <base/base.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Capacity time that teams used lately, summed over all relays. Only the ratios between teams matter for
/// their shares, so that reports that are late or missing make the sums less precise but do not shift shares
/// from small users to large ones.
class team_usage {
public:
    struct options {
        base::duration window = std::chrono::seconds(2);
        base::duration peerTimeout = std::chrono::milliseconds(1500);
    };

    /// Usage of one team at one service.
    struct entry {
        std::uint32_t id = 0;
        double used = 0; ///< Capacity time within the window, in ms.
    };

    /// Shares for operators.
    struct share {
        std::string service;
        std::string team;
        double weight = 1;
        double own = 0; ///< Usage at this process.
        double all = 0; ///< Usage at all relays, as far as known.
    };

    explicit team_usage(options opts);

    void charge(
        std::string_view service, std::string_view team, double weight, double cost, base::time_point now);

    /// Returns the usage of \a team at \a service by its weight.
    double usedByWeight(
        std::string_view service, std::string_view team, double weight, base::time_point now) const;

    /// Returns the usage of this process at the services for which \a isWanted returns true, the largest
    /// first.
    std::vector<entry> own(
        base::time_point now, const std::function<bool(std::string_view service)>& isWanted) const;

    /// Replaces the usage that the peer \a process reported before.
    void setPeer(std::string_view process, std::vector<entry> entries, base::time_point now);

    /// Removes the usage of silent peers and of idle teams.
    void removeExpired(base::time_point now);

    std::vector<share> shares(base::time_point now) const;

    static std::uint32_t idOf(std::string_view service, std::string_view team);

private:
    struct record {
        std::string service;
        std::string team;
        double weight = 1;
        decayed_sum own;
    };
    struct peer_report {
        base::time_point at {};
        std::vector<entry> entries;
    };

    void addPeer(const peer_report& report, double sign, base::time_point now);

    options m_options;
    std::unordered_map<std::uint32_t, record> m_teams;
    std::unordered_map<std::uint32_t, decayed_sum> m_peerSums;
    std::map<std::string, peer_report, std::less<>> m_peers;
};

} // namespace marigold::relay
