#pragma once

#include <relay/targets/target_registry.h>

#include <base/base.h>
#include <settings/settings.h>

#include <string>

namespace marigold::relay {

/// Settings of a relay process.
struct relay_settings {
    std::string process = {}; ///< Name of the VM or process; required.
    std::string failureDomain = {};
    std::string callersAddress = {}; ///< IP:PORT for callers; required.
    std::string peersAddress = {}; ///< IP:PORT for datagrams of the other processes; required.
    std::string metricsAddress = {}; ///< IP:PORT where metrics are served; required.
    std::string readinessAddress = {}; ///< IP:PORT for the readiness probe; required.
    bool targetsCheckTokens = false;
    std::chrono::milliseconds orderTakeoverDelay { 3000 };
    std::chrono::milliseconds configLimit { 2000 };
    std::chrono::milliseconds leaveLimit { 2000 };
    std::chrono::milliseconds versionLimit { 6000 };
    std::chrono::milliseconds startGrace { 3000 };
    double retrySlack = 50;
    double retryShare = 0.2;
    double coldFactor = 1.0;
    double coldSlack = 0;
    double stopGraceSeconds = 8;
    double exposureShare = 0.1;
    double exposureSlack = 50;
    std::chrono::milliseconds rollback { 5000 };
    load_report_use loadReports = load_report_use::WithPace;
    choice_spread spread = choice_spread::WithPace;
    std::string storeAddress = {}; ///< IP:PORT of the key-value service; required.
    bool admissionEnabled = false; ///< Section `admission`.
    bool hedgingEnabled = false;
    double hedgingPercentile = 95;
    double hedgingMaxShare = 0.05;
    std::chrono::milliseconds hedgingMinDelay { 20 };
    base::log_level logLevel = base::log_level::Info;
    settings::memory_settings memory = {};

    void registerSettings(settings::settings_reader& reader);
};

} // namespace marigold::relay
