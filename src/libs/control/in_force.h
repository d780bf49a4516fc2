#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::control {

/// Configuration versions in one failure domain.
struct domain_in_force {
    std::uint64_t lowestVersion = 0;
    std::size_t behind = 0; ///< Reachable members below the version of the domain's first delegate.
    bool reachable = true;
};

/// Configuration versions in force in each failure domain.
struct in_force_report {
    std::uint64_t lowestVersion = 0; ///< In force in all reachable domains.
    std::map<std::string, domain_in_force> domains;
    std::vector<std::string> behind; ///< Members of the own domain below the own version.
};

} // namespace marigold::control
