#pragma once

#include "target_table.h"

#include <base/event_log.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::routing {

/// Ejects targets because of errors or latency, and reinstates them after successful probes.
///
/// At most half of the targets of a failure domain are ejected at any time, since otherwise a fault of the
/// observer or of the network could eject the entire domain.
class outlier_detector {
public:
    struct options {
        int consecutiveErrors = 5;
        double errorShare = 0.5; ///< Smoothed share of errors that ejects.
        double latencyFactor = 3.0; ///< Smoothed latency ratio, over the median of the domain, that ejects.
        int minimumSamples = 10; ///< Required for the two smoothed conditions.
        base::duration firstEjection { 5'000'000 }; ///< Doubles with each consecutive ejection.
        base::duration longestEjection { 300'000'000 };
        /// A probe without an outcome is repeated after this time.
        base::duration probeTimeout { 10'000'000 };
        int probesToReturn = 2;
        /// Called when a target is ejected or reinstated.
        std::function<void(target_index, bool ejected)> changed = {};
        const base::event_log* log = nullptr;
    };

    explicit outlier_detector(options opts);

    /// Starts monitoring \a target, a member of \a domain.
    void add(target_index target, std::string_view domain);

    /// Stops monitoring \a target. Reinstates the earliest ejected targets if the ejected ones would
    /// otherwise exceed half of the domain.
    void remove(target_index target);

    /// Records the outcome of a request: an error, or a success that took \a latencyRatio times the expected
    /// time. Refusals by admission must not be recorded.
    void observe(target_index target, bool failed, double latencyRatio, base::time_point now);

    bool isEjected(target_index target) const;

    /// Returns the ejected target whose probe has been due for longest, of those that are \a usable;
    /// `noTarget` if there is none.
    target_index dueProbe(base::time_point now, const std::function<bool(target_index)>& usable = {}) const;

    /// Records that a request is sent to \a target as a probe; `observe` reports its outcome.
    void beginProbe(target_index target, base::time_point now);

    /// Number of ejected targets in \a domain.
    std::size_t ejectedIn(std::string_view domain) const;

private:
    struct record {
        bool watched = false;
        bool ejected = false;
        bool probing = false;
        std::uint32_t domain = 0;
        int errorsInRow = 0;
        int samples = 0;
        double errorShare = 0;
        double latencyRatio = 1;
        int ejectionsInRow = 0;
        int successfulProbes = 0;
        base::time_point ejectedAt {};
        base::time_point nextProbe {};
    };

    struct domain_record {
        std::string name;
        std::vector<target_index> members;
        std::size_t ejected = 0;
    };

    std::uint32_t domainOf(std::string_view name);
    bool isOutlier(const record& entry) const;
    double medianLatency(const domain_record& domain) const;
    void eject(target_index target, base::time_point now);
    void startEjectionPeriod(record& entry, base::time_point now) const;
    void reinstate(target_index target);
    void probeEnded(target_index target, bool failed, base::time_point now);

    options m_options;
    std::vector<record> m_records;
    std::vector<domain_record> m_domains;
    std::vector<target_index> m_ejected;
};

} // namespace marigold::routing
