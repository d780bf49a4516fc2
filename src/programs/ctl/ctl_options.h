#pragma once

#include "failure.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::ctl {

/// Options from the command line and the environment.
struct ctl_options {
    std::vector<std::string> words = {}; ///< Command and its arguments.
    std::vector<std::string> entries = {}; ///< http://IP:PORT, tried in this order.
    std::string key = {}; ///< Operator key; empty for none.
    bool json = false;
    bool yes = false;
    bool help = false;
    bool version = false;
    std::chrono::milliseconds timeout { 10'000 }; ///< For each HTTP call.
    std::set<std::string> givenFlags = {}; ///< Command-specific flags that were given.
    std::optional<std::uint64_t> base = {};
    std::optional<std::uint64_t> configVersion = {};
    std::string changeId = {};
    bool merge = false;
    bool dryRun = false;
    std::uint64_t waitSeconds = 0; ///< Time to wait until a change is in force everywhere.
    std::uint64_t limit = 20;
    std::vector<std::string> logs = {}; ///< Log files from which a request is explained; - is standard input.
    std::optional<double> weight = {};
    std::optional<double> burst = {};
};

/// Parses the command line and reads the key from MARIGOLD_OPERATOR_KEY or the key file.
tl::expected<ctl_options, failure> parseOptions(int argc, const char* const* argv);

} // namespace marigold::ctl
