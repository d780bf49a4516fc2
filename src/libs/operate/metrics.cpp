#include "metrics.h"

#include <array>
#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace marigold::operate {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;

// Seconds. The boundaries include the latency goals for the target size (0.35 s and 34 ms), so that the exact
// fraction of requests within the goal is available.
const prometheus::Histogram::BucketBoundaries firstTokenBuckets { 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25,
    0.3, 0.35, 0.4, 0.5, 0.75, 1, 2, 5, 10, 30 };
const prometheus::Histogram::BucketBoundaries interTokenBuckets { 0.005, 0.01, 0.015, 0.02, 0.025, 0.03,
    0.034, 0.04, 0.05, 0.075, 0.1, 0.25, 1 };

double seconds(base::duration elapsed)
{
    return std::chrono::duration<double>(elapsed).count();
}

std::string reasonLabel(std::optional<base::error_reason> reason)
{
    return reason ? std::string(base::nameOf(*reason)) : "ok";
}

} // namespace

std::string_view nameOf(link_tier tier)
{
    constexpr std::array<std::string_view, 3> names { "engine", "memory", "disk" };
    return names.at(static_cast<std::size_t>(tier));
}

std::string_view nameOf(byte_direction direction)
{
    return direction == byte_direction::Sent ? "sent" : "received";
}

std::string_view nameOf(control_channel channel)
{
    constexpr std::array<std::string_view, 3> names { "membership", "configuration", "admin" };
    return names.at(static_cast<std::size_t>(channel));
}

std::string_view nameOf(kv_operation operation)
{
    constexpr std::array<std::string_view, 6> names { "get", "put", "remove", "range", "lease", "watch" };
    return names.at(static_cast<std::size_t>(operation));
}

std::string_view nameOf(retry_kind kind)
{
    constexpr std::array<std::string_view, 3> names { "retry", "hedge", "denied" };
    return names.at(static_cast<std::size_t>(kind));
}

struct metrics::families {
    prometheus::Registry registry;

    prometheus::Family<prometheus::Histogram>& firstToken
        = prometheus::BuildHistogram()
              .Name("marigold_time_to_first_token_seconds")
              .Help("Time from the arrival of a request to its first token")
              .Register(registry);
    prometheus::Histogram& interToken = prometheus::BuildHistogram()
                                            .Name("marigold_inter_token_seconds")
                                            .Help("Time between two tokens of one answer")
                                            .Register(registry)
                                            .Add({}, interTokenBuckets);
    counter_family& promptTokens = counter("marigold_prompt_tokens_total", "Tokens of prompts");
    counter_family& recomputedTokens = counter(
        "marigold_prompt_tokens_recomputed_total", "Tokens of prompts whose context was recomputed");
    counter_family& linkBytes
        = counter("marigold_link_bytes_total", "Bytes of cached context moved over the link to a tier");
    counter_family& requests
        = counter("marigold_requests_total", "Finished requests by verdict and reason (ok if successful)");
    counter_family& retries
        = counter("marigold_retries_total", "Further attempts, hedges, and attempts denied by the budget");
    counter_family& sheds = counter("marigold_sheds_total", "Requests refused to limit the load");
    prometheus::Gauge& rampStep = gauge(
        "marigold_ramp_step", "Present step of the cold ramp; equal to marigold_ramp_steps when warm");
    prometheus::Gauge& rampSteps = gauge("marigold_ramp_steps", "Number of steps of the cold ramp");
    prometheus::Gauge& rampLimit = gauge("marigold_ramp_limit", "Requests in flight that the ramp allows");
    prometheus::Gauge& configurationVersion
        = gauge("marigold_configuration_version", "Version of the configuration in force");
    counter_family& controlBytes
        = counter("marigold_control_bytes_total", "Bytes of messages that serve the system itself");
    counter_family& kvCalls
        = counter("marigold_kv_calls_total", "Calls to the key-value service by operation and outcome");

    counter_family& limited = counter("marigold_limited_total",
        "Requests refused and connections closed for lack of memory or descriptors, by reason");
    prometheus::Family<prometheus::Gauge>& heldBytes
        = prometheus::BuildGauge()
              .Name("marigold_held_bytes")
              .Help("Memory that clients make the process hold, by kind")
              .Register(registry);

private:
    counter_family& counter(const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    prometheus::Gauge& gauge(const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }
};

metrics::metrics(const base::clock& time, team_labels::options teams)
    : m_labels(teams, time)
    , m_families(std::make_unique<families>())
{
}

metrics::~metrics() = default;

std::string metrics::teamLabel(std::string_view team, std::uint64_t volume)
{
    for (const auto& lost : m_labels.refresh()) {
        const prometheus::Labels labels { { "team", lost } };
        m_families->firstToken.Remove(&m_families->firstToken.Add(labels, firstTokenBuckets));
        for (counter_family* family :
            { &m_families->promptTokens, &m_families->recomputedTokens, &m_families->sheds })
            family->Remove(&family->Add(labels));
    }
    return std::string(m_labels.label(team, volume));
}

void metrics::timeToFirstToken(std::string_view team, base::duration elapsed)
{
    m_families->firstToken.Add({ { "team", teamLabel(team) } }, firstTokenBuckets).Observe(seconds(elapsed));
}

void metrics::interTokenTime(base::duration elapsed)
{
    m_families->interToken.Observe(seconds(elapsed));
}

void metrics::promptTokens(std::string_view team, std::uint64_t total, std::uint64_t recomputed)
{
    const prometheus::Labels labels { { "team", teamLabel(team, total) } };
    m_families->promptTokens.Add(labels).Increment(static_cast<double>(total));
    m_families->recomputedTokens.Add(labels).Increment(static_cast<double>(recomputed));
}

void metrics::linkBytes(link_tier tier, byte_direction direction, std::uint64_t bytes)
{
    m_families->linkBytes
        .Add({ { "tier", std::string(nameOf(tier)) }, { "direction", std::string(nameOf(direction)) } })
        .Increment(static_cast<double>(bytes));
}

void metrics::outcome(base::verdict verdict, std::optional<base::error_reason> reason)
{
    m_families->requests
        .Add({ { "verdict", std::string(base::nameOf(verdict)) }, { "reason", reasonLabel(reason) } })
        .Increment();
}

void metrics::retry(retry_kind kind)
{
    m_families->retries.Add({ { "kind", std::string(nameOf(kind)) } }).Increment();
}

void metrics::shed(std::string_view team)
{
    m_families->sheds.Add({ { "team", teamLabel(team) } }).Increment();
}

void metrics::rampState(const ramp_state& state)
{
    m_families->rampStep.Set(state.step);
    m_families->rampSteps.Set(state.steps);
    m_families->rampLimit.Set(state.limit);
}

void metrics::configurationVersion(std::uint64_t version)
{
    m_families->configurationVersion.Set(static_cast<double>(version));
}

void metrics::controlBytes(control_channel channel, byte_direction direction, std::uint64_t bytes)
{
    m_families->controlBytes
        .Add({ { "channel", std::string(nameOf(channel)) }, { "direction", std::string(nameOf(direction)) } })
        .Increment(static_cast<double>(bytes));
}

void metrics::kvCall(kv_operation operation, std::optional<base::error_reason> reason)
{
    m_families->kvCalls
        .Add({ { "operation", std::string(nameOf(operation)) }, { "outcome", reasonLabel(reason) } })
        .Increment();
}

void metrics::limited(std::string_view reason)
{
    m_families->limited.Add({ { "reason", std::string(reason) } }).Increment();
}

void metrics::heldBytes(std::string_view kind, std::uint64_t bytes)
{
    m_families->heldBytes.Add({ { "kind", std::string(kind) } }).Set(static_cast<double>(bytes));
}

std::string metrics::exposition()
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_families->registry.Collect());
    return out.str();
}

} // namespace marigold::operate
