#pragma once

#include <base/clock.h>
#include <base/error.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::routing {

using request_id = std::uint64_t;

/// A request that waits at the entry for its team's turn.
struct queued_request {
    request_id id = 0;
    double cost = 1; ///< In any unit that is the same for all teams, such as engine seconds.
    base::time_point deadline = base::time_point::max();
};

/// Which teams `fair_queue::pop` may serve.
enum class pop_scope {
    AnyTeam,
    WithinBurst, ///< Only teams that have no more waiting than their burst.
};

/// Weighted fair queue over teams, by start-time fair queueing (Goyal, Vin and Cheng 1996).
///
/// It is work-conserving: whenever something waits, `pop` for any team returns a request. A team that sent
/// less than its share may catch up by a bounded burst. When the queue is full, the request that would be
/// served last is shed, so that a team above its share cannot displace the others.
///
/// Runs are not interrupted, so a team with a long queue can fill all slots and make the others wait for one
/// to end. The entry avoids that by taking its last few free slots with `pop_scope::WithinBurst`.
class fair_queue {
public:
    struct options {
        std::size_t capacity = 10'000; ///< Requests of all teams together.
        std::size_t teamCapacity = 2'000; ///< Requests of one team.
        double burst = 64; ///< Cost that a team may be ahead of its share after a pause.
        /// Called for each request that is dropped; it was never sent anywhere.
        std::function<void(request_id, const base::error&)> refuse = {};
    };

    explicit fair_queue(options opts);

    /// Sets the weight of \a team; 1 for a team that was never set.
    void setWeight(std::string_view team, double weight);

    /// Queues \a item for \a team. Another request may be shed for it through `refuse`. The error is `NotRun`
    /// with `Overloaded`.
    base::result<void> push(std::string_view team, const queued_request& item);

    /// Takes the next request; those whose deadline has passed are refused on the way.
    std::optional<queued_request> pop(base::time_point now, pop_scope scope = pop_scope::AnyTeam);

    /// Removes a request whose caller is gone.
    bool cancel(std::string_view team, request_id id);

    std::size_t size() const { return m_size; }

private:
    using team_index = std::uint32_t;

    struct team_record {
        double weight = 1;
        /// Virtual time at which the team's last started request ends; a new team has its whole burst.
        double finish = std::numeric_limits<double>::lowest();
        double start = 0; ///< Virtual start time of the first waiting request.
        double waitingCost = 0;
        std::deque<queued_request> waiting;
    };

    team_index indexOf(std::string_view team);
    bool makeRoom(team_index index, double cost);
    void dropNewest(team_index index);
    team_index lastServed() const;
    double earliestStart(const team_record& team) const;

    options m_options;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
    std::map<std::string, team_index, std::less<>> m_byName;
    std::vector<team_record> m_teams;
    std::set<std::pair<double, team_index>> m_active; ///< Teams with waiting requests, by virtual start time.
};

} // namespace marigold::routing
