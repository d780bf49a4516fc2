#pragma once

#include "hedge_limit.h"
#include "recent_times.h"
#include <relay/store/relay_config.h>

#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace marigold::relay {

/// Why a request that is late gets no second attempt.
enum class hedge_denial {
    NotRepeatable,
    NotResumable, ///< A stream that no other target may go on with.
    AnswerBegan,
    PartBlocked,
    MaxAttempts,
    TooFewSamples,
    TooLittleTime,
    ServiceBusy, ///< The service is short of capacity.
    TargetCold,
    TargetPaused,
    TargetLeaving,
    NoTarget, ///< All others are in use for this request, busy or unavailable for another reason.
    LimitReached,
    BudgetUsed, ///< The retry budget of the service is used up.
};

/// Returns the snake-case name of \a denial.
std::string_view nameOf(hedge_denial denial);

/// State of the target that would get the second attempt.
enum class hedge_target { Usable, None, Cold, Paused, Leaving };

/// What is known of a request that is late, and of its service.
struct hedge_facts {
    request_kind kind = request_kind::Idempotent;
    bool mayRepeat = true;
    bool resumable = false;
    bool answerBegan = false;
    bool partBlocked = false;
    int possibleRuns = 1; ///< Targets that may run the request already.
    int maxAttempts = 1;
    base::duration timeLeft { 0 }; ///< Until the deadline of the request.
    std::optional<base::duration> usualTime = {}; ///< Median time to the first byte; empty if unknown.
    bool othersWait = false; ///< Requests of the service wait for a target.
    double utilisation = 0; ///< Share of the slots of the service's targets that are in use.
    hedge_target target = hedge_target::Usable;
    bool withinLimit = true;
    bool withinBudget = true;
};

/// Returns why a second attempt is not allowed; nothing if it is.
std::optional<hedge_denial> judgeHedge(const hedge_facts& facts);

/// Decides when a second attempt of a request is due and how many of them this process may send.
class hedge_policy {
public:
    struct options {
        bool enabled = false;
        /// Share of the recent times to the first byte after which a request counts as late.
        double percentile = 0.95;
        double maxShare = 0.05; ///< Hedges per request of a service, over all processes.
        base::duration minDelay = std::chrono::milliseconds(20);
        std::string process = {};
        /// Recent times below which no percentile is taken: with fewer, the 95th is the greatest of them.
        double minSamples = 20;
    };

    hedge_policy(const base::clock& time, options opts);

    bool isEnabled() const { return m_options.enabled; }

    hedge_limit& limit() { return m_limit; }

    void requestArrived(std::string_view service);

    /// Records the time from the send of a first attempt to its first byte, or to its cancellation.
    void firstByteReceived(std::string_view service, request_kind kind, base::duration time);

    /// Returns the time after its send at which a request counts as late; nothing if too little is known.
    std::optional<base::duration> delay(std::string_view service, request_kind kind) const;

    /// Returns the median time to the first byte; nothing if too little is known.
    std::optional<base::duration> usualTime(std::string_view service, request_kind kind) const;

    bool isWithinLimit(std::string_view service) const { return m_limit.allows(service, m_clock.now()); }
    void hedgeSent(std::string_view service) { m_limit.hedgeSent(service, m_clock.now()); }

    /// Returns the report for the other processes if one is due, at most one in `reportInterval`.
    std::string takeReport();
    void reportReceived(std::string_view process, std::string_view bytes);

private:
    static constexpr base::duration reportInterval = std::chrono::seconds(1);

    std::optional<base::duration> percentile(std::string_view service, request_kind kind, double share) const;

    const base::clock& m_clock;
    options m_options;
    hedge_limit m_limit;
    std::map<std::pair<std::string, request_kind>, recent_times> m_times;
    base::time_point m_nextReport {};
};

} // namespace marigold::relay
