#pragma once

#include <base/base.h>
#include <control/control.h>

#include <map>
#include <string>
#include <string_view>

namespace marigold::entry {

/// Limits that operators set for a team, applied at each entry to its share: the limit divided by the live
/// entries, since the balancer spreads a team's requests over all of them. Nothing needs to be agreed between
/// entries.
class team_limiter {
public:
    /// A rate limit lets at least this many requests through at once, so that a small share still works.
    static constexpr double smallestBurst = 1;

    explicit team_limiter(const base::clock& time)
        : m_clock(time)
    {
    }

    /// Takes the limits of all teams and the number of live entries.
    void configure(const control::named<control::team>& teams, int liveEntries);

    /// Starts a request that may generate \a tokens. Refuses as `not_run` with `Overloaded` and the time
    /// after which the team has room again.
    base::result<void> enter(std::string_view team, double tokens);

    /// Ends a request that was let through.
    void leave(std::string_view team);

    /// Returns the running requests of \a team.
    std::uint64_t running(std::string_view team) const;

private:
    /// Token bucket: `level` of at most `capacity` refills with `rate` a second.
    struct bucket {
        double rate = 0;
        double capacity = 0;
        double level = 0;
        base::time_point updated {};

        void refill(base::time_point now);
    };

    struct team_state {
        bool limitsRequests = false;
        bool limitsTokens = false;
        bucket requests;
        bucket tokens;
        std::uint64_t concurrent = 0; ///< Share of this entry; 0 for no limit.
        std::uint64_t running = 0;
    };

    void configureBucket(bucket& target, double rate, double burst) const;

    const base::clock& m_clock;
    std::map<std::string, team_state, std::less<>> m_teams;
};

} // namespace marigold::entry
