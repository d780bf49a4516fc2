#pragma once

#include <base/clock.h>
#include <base/event_log.h>

#include <string>

namespace marigold::routing {

/// Bound on the concurrency of a target that may be cold (invariant I4).
///
/// A target starts at a small bound, which grows by a factor after a full round of runs at the present bound
/// came back in the expected time. Several runs in a row far above the expectation show that the target
/// turned cold without warning, and the ramp starts again.
class cold_ramp {
public:
    struct options {
        int first = 2; ///< Bound of a cold target; two leave a slot for interactive work.
        int full = 32; ///< Bound of a warm target.
        double growth = 2.0;
        double goodFactor = 2.0; ///< A run within this multiple of its expectation counts towards growth.
        double coldFactor = 4.0; ///< A run above this multiple counts as cold.
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
    options m_options;
    int m_bound;
    int m_goodRuns = 0;
    int m_coldRunsInRow = 0;
};

} // namespace marigold::routing
