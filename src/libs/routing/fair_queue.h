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

/// A request waiting at the entry.
struct queued_request {
    request_id id = 0;
    double cost = 1; ///< In any unit that is the same for all teams, such as engine seconds.
    base::time_point deadline = base::time_point::max();
};

/// Which teams `fair_queue::pop` may serve.
enum class pop_scope {
    AnyTeam,
    WithinBurst, ///< Only teams whose waiting cost does not exceed the burst.
};

/// Weighted fair queue over teams, by start-time fair queueing (Goyal, Vin and Cheng 1996).
///
/// The queue is work-conserving: while any request waits, `pop` with `AnyTeam` returns one. A team that used
/// less than its share may catch up by a limited burst. When the queue is full, the request that would be
/// served last is shed, so that a team above its share cannot displace other teams.
///
/// Runs are not interrupted, so a team with a long queue could occupy all slots and make other teams wait for
/// a run to end. To avoid this, the entry fills its last free slots with `pop_scope::WithinBurst`.
class fair_queue {
public:
    struct options {
        std::size_t capacity = 10'000; ///< Requests of all teams together.
        std::size_t teamCapacity = 2'000; ///< Requests of one team.
        double burst = 64; ///< Cost by which a team may exceed its share after being idle.
        /// Called for each request that is shed or expired; it was never sent.
        std::function<void(request_id, const base::error&)> refuse = {};
    };

    explicit fair_queue(options opts);

    /// Sets the weight of \a team; the default is 1.
    void setWeight(std::string_view team, double weight);

    /// Counts \a cost that another queue served for \a team, which moves the team back accordingly. To be
    /// called before the requests of the team are queued.
    void charge(std::string_view team, double cost);

    /// Queues \a item for \a team. If the queue is full, another request may be shed, which is reported by
    /// `refuse`. Fails with `NotRun` and `Overloaded`.
    base::result<void> push(std::string_view team, const queued_request& item);

    /// Removes and returns the next request; refuses requests whose deadline has passed.
    std::optional<queued_request> pop(base::time_point now, pop_scope scope = pop_scope::AnyTeam);

    /// Removes a request whose caller has disconnected.
    bool cancel(std::string_view team, request_id id);

    std::size_t size() const { return m_size; }

private:
    using team_index = std::uint32_t;

    struct team_record {
        double weight = 1;
        /// Virtual end time of the last started request of the team; a new team has its full burst.
        double finish = std::numeric_limits<double>::lowest();
        double start = 0; ///< Virtual start time of the first waiting request.
        double waitingCost = 0;
        std::deque<queued_request> waiting;
    };

    team_index indexOf(std::string_view team);
    bool shedLastServed(team_index index, double cost);
    void shedNewest(team_index index);
    team_index teamServedLast() const;
    double earliestStart(const team_record& team) const;

    options m_options;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
    std::map<std::string, team_index, std::less<>> m_byName;
    std::vector<team_record> m_teams;
    std::set<std::pair<double, team_index>> m_active; ///< Teams with waiting requests, by virtual start time.
};

} // namespace marigold::routing
