#pragma once

#include <base/base.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::operate {

/// Limits the values of the label `team`: the teams with the largest volume have a label of their own, all
/// others are counted as "other".
///
/// Volumes halve at every refresh, so that a team that is no longer active loses its label. A team replaces a
/// smaller one only if it has `replaceFactor` times its volume, so that teams of similar volume do not take
/// turns and interrupt their time series.
class team_labels {
public:
    struct options {
        std::size_t named = 50; ///< Maximum number of teams with their own label.
        /// Maximum number of teams whose volume is tracked; the target size has 2,800.
        std::size_t tracked = 4096;
        base::duration refreshInterval = std::chrono::minutes(10);
        double replaceFactor = 1.5;
    };

    static constexpr std::string_view otherLabel = "other";

    team_labels(options opts, const base::clock& time);

    /// Adds \a volume to \a team and returns the label under which it is counted.
    std::string_view label(std::string_view team, std::uint64_t volume = 1);

    /// Selects the named teams again if the interval has elapsed; returns the teams that lost their label.
    std::vector<std::string> refresh();

    std::size_t namedCount() const { return m_named; }
    std::size_t trackedCount() const { return m_teams.size(); }

private:
    struct team_volume {
        double volume = 0;
        bool named = false;
    };

    using table = std::map<std::string, team_volume, std::less<>>;

    std::vector<std::string> replaceSmallTeams();
    void dropIdleTeams();

    options m_options;
    const base::clock& m_clock;
    base::time_point m_lastRefresh;
    table m_teams;
    std::size_t m_named = 0;
};

} // namespace marigold::operate
