#include "relay_metrics.h"

#include <relay/callers/resource_guard.h>

#include <algorithm>
#include <array>
#include <functional>
#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace marigold::relay {

namespace {

/// In seconds; the latency goals of routes are between 0.2 s and a few seconds.
const prometheus::Histogram::BucketBoundaries latencyBounds { 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5,
    2, 4, 8 };

std::string statusClass(int status)
{
    constexpr int perClass = 100;
    return status == 0 ? "none" : std::to_string(status / perClass) + "xx";
}

/// Refusal reasons of this process. Reasons that targets report are unbounded in number and counted as one.
constexpr std::array<std::string_view, 13> ownReasons { "no_target", "targets_busy", "no_service",
    "no_configuration", "no_route", "unknown_key", "time_limit", "stopping", "no_further_target",
    "part_blocked", "targets_leaving", "targets_paused", "expected_late" };

std::string reasonLabel(std::string_view reason)
{
    return std::string(
        std::ranges::find(ownReasons, reason) != ownReasons.end() ? reason : std::string_view("target"));
}

std::string versionLabel(version_lane lane)
{
    return lane == version_lane::Candidate ? "new" : "old";
}

} // namespace

std::string_view nameOf(relay_outcome outcome)
{
    constexpr std::array<std::string_view, 4> names { "answered", "own_answer", "broken", "caller_gone" };
    return names[static_cast<std::size_t>(outcome)];
}

struct relay_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                            .Name("marigold_relay_requests_total")
                                                            .Help("Requests that ended")
                                                            .Register(registry);
    prometheus::Family<prometheus::Histogram>& firstByte
        = prometheus::BuildHistogram()
              .Name("marigold_relay_first_byte_seconds")
              .Help("From the arrival of a request to the first byte of its answer")
              .Register(registry);
    prometheus::Family<prometheus::Histogram>& sentAfter
        = prometheus::BuildHistogram()
              .Name("marigold_relay_sent_after_seconds")
              .Help("From the arrival of a request to its last send to a target")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& refusals = prometheus::BuildCounter()
                                                            .Name("marigold_relay_refusals_total")
                                                            .Help("Requests refused or broken off, by reason")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& events = prometheus::BuildCounter()
                                                          .Name("marigold_relay_events_total")
                                                          .Help("Events of the log, left out lines included")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter>& storeCalls
        = prometheus::BuildCounter()
              .Name("marigold_relay_store_calls_total")
              .Help("Calls of the platform's store, by result")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& answers
        = prometheus::BuildCounter()
              .Name("marigold_relay_answers_total")
              .Help("Complete answers of targets, by how their end was determined")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& admission
        = prometheus::BuildCounter()
              .Name("marigold_relay_admission_total")
              .Help("Requests refused early, and requests that returned after a refusal")
              .Register(registry);
    std::set<std::string, std::less<>> teams; ///< Those with a label of their own.
    prometheus::Counter& retriesDenied = prometheus::BuildCounter()
                                             .Name("marigold_relay_retries_denied_total")
                                             .Help("Retries that the budget of the service did not allow")
                                             .Register(registry)
                                             .Add({});
    prometheus::Family<prometheus::Counter>& hedges
        = prometheus::BuildCounter()
              .Name("marigold_relay_hedges_total")
              .Help("Hedges, second attempts of late requests: sent, and how they ended")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& hedgesDenied
        = prometheus::BuildCounter()
              .Name("marigold_relay_hedges_denied_total")
              .Help("Late requests that were not hedged, by reason")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& sends
        = prometheus::BuildCounter()
              .Name("marigold_relay_sends_total")
              .Help("Requests sent to targets, first ones and repeated ones")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& versionSends
        = prometheus::BuildCounter()
              .Name("marigold_relay_version_sends_total")
              .Help("Requests sent to targets of services with a running roll-out of a software version")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& versionAnswers
        = prometheus::BuildCounter()
              .Name("marigold_relay_version_answers_total")
              .Help("Attempts that ended at targets of services with a running roll-out")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& tokens
        = prometheus::BuildCounter()
              .Name("marigold_relay_prompt_tokens_total")
              .Help("Prompt tokens of answered requests: all, shared, and planned to be fetched")
              .Register(registry);
    prometheus::Family<prometheus::Gauge>& held
        = prometheus::BuildGauge()
              .Name("marigold_relay_held_bytes")
              .Help("Memory that the process holds for callers and targets, by kind")
              .Register(registry);
    prometheus::Family<prometheus::Counter>& limited
        = prometheus::BuildCounter()
              .Name("marigold_relay_limit_actions_total")
              .Help("Requests refused and connections closed or refused for lack of memory or descriptors")
              .Register(registry);
    std::array<std::uint64_t, limitActions> countedActions {}; ///< As last exported.
    prometheus::Family<prometheus::Gauge>& state
        = prometheus::BuildGauge().Name("marigold_relay_state").Help("Present state").Register(registry);
};

relay_metrics::relay_metrics()
    : m_families(std::make_unique<families>())
{
}

relay_metrics::~relay_metrics() = default;

void relay_metrics::requestEnded(const ended_request& request)
{
    const std::string kind(nameOf(request.kind));
    m_families->requests
        .Add({ { "kind", kind }, { "outcome", std::string(nameOf(request.outcome)) },
            { "verdict", std::string(base::nameOf(request.verdict)) },
            { "status", statusClass(request.status) } })
        .Increment();
    if (request.sends > 0)
        m_families->sends.Add({ { "kind", kind }, { "attempt", "first" } }).Increment();
    if (request.sends > 1)
        m_families->sends.Add({ { "kind", kind }, { "attempt", "repeated" } }).Increment(request.sends - 1);
    if (request.firstByteAfter)
        m_families->firstByte.Add({ { "kind", kind } }, latencyBounds)
            .Observe(std::chrono::duration<double>(*request.firstByteAfter).count());
    if (request.sentAfter)
        m_families->sentAfter.Add({ { "kind", kind } }, latencyBounds)
            .Observe(std::chrono::duration<double>(*request.sentAfter).count());
    if (!request.reason.empty())
        m_families->refusals.Add({ { "reason", reasonLabel(request.reason) } }).Increment();
    if (request.outcome == relay_outcome::Answered && request.framing)
        m_families->answers.Add({ { "kind", kind }, { "framing", std::string(nameOf(*request.framing)) } })
            .Increment();
    if (request.outcome != relay_outcome::Answered || request.promptTokens == 0)
        return;
    m_families->tokens.Add({ { "part", "all" } }).Increment(request.promptTokens);
    m_families->tokens.Add({ { "part", "shared" } }).Increment(request.sharedTokens);
    m_families->tokens.Add({ { "part", "fetched" } }).Increment(request.fetchedTokens);
}

void relay_metrics::eventLogged(std::string_view name)
{
    m_families->events.Add({ { "event", std::string(name) } }).Increment();
}

void relay_metrics::admissionDecided(request_kind kind, std::string_view team, std::string_view decision)
{
    constexpr std::size_t maxTeams = 64;
    std::set<std::string, std::less<>>& teams = m_families->teams;
    if (!teams.contains(team) && teams.size() < maxTeams)
        teams.emplace(team);
    m_families->admission
        .Add({ { "kind", std::string(nameOf(kind)) },
            { "team", teams.contains(team) ? std::string(team) : std::string("others") },
            { "decision", std::string(decision) } })
        .Increment();
}

void relay_metrics::retryDenied()
{
    m_families->retriesDenied.Increment();
}

void relay_metrics::versionRequestSent(version_lane lane)
{
    m_families->versionSends.Add({ { "version", versionLabel(lane) } }).Increment();
}

void relay_metrics::versionAnswered(version_lane lane, bool failed)
{
    m_families->versionAnswers
        .Add({ { "version", versionLabel(lane) }, { "outcome", failed ? "failed" : "answered" } })
        .Increment();
}

void relay_metrics::hedgeCounted(std::string_view what)
{
    m_families->hedges.Add({ { "hedge", std::string(what) } }).Increment();
}

void relay_metrics::hedgeDenied(std::string_view reason)
{
    m_families->hedgesDenied.Add({ { "reason", std::string(reason) } }).Increment();
}

void relay_metrics::storeCallEnded(std::string_view call, std::string_view result)
{
    m_families->storeCalls.Add({ { "call", std::string(call) }, { "result", std::string(result) } })
        .Increment();
}

void relay_metrics::exportLimits(const resource_guard& guard)
{
    for (std::size_t index = 0; index < net::heldKinds; ++index) {
        const auto kind = static_cast<net::held_kind>(index);
        m_families->held.Add({ { "kind", std::string(net::nameOf(kind)) } })
            .Set(static_cast<double>(guard.memory().held(kind)));
    }
    for (std::size_t index = 0; index < limitActions; ++index) {
        const auto action = static_cast<limit_action>(index);
        const std::uint64_t counted = guard.counted(action);
        m_families->limited.Add({ { "action", std::string(nameOf(action)) } })
            .Increment(
                static_cast<double>(counted - std::exchange(m_families->countedActions[index], counted)));
    }
}

std::string relay_metrics::exposition(const relay_gauges& gauges)
{
    const std::array<std::pair<const char*, double>, 18> values { {
        { "config_version", static_cast<double>(gauges.configVersion) },
        { "config_age_seconds", std::chrono::duration<double>(gauges.configAge).count() },
        { "targets", static_cast<double>(gauges.targets) },
        { "leaving_targets", static_cast<double>(gauges.leavingTargets) },
        { "paused_targets", static_cast<double>(gauges.pausedTargets) },
        { "paced_targets", static_cast<double>(gauges.pacedTargets) },
        { "slow_targets", static_cast<double>(gauges.slowTargets) },
        { "waiting_requests", static_cast<double>(gauges.waiting) },
        { "open_requests", static_cast<double>(gauges.requests) },
        { "caller_connections", static_cast<double>(gauges.callers) },
        { "target_connections", static_cast<double>(gauges.targetConnections) },
        { "blocked_parts", static_cast<double>(gauges.blockedParts) },
        { "suspect_parts", static_cast<double>(gauges.suspectParts) },
        { "processes", static_cast<double>(gauges.processes) },
        { "running_rollouts", static_cast<double>(gauges.runningRollouts) },
        { "holds_order_lease", gauges.holdsOrderLease ? 1.0 : 0.0 },
        { "store_reachable", gauges.storeReachable ? 1.0 : 0.0 },
        { "loop_lag_seconds", std::chrono::duration<double>(gauges.loopLag).count() },
    } };
    for (const auto& [name, value] : values)
        m_families->state.Add({ { "of", name } }).Set(value);
    if (gauges.guard)
        exportLimits(*gauges.guard);
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace marigold::relay
