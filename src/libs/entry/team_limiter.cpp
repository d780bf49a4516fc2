#include "team_limiter.h"

#include <algorithm>
#include <cmath>

namespace marigold::entry {

namespace {

constexpr std::chrono::milliseconds concurrencyRetryAfter { 200 };

/// Tolerance for rounding errors of refills. Without it, a caller that waits for the returned time may be
/// refused again.
constexpr double roundingTolerance = 1e-6;

tl::unexpected<base::error> refuse(const char* message, std::chrono::milliseconds retryAfter)
{
    return tl::unexpected(base::error { .verdict = base::verdict::NotRun,
        .reason = base::error_reason::Overloaded,
        .message = message,
        .field = "team",
        .retryAfter = retryAfter });
}

std::chrono::milliseconds refillTime(double missing, double rate)
{
    constexpr double millisecondsPerSecond = 1000;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::ceil(missing / rate * millisecondsPerSecond)));
}

} // namespace

void team_limiter::bucket::refill(base::time_point now)
{
    const double seconds = std::chrono::duration<double>(now - lastRefill).count();
    level = std::min(capacity, level + seconds * ratePerSecond);
    lastRefill = now;
}

void team_limiter::configureBucket(bucket& target, double rate, double burst) const
{
    const bool isNew = target.capacity == 0;
    target.refill(m_clock.now());
    target.ratePerSecond = rate;
    target.capacity = std::max(minimumCapacity, rate * burst);
    target.level = isNew ? target.capacity : std::min(target.level, target.capacity);
}

void team_limiter::configure(const control::name_map<control::team>& teams, int liveEntries)
{
    const double entries = std::max(1, liveEntries);
    std::erase_if(
        m_teams, [&](const auto& item) { return !teams.contains(item.first) && item.second.running == 0; });
    for (const auto& [name, team] : teams) {
        team_state& state = m_teams[name];
        state.limitsRequests = team.limits.requestsPerSecond.has_value();
        state.limitsTokens = team.limits.tokensPerSecond.has_value();
        if (state.limitsRequests)
            configureBucket(state.requests, *team.limits.requestsPerSecond / entries, team.burst);
        if (state.limitsTokens)
            configureBucket(state.tokens, *team.limits.tokensPerSecond / entries, team.burst);
        state.maxConcurrent = team.limits.concurrentRequests ? static_cast<std::uint64_t>(std::max(1.0,
                                  std::floor(static_cast<double>(*team.limits.concurrentRequests) / entries)))
                                                             : 0;
    }
}

base::result<void> team_limiter::enter(std::string_view team, double tokens)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return base::notRun(base::error_reason::Unauthorized, "the team is unknown", "team");
    team_state& state = found->second;
    if (state.maxConcurrent > 0 && state.running >= state.maxConcurrent)
        return refuse("the team has reached its limit of concurrent requests", concurrencyRetryAfter);
    const base::time_point now = m_clock.now();
    state.requests.refill(now);
    state.tokens.refill(now);
    if (state.limitsRequests && state.requests.level < 1 - roundingTolerance)
        return refuse("the team has exceeded its limit of requests per second",
            refillTime(1 - state.requests.level, state.requests.ratePerSecond));
    // A request larger than the capacity is admitted when the bucket is full, and leaves a negative level.
    const double wanted = std::min(tokens, state.tokens.capacity);
    if (state.limitsTokens && state.tokens.level < wanted - roundingTolerance)
        return refuse("the team has exceeded its limit of tokens per second",
            refillTime(wanted - state.tokens.level, state.tokens.ratePerSecond));
    if (state.limitsRequests)
        state.requests.level -= 1;
    if (state.limitsTokens)
        state.tokens.level -= tokens;
    ++state.running;
    return {};
}

void team_limiter::leave(std::string_view team)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end() && found->second.running > 0)
        --found->second.running;
}

std::uint64_t team_limiter::running(std::string_view team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.running;
}

} // namespace marigold::entry
