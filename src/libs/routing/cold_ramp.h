#pragma once

#include <base/clock.h>
#include <base/event_log.h>

#include <string>

namespace marigold::routing {

/// Bound on the concurrency of a target that may be cold (invariant I4).
///
/// A target starts at a small bound. A round is as many runs as the bound. When a round at the present bound
/// takes about as long as the round before, beside what a warm target needs, the target bears this load and
/// the bound grows; when it takes much longer, the load is too much and the bound falls. So a cold target is
/// not held at the first step only for being slow. Several runs in a row far above the last round show that
/// the target turned cold without warning, and the ramp starts again.
class cold_ramp {
public:
    struct options {
        int first = 2; ///< Bound of a cold target; two leave a slot for interactive work.
        int full = 32; ///< Bound of a warm target.
        double growth = 2.0;
        double goodFactor = 2.0; ///< A round within this multiple of its expectation is always good.
        double steadyFactor = 1.25; ///< A round within this multiple of the round before is good.
        double overloadFactor = 1.5; ///< A round above this multiple of the round before lowers the bound.
        double slowestFactor = 8.0; ///< A round above this multiple of its expectation is never good.
        double coldFactor = 4.0; ///< A run above this multiple of the last round counts as cold.
        int coldRuns = 3; ///< Cold runs in a row that start the ramp again.
        std::string target = {}; ///< For the log.
        const base::event_log* log = nullptr;
    };

    explicit cold_ramp(options opts);

    /// Returns the bound in force.
    int bound() const { return m_bound; }

    bool isWarm() const { return m_bound >= m_options.full; }

    /// Records the service time of one run beside what a warm target needs at this load; returns the bound.
    int observe(base::duration serviceTime, base::duration expected);

    /// Starts again from the lowest step, after a known restart or a lost connection.
    void restart();

private:
    void endRound(double mean);
    void grow();

    options m_options;
    int m_bound;
    double m_level = 0; ///< Mean ratio of the last good round; zero before the first round.
    double m_roundSum = 0;
    int m_roundRuns = 0;
    int m_coldRunsInRow = 0;
};

} // namespace marigold::routing
