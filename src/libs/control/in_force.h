#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::control {

/// Configuration versions of one failure domain.
struct domain_in_force {
    std::uint64_t lowestVersion = 0;
    std::size_t behind = 0; ///< Live members below the asked version.
    bool reachable = true;
};

/// Which configuration version is in force where.
struct in_force_report {
    std::uint64_t lowestVersion = 0; ///< In force everywhere that is reachable.
    std::map<std::string, domain_in_force> domains;
    std::vector<std::string> behind; ///< Members of the own domain below the own version.
};

} // namespace marigold::control
