#include "relay_session.h"
#include <relay/events.h>
#include <relay/message/http_status.h>

#include <base/digest.h>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Capacity time of a request in ms before any was measured, and the least of one.
constexpr double leastCost = 0.1;

} // namespace

admission_terms relay_session::terms() const
{
    const double cost
        = std::chrono::duration<double, std::milli>(m_services.targets.capacityTime(m_service->name, work()))
              .count();
    return { .team = m_team ? std::string_view(m_team->name) : std::string_view(),
        .key = m_request.key,
        .weight = m_team ? m_team->weight : 1,
        .cost = std::max(cost, leastCost),
        .fingerprint = m_fingerprint,
        .returned = m_returned,
        .deadline = m_deadline,
        .mayRefuse = m_verdict == base::verdict::NotRun && !m_callerStatus };
}

void relay_session::recogniseReturn()
{
    std::string text = fmt::format("{}\n{}\n{}\n", m_request.key, m_route->name, m_head.target);
    for (const prompt_part& part : m_request.parts)
        text += part.id + '\n';
    // Prompts are told apart by their last part; a digest of the body is only needed without parts.
    const std::uint64_t seed = m_request.parts.empty() ? m_body.fingerprint() : 0;
    m_fingerprint = std::max<std::uint32_t>(static_cast<std::uint32_t>(base::hash64(text, seed)), 1);
    m_returned = m_services.admission->recognise(m_fingerprint);
    if (m_returned != return_kind::None)
        reportAdmission(m_returned == return_kind::OnTime ? "returned_on_time" : "returned_early");
    m_services.admission->requestArrived(*this);
}

base::duration relay_session::returnAfter(base::duration usual) const
{
    if (!m_services.admission)
        return usual;
    // The limit is not known before the route is.
    const base::duration remaining = m_deadline == base::time_point {}
        ? m_request.timeLimit.value_or(base::duration::max() / 2)
        : m_deadline - now();
    return m_services.admission->retryAfter(m_fingerprint, usual, remaining);
}

void relay_session::reportAdmission(std::string_view decision) const
{
    m_services.metrics.admissionDecided(
        m_route->kind, m_team ? std::string_view(m_team->name) : std::string_view(), decision);
}

void relay_session::refuse(const early_refusal& refusal)
{
    m_isQueued = false;
    reportAdmission("refused_early");
    const auto milliseconds = [](base::duration value) {
        return value == base::duration::max() ? std::string("none") : std::to_string(value.count() / 1000);
    };
    m_services.log.write(events::requestRefusedEarly,
        { { "request", m_request.attemptId }, { "route", m_route->name }, { "service", m_service->name },
            { "team", m_team ? m_team->name : std::string() }, { "reason", std::string(refusal.reason) },
            { "position", std::to_string(refusal.position) },
            { "ahead_ms", fmt::format("{:.1f}", refusal.ahead) },
            { "drain_ms_per_s", fmt::format("{:.1f}", refusal.drain) },
            { "expected_wait_ms", milliseconds(refusal.expectedWait) },
            { "retry_after_ms", milliseconds(refusal.retryAfter) },
            { "returned", m_returned == return_kind::None ? "no" : "yes" } });
    sendOwnAnswer(http_status::serviceUnavailable, refusal.retryAfter, refusal.reason);
}

} // namespace marigold::relay
