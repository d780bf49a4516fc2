#include "explain_ring.h"

#include <nlohmann/json.hpp>

namespace marigold::operate {

namespace {

using json = nlohmann::json;

// Index entry, hash table links and unused vector capacity.
constexpr std::size_t recordOverheadBytes = 128;

double milliseconds(base::duration elapsed)
{
    return static_cast<double>(elapsed.count()) / 1000.0;
}

json renderDecision(const explain_decision& decision, std::size_t omitted)
{
    json candidates = json::array();
    for (const auto& candidate : decision.candidates)
        candidates.push_back({ { "target", candidate.target }, { "cost_ms", candidate.costMs },
            { "reason", candidate.reason } });
    return { { "at_ms", milliseconds(decision.at) }, { "chosen", decision.chosen },
        { "candidates", std::move(candidates) }, { "omitted_candidates", omitted } };
}

json renderAttempt(const explain_attempt& attempt)
{
    return { { "target", attempt.target }, { "start_ms", milliseconds(attempt.start) },
        { "elapsed_ms", milliseconds(attempt.elapsed) }, { "verdict", base::nameOf(attempt.verdict) },
        { "reason", attempt.reason } };
}

} // namespace

explain_ring::explain_ring(options opts, const base::clock& time)
    : m_options(opts)
    , m_clock(time)
{
}

void explain_ring::begin(std::string_view requestId, std::string_view team, std::string_view subject)
{
    const std::string key = truncate(requestId);
    if (record* earlier = lookup(key))
        earlier->replaced = true;
    m_records.push_back({ .requestId = key,
        .team = truncate(team),
        .subject = truncate(subject),
        .arrival = m_clock.wallNow(),
        .start = m_clock.now() });
    m_index[key] = m_first + m_records.size() - 1;
    record& added = m_records.back();
    account(added,
        sizeof(record) + recordOverheadBytes + 2 * added.requestId.size() + added.team.size()
            + added.subject.size());
    evict();
}

void explain_ring::addDecision(std::string_view requestId, explain_decision decision)
{
    record* entry = lookup(requestId);
    if (!entry)
        return;
    if (entry->decisions.size() >= m_options.decisions) {
        ++entry->omittedDecisions;
        return;
    }
    stored_decision stored;
    if (decision.candidates.size() > m_options.candidates) {
        stored.omittedCandidates = decision.candidates.size() - m_options.candidates;
        decision.candidates.resize(m_options.candidates);
    }
    decision.candidates.shrink_to_fit();
    std::size_t added = sizeof(stored_decision) + decision.candidates.size() * sizeof(explain_candidate);
    decision.chosen = truncate(decision.chosen);
    added += decision.chosen.size();
    for (auto& candidate : decision.candidates) {
        candidate.target = truncate(candidate.target);
        candidate.reason = truncate(candidate.reason);
        added += candidate.target.size() + candidate.reason.size();
    }
    stored.decision = std::move(decision);
    entry->decisions.push_back(std::move(stored));
    account(*entry, added);
    evict();
}

void explain_ring::addAttempt(std::string_view requestId, explain_attempt attempt)
{
    record* entry = lookup(requestId);
    if (!entry)
        return;
    if (entry->attempts.size() >= m_options.attempts) {
        ++entry->omittedAttempts;
        return;
    }
    attempt.target = truncate(attempt.target);
    attempt.reason = truncate(attempt.reason);
    const std::size_t added = sizeof(explain_attempt) + attempt.target.size() + attempt.reason.size();
    entry->attempts.push_back(std::move(attempt));
    account(*entry, added);
    evict();
}

void explain_ring::finish(std::string_view requestId, base::verdict verdict, std::string_view reason)
{
    record* entry = lookup(requestId);
    if (!entry)
        return;
    entry->verdict = verdict;
    entry->reason = truncate(reason);
    entry->elapsed = m_clock.now() - entry->start;
    account(*entry, entry->reason.size());
    evict();
}

std::optional<std::string> explain_ring::find(std::string_view requestId) const
{
    const record* entry = lookup(requestId);
    if (!entry)
        return {};
    json out { { "request_id", entry->requestId }, { "team", entry->team }, { "subject", entry->subject },
        { "arrival_us", entry->arrival.time_since_epoch().count() },
        { "omitted_decisions", entry->omittedDecisions }, { "omitted_attempts", entry->omittedAttempts },
        { "decisions", json::array() }, { "attempts", json::array() }, { "finished", nullptr } };
    for (const auto& stored : entry->decisions)
        out["decisions"].push_back(renderDecision(stored.decision, stored.omittedCandidates));
    for (const auto& attempt : entry->attempts)
        out["attempts"].push_back(renderAttempt(attempt));
    if (entry->verdict)
        out["finished"] = { { "verdict", base::nameOf(*entry->verdict) }, { "reason", entry->reason },
            { "elapsed_ms", milliseconds(entry->elapsed) } };
    // External texts may be truncated within a character or may not be UTF-8.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

explain_ring::record* explain_ring::lookup(std::string_view requestId)
{
    const auto found = m_index.find(truncate(requestId));
    return found == m_index.end() ? nullptr : &m_records[found->second - m_first];
}

const explain_ring::record* explain_ring::lookup(std::string_view requestId) const
{
    const auto found = m_index.find(truncate(requestId));
    return found == m_index.end() ? nullptr : &m_records[found->second - m_first];
}

std::string explain_ring::truncate(std::string_view text) const
{
    return std::string(text.substr(0, m_options.textBytes));
}

void explain_ring::account(record& entry, std::size_t added)
{
    entry.bytes += added;
    m_bytes += added;
}

void explain_ring::evict()
{
    while (!m_records.empty() && (m_records.size() > m_options.requests || m_bytes > m_options.bytes)) {
        const record& oldest = m_records.front();
        m_bytes -= oldest.bytes;
        if (!oldest.replaced)
            m_index.erase(oldest.requestId);
        m_records.pop_front();
        ++m_first;
    }
}

} // namespace marigold::operate
