#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marigold::entry {

/// Lets requests through to the targets up to a bound, in the order of weighted fair queueing over teams.
class request_gate {
public:
    struct options {
        std::size_t capacity = 10'000; ///< Waiting requests.
        int bound = 8; ///< Requests at the targets at once; see `setBound`.
    };

    request_gate(const base::clock& time, base::scheduler& timers, options opts);

    /// Bound for this entry: its share of what the targets admit.
    void setBound(int bound);

    void setWeight(std::string_view team, double weight) { m_queue.setWeight(team, weight); }

    /// Calls \a ready when the request may go on, with an error (`not_run`) if it is shed before.
    /// \a cost is the expected work in units of about one short request.
    void enter(std::string_view team, double cost, base::time_point deadline,
        std::function<void(base::result<void>)> ready);

    /// Ends a request that was let through.
    void leave();

    int running() const { return m_running; }
    std::size_t waiting() const { return m_queue.size(); }
    int bound() const { return m_bound; }

private:
    routing::pop_scope scopeNow() const;
    void dispatch();

    const base::clock& m_clock;
    base::scheduler& m_timers;
    int m_bound;
    int m_running = 0;
    bool m_dispatchPlanned = false;
    routing::request_id m_nextId = 1;
    std::map<routing::request_id, std::function<void(base::result<void>)>> m_ready;
    routing::fair_queue m_queue;
};

} // namespace marigold::entry
