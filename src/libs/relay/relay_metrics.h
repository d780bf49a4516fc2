#pragma once

#include "relay_config.h"

#include <base/base.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::relay {

/// How a request ended, for metrics and logs.
enum class relay_outcome {
    Answered, ///< The caller got the whole answer of a target.
    OwnAnswer, ///< The caller got an answer of this process.
    Broken, ///< The answer broke off after it had begun.
    CallerGone,
};

/// Returns the snake-case name of \a outcome.
std::string_view nameOf(relay_outcome outcome);

/// What is counted of one request.
struct ended_request {
    request_kind kind = request_kind::NonIdempotent;
    relay_outcome outcome = relay_outcome::Answered;
    base::verdict verdict = base::verdict::NotRun;
    int status = 0; ///< That the caller saw; 0 if none.
    int sends = 0;
    std::optional<base::duration> firstByteAfter = {};
    std::optional<base::duration> sentAfter = {}; ///< From the arrival to the last send.
    std::string_view reason = {}; ///< Why it was refused or broke off.
    int promptTokens = 0;
    int sharedTokens = 0;
    int fetchedTokens = 0; ///< Of the shared parts, planned to be fetched from a store.
};

/// State that is read when the metrics are asked for.
struct relay_gauges {
    std::uint64_t configVersion = 0;
    base::duration configAge { 0 }; ///< Since this version came into force here.
    std::size_t targets = 0;
    std::size_t waiting = 0;
    std::size_t requests = 0;
    std::size_t callers = 0;
    int processes = 0;
    bool holdsOrderLease = false;
    bool storeReachable = false;
    base::duration loopLag { 0 }; ///< Longest delay of a timer since the last reading.
};

/// Counters and histograms of a relay process, with labels from enumerations only.
class relay_metrics {
public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void requestEnded(const ended_request& request);

    /// Counts an event of the log, also one that the log left out.
    void eventLogged(std::string_view name);

    /// Counts a retry that the budget of its service did not allow.
    void retryDenied();

    /// Counts a call of the platform's store; \a result is "ok" or the verdict of the error.
    void storeCallEnded(std::string_view call, std::string_view result);

    /// Returns all metrics with \a gauges in the Prometheus text format 0.0.4.
    std::string exposition(const relay_gauges& gauges);

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace marigold::relay
