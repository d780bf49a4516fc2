#include "team_limiter.h"

#include <algorithm>
#include <cmath>

namespace marigold::entry {

namespace {

constexpr std::chrono::milliseconds concurrencyRetry { 200 };

/// Refills are sums of fractions; without this margin a caller that waits as it was told may be refused
/// again.
constexpr double rounding = 1e-6;

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
    const double seconds = std::chrono::duration<double>(now - updated).count();
    level = std::min(capacity, level + seconds * rate);
    updated = now;
}

void team_limiter::configureBucket(bucket& target, double rate, double burst) const
{
    const bool isNew = target.capacity == 0;
    target.refill(m_clock.now());
    target.rate = rate;
    target.capacity = std::max(smallestBurst, rate * burst);
    target.level = isNew ? target.capacity : std::min(target.level, target.capacity);
}

void team_limiter::configure(const control::named<control::team>& teams, int liveEntries)
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
        state.concurrent = team.limits.concurrentRequests ? static_cast<std::uint64_t>(std::max(1.0,
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
    if (state.concurrent > 0 && state.running >= state.concurrent)
        return refuse("the team has as many requests running as it may", concurrencyRetry);
    const base::time_point now = m_clock.now();
    state.requests.refill(now);
    state.tokens.refill(now);
    if (state.limitsRequests && state.requests.level < 1 - rounding)
        return refuse("the team is over its requests a second",
            refillTime(1 - state.requests.level, state.requests.rate));
    // A request above the whole capacity is let through when the bucket is full, and leaves a debt behind.
    const double wanted = std::min(tokens, state.tokens.capacity);
    if (state.limitsTokens && state.tokens.level < wanted - rounding)
        return refuse("the team is over its tokens a second",
            refillTime(wanted - state.tokens.level, state.tokens.rate));
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
