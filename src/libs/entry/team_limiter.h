#pragma once

#include <base/base.h>
#include <control/control.h>

#include <map>
#include <string>
#include <string_view>

namespace marigold::entry {

/// Enforces the limits that operators set for teams. Each entry enforces its share, the limit divided by the
/// number of live entries, since the balancer spreads the requests of a team over all entries. This needs no
/// coordination between entries.
class team_limiter {
public:
    /// Minimum capacity of a bucket, so that an entry with a small share still admits requests.
    static constexpr double minimumCapacity = 1;

    explicit team_limiter(const base::clock& time)
        : m_clock(time)
    {
    }

    /// Sets the limits of all teams and the number of live entries.
    void configure(const control::name_map<control::team>& teams, int liveEntries);

    /// Starts a request that may generate \a tokens tokens. Fails as `not_run` with `Overloaded` and the time
    /// after which the request can be admitted.
    base::result<void> enter(std::string_view team, double tokens);

    /// Ends an admitted request.
    void leave(std::string_view team);

    /// Returns the number of running requests of \a team.
    std::uint64_t running(std::string_view team) const;

private:
    /// Token bucket whose `level` is refilled at `ratePerSecond` up to `capacity`.
    struct bucket {
        double ratePerSecond = 0;
        double capacity = 0;
        double level = 0;
        base::time_point lastRefill {};

        void refill(base::time_point now);
    };

    struct team_state {
        bool limitsRequests = false;
        bool limitsTokens = false;
        bucket requests;
        bucket tokens;
        std::uint64_t maxConcurrent = 0; ///< Concurrent requests that this entry admits; 0 means no limit.
        std::uint64_t running = 0;
    };

    void configureBucket(bucket& target, double rate, double burst) const;

    const base::clock& m_clock;
    std::map<std::string, team_state, std::less<>> m_teams;
};

} // namespace marigold::entry
