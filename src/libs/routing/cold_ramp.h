#pragma once

#include <base/clock.h>
#include <base/event_log.h>

#include <string>

namespace marigold::routing {

/// Bound on the concurrency of a target that may be cold (invariant I4).
///
/// A target starts with a small bound. A round consists of as many runs as the bound. Service times are
/// divided by those expected of a warm target. If a round takes about as long as the previous round, the
/// target can handle this load and the bound grows; if it takes much longer, the target is overloaded and the
/// bound falls. A cold target thus does not stay at the first step only because it is slow. Several
/// consecutive runs far above the last round indicate that the target became cold without notice, and the
/// ramp restarts.
class cold_ramp {
public:
    struct options {
        int first = 2; ///< Bound of a cold target; 2 leaves a slot for interactive work.
        int full = 32; ///< Bound of a warm target.
        double growth = 2.0;
        /// A round up to this multiple of its expectation always raises the bound, regardless of the previous
        /// round.
        double goodFactor = 2.0;
        double steadyFactor = 1.25; ///< A round up to this multiple of the previous round raises it as well.
        /// A round above this multiple of the baseline ratio lowers the bound, unless `goodFactor` applies.
        double overloadFactor = 1.5;
        double slowestFactor = 8.0; ///< A round above this multiple of its expectation never raises it.
        double coldFactor = 4.0; ///< A run above this multiple of the last round counts as cold.
        int coldRuns = 3; ///< Consecutive cold runs that restart the ramp.
        std::string target = {}; ///< Name of the target in the log.
        const base::event_log* log = nullptr;
    };

    explicit cold_ramp(options opts);

    /// Returns the bound in force.
    int bound() const { return m_bound; }

    bool isWarm() const { return m_bound >= m_options.full; }

    /// Records the service time of one run and the time \a expected of a warm target at this load; returns
    /// the bound.
    int observe(base::duration serviceTime, base::duration expected);

    /// Restarts the ramp at the lowest step, after a known restart or a lost connection.
    void restart();

private:
    void endRound(double mean);
    void grow();

    options m_options;
    int m_bound;
    /// Mean ratio of the last round that raised the bound, or of a later or first round at the lowest bound;
    /// zero before the first round.
    double m_baselineRatio = 0;
    double m_roundRatioSum = 0;
    int m_roundRuns = 0;
    int m_coldRunsInRow = 0;
};

} // namespace marigold::routing
