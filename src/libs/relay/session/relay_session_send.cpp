#include "relay_session.h"
#include <relay/events.h>
#include <relay/log_fields.h>

#include <algorithm>

namespace marigold::relay {

namespace {

/// Time left for other delays if a fetch is given up and the context is computed within the latency goal.
constexpr base::duration fetchMargin = std::chrono::milliseconds(100);

/// Shortest time for a fetch of a request that is late already; most take a tenth of it.
constexpr base::duration shortestFetchTime = std::chrono::milliseconds(400);

} // namespace

base::time_point relay_session::fetchDeadline() const
{
    const target_load wholePrompt { .requests = 1, .prefillTokens = m_request.promptTokens };
    const base::duration prefill = m_services.targets.idlePrefillTime(m_service->name, wholePrompt);
    const base::time_point inTime = m_arrivedAt + m_route->latencyGoal - prefill - fetchMargin;
    return std::max(inTime, now() + shortestFetchTime);
}

bool relay_session::fetchEndedInTime() const
{
    const base::duration prefill = m_services.targets.idlePrefillTime(m_service->name, m_work);
    return now() - prefill <= m_fetchDeadline;
}

std::string relay_session::requestHead(const target_record& target) const
{
    const auto& versions = target.registration.weightVersions;
    const auto version = versions.find(m_request.model);
    forward_fields fields { .attemptId = m_request.attemptId,
        .timeLeft = m_deadline - now(),
        .targetId = target.registration.id,
        .team = m_team ? std::string_view(m_team->name) : std::string_view() };
    if (m_service->engine && version != versions.end()) {
        fields.weightVersion = version->second;
        fields.priority = urgency();
        fields.cacheScope = m_scope;
        fields.context = &m_context.plan;
        fields.fetchUntilMs = m_services.context.platformTimeMs(m_fetchDeadline);
    }
    if (!m_events.lastId().empty())
        fields.resumeAfter = m_events.lastId();
    net::http_headers headers = m_services.dialect.forwardedFields(m_head, fields);
    if (!m_body.empty() || m_head.framing != body_framing::None)
        headers.add("Content-Length", std::to_string(m_body.size()));
    return requestHeadText(m_head.method, m_head.target, headers);
}

bool relay_session::accountFor(std::size_t bytes)
{
    // Measured: a request at a target takes about 9 KB without its content. A part of a prompt takes its name
    // twice, with the scope, and two addresses in the plan of its context.
    constexpr std::size_t requestBytes = 9 << 10;
    constexpr std::size_t partBytes = 400;
    constexpr std::size_t fewBytes = 16 << 10;
    if (!m_caller)
        return true;
    const std::size_t held = requestBytes + bytes + m_request.parts.size() * partBytes;
    if (bytes > fewBytes)
        return m_caller->held().trySet(net::held_kind::Requests, held);
    m_caller->held().set(net::held_kind::Requests, held);
    return true;
}

void relay_session::logDispatch(const target_record& target, std::uint64_t weightVersion) const
{
    const auto number = [](auto value) { return std::to_string(value); };
    m_services.log.write(events::requestPlaced,
        { { "request", m_request.attemptId }, { "target", target.registration.id },
            { "attempt", number(m_sends + 1) }, { "waited_ms", milliseconds(elapsed()) },
            { "expected_ms", milliseconds(m_expectedFirstToken) },
            { "own_requests", number(target.own.requests) },
            { "peer_requests", number(target.peers.requests) },
            { "prefill_tokens", number(target.own.prefillTokens + target.peers.prefillTokens) },
            { "pace", number(std::lround(100 * target.pace.factor(now()))) },
            { "cold", now() < target.coldUntil ? "yes" : "no" }, { "weights", number(weightVersion) },
            { "kept_tokens", number(m_context.cachedTokens) }, { "config", number(m_config->version()) } });
}

target_pool::reuse relay_session::reusableConnections(const target_record& target) const
{
    if (std::ranges::find(m_triedAddresses, target.registration.address) != m_triedAddresses.end())
        return target_pool::reuse::None;
    return mayRepeat() ? target_pool::reuse::Any : target_pool::reuse::RecentlyUsed;
}

bool relay_session::send(target_record& target, answer_handler* hedge)
{
    m_connection = m_services.pool.acquire(target.registration.address, reusableConnections(target),
        std::max<std::size_t>(1, m_service->maxConnections / (target.senders + 1)));
    if (!m_connection)
        return false;
    const auto versions = target.registration.weightVersions;
    const auto version = versions.find(m_request.model);
    if (version != versions.end()) {
        setScope(version->second);
        m_context = m_services.context.plan(m_scope, m_request.parts);
        m_services.context.planStarted(m_scope, m_request.parts, m_context);
        m_transfersInFlight = true;
    }
    m_target = m_services.targets.targets().at(target.registration.id);
    m_tried.push_back(target.index);
    m_triedAddresses.push_back(target.registration.address);
    m_work = work();
    m_firstTokenReceived = false;
    m_expectedFirstToken = m_services.targets.expectedPrefillTime(target, m_work) + m_context.transferTime;
    // With the backlog there: while all requests move to targets with empty caches, these are busy, not bad.
    target_load queued = m_work;
    queued.prefillTokens += std::max<std::int64_t>(target.own.prefillTokens + target.peers.prefillTokens, 0);
    m_usualFirstToken = m_services.targets.idlePrefillTime(m_service->name, queued) + m_context.transferTime;
    m_hadPrefillAhead = target.own.prefillTokens + target.peers.prefillTokens > 0;
    logDispatch(target, version == versions.end() ? 0 : version->second);
    m_services.targets.requestStarted(target, m_work);
    m_services.rollouts.requestSent(target.registration, m_sends == 0);
    if (m_services.admission)
        m_services.admission->requestStarted(*this);
    m_sentAt = now();
    m_firstChunkAfter.reset();
    m_fetchDeadline = fetchDeadline();
    m_lastTarget = target.registration.id;
    m_answer = answer_state::None;
    m_answerBegun = false;
    m_boundary = {};
    m_stage = 0;
    ++m_sends;
    ++m_possibleRuns;
    const std::string head = requestHead(target);
    accountFor(head.size());
    m_connection->send(head, m_body, hedge ? *hedge : *this);
    if (!hedge)
        scheduleHedge();
    return true;
}

} // namespace marigold::relay
