#pragma once

#include "intake_limiter.h"
#include "relay_config.h"
#include "wire_dialect.h"

#include <routing/routing.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// A target as this process knows it.
struct target_record {
    target_registration registration;
    routing::target_index index = routing::noTarget;
    base::time_point coldUntil {};
    intake_limiter intake;
    int running = 0; ///< Requests of this process.
    std::int64_t pendingPrefill = 0; ///< Prompt tokens of this process whose first token has not come.
    double prefillSpeed = 0; ///< Tokens a second, the best seen lately.
    double serviceSeconds = 0; ///< Smoothed duration of a run.
    bool gone = false;
};

/// The registered targets, with what routing needs to know of each.
class target_registry {
public:
    struct options {
        std::string failureDomain = {}; ///< Of this process.
        /// A target that is missing when the list is read again after an outage of its store may be about to
        /// register anew, so it is kept this long.
        base::duration missingGrace = std::chrono::milliseconds(2300);
    };

    target_registry(const base::clock& time, options opts);

    /// Adds a target or takes its new state.
    void put(const target_registration& registration);
    void remove(std::string_view id);

    /// Drops the targets whose ids are not in \a present, after the grace time.
    void keepOnly(const std::vector<std::string>& present);

    /// Drops what has been missing for the grace time; to be called now and then.
    void removeMissing();

    void setConfig(std::shared_ptr<const relay_config> config);
    void setExcludedDomains(const std::vector<std::string>& domains) { m_table.setExcludedDomains(domains); }

    /// Number of processes that send to the targets.
    void setProcesses(int processes) { m_processes = std::max(processes, 1); }
    int processes() const { return m_processes; }

    target_record* record(routing::target_index index);
    const std::map<std::string, std::shared_ptr<target_record>, std::less<>>& targets() const
    {
        return m_targets;
    }

    /// Returns true if the bound on the intake of \a target allows one more request.
    bool mayTake(target_record& target) const;

    /// Records a request that is sent to \a target.
    routing::choice_ticket began(target_record& target, int prefillTokens);
    void firstToken(target_record& target, int prefillTokens, base::duration took);
    void ended(target_record& target, const routing::choice_ticket& ticket, base::duration took);
    void loadStated(target_record& target, const stated_load& load);

    /// Records whether a request failed by a fault of \a target.
    void observe(target_record& target, bool failed);

    /// Records that the weights of \a model at \a target have \a version.
    void versionSeen(target_record& target, std::string_view model, int version);

    /// Newest weights of \a model that a target of \a service was seen with; 0 if none.
    int newestVersion(std::string_view service, std::string_view model) const;

    /// Share of the targets of \a service that have at least \a version of \a model.
    double shareWithVersion(std::string_view service, std::string_view model, int version) const;

    routing::router& router() { return m_router; }
    const routing::target_table& table() const { return m_table; }

private:
    routing::target_info infoOf(const target_registration& registration) const;
    void noteVersions(const target_registration& registration);
    void report(target_record& target, const stated_load& load);

    const base::clock& m_clock;
    options m_options;
    base::random_source m_random = base::random_source::fromSystem();
    routing::target_table m_table;
    routing::outlier_detector m_outliers;
    routing::router m_router;
    std::shared_ptr<const relay_config> m_config;
    int m_processes = 1;
    std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> m_newest; ///< By service.
    std::map<std::string, std::shared_ptr<target_record>, std::less<>> m_targets;
    std::vector<std::shared_ptr<target_record>> m_byIndex;
    std::map<std::string, base::time_point, std::less<>> m_missing;
};

} // namespace marigold::relay
