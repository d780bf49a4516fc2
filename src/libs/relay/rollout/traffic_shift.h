#pragma once

#include "version_report.h"
#include <relay/admission/send_rate_limiter.h>

#include <base/clock.h>

namespace marigold::relay {

/// Limit of the requests that all processes together send to a version before it has been judged.
struct exposure_bound {
    double share = 0.1; ///< Of the requests of its service since the request for the roll-out.
    double slack = 50; ///< Requests beyond that share.
    /// Part of both that is used. The rest covers processes that count each other differently, and requests
    /// until a fault is noticed while the share grows.
    double usedShare = 0.75;
};

/// This process among those that divide the slack.
struct exposure_member {
    std::size_t processes = 1;
    std::size_t rank = 0; ///< Number of processes that precede this one.
    bool isolated = false; ///< May be missing from the view of the others.
    /// Has no part of the slack: it started after the request, and a process that it replaces may have used
    /// that part.
    bool startedLater = false;
};

/// Returns how many requests this process may have sent to a version that has not been judged, after
/// \a requests requests of the service in this process. Rounding down would leave nothing to processes with
/// few requests, so each rounds with another offset; the sum over all is that of the exact shares.
double exposureAllowance(const exposure_bound& bound, const exposure_member& member, double requests);

/// When the phases of a roll-out begin, as shares of its time limit.
///
/// If the limit for versions that have not been judged is a tenth of the requests, those until the end of
/// `Half` take 0.075 x 0.5 + 0.25 x 0.05 + 0.5 x 0.05 = 0.075 of them. The rest is left for the time in which
/// a fault that appears only then is found.
struct shift_schedule {
    double quarterAt = 0.5;
    double halfAt = 0.55;
    double allAt = 0.6;
    double minDwell = 0.05; ///< Shortest time in one phase.
    double lateAt = 0.7; ///< From here on, phases follow each other faster to be done in time.
    double lateDwell = 0.03;
    /// Without enough answers, the share still grows at this time if there is no sign of a fault.
    double undecidedAt = 0.58;
    double completeAt = 0.68; ///< Earliest completion.
    double forcedAt = 0.85; ///< Requests at other versions are waited for until then.
    std::int64_t minAnswers = 25;
};

/// State that the next phase depends on.
struct shift_state {
    rollout_phase phase = rollout_phase::Observing;
    double age = 0; ///< Time since the request as a share of the time limit.
    double phaseAge = 0; ///< Time since the phase began, in the same unit.
    std::int64_t answers = 0; ///< Of the new version.
    int candidateSlots = 0; ///< Of the available targets of the new version.
    int usualSlots = 0;
};

/// Returns the share of requests that \a phase sends to the new version; zero while observing.
double shareOf(rollout_phase phase);

/// Returns the phase that follows from \a state for a version that has shown no fault.
rollout_phase nextPhase(const shift_schedule& schedule, const shift_state& state);

} // namespace marigold::relay
