#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marigold::entry {

/// Limits the concurrent requests at the targets. Further requests wait and are admitted by weighted fair
/// queueing over teams.
class request_gate {
public:
    struct options {
        std::size_t capacity = 10'000; ///< Maximum number of waiting requests.
        int bound = 8; ///< Maximum number of concurrent requests at the targets; see `setBound`.
    };

    request_gate(const base::clock& time, base::scheduler& timers, options opts);

    /// Sets the bound of this entry: its share of the admission bounds of the targets.
    void setBound(int bound);

    void setWeight(std::string_view team, double weight) { m_queue.setWeight(team, weight); }

    /// Calls \a ready when the request is admitted, or with an error (`not_run`) if it is shed. \a cost is
    /// the expected work in units of about one short request.
    void enter(std::string_view team, double cost, base::time_point deadline,
        std::function<void(base::result<void>)> ready);

    /// Ends an admitted request.
    void leave();

    int running() const { return m_running; }
    std::size_t waiting() const { return m_queue.size(); }
    int bound() const { return m_bound; }

private:
    routing::pop_scope currentScope() const;
    void dispatch();

    const base::clock& m_clock;
    base::scheduler& m_timers;
    int m_bound;
    int m_running = 0;
    bool m_isDispatchScheduled = false;
    routing::request_id m_nextId = 1;
    std::map<routing::request_id, std::function<void(base::result<void>)>> m_readyCallbacks;
    routing::fair_queue m_queue;
};

} // namespace marigold::entry
