#pragma once

#include "load_permit.h"

#include <string>
#include <vector>

namespace marigold::control {

/// Desired state of an engine; empty fields leave the current value unchanged.
struct engine_goal {
    std::string model;
    std::string version;
    std::string role;
    std::vector<std::string> adapters;

    bool operator==(const engine_goal&) const = default;
};

/// Sends orders to the agent's engine until it has reached the goal (design page, 4.6).
///
/// Loads require a permit of the weight store. The remaining lease time is checked immediately before an
/// order is sent, and a load is cancelled if its reply arrives after the lease has expired. After a lost
/// reply, the outcome is determined from the state of the engine. The object must outlive its pending calls.
class order_sender {
public:
    struct options {
        std::string target; ///< Target of the engine.
        /// Interval of state queries while the engine is loading.
        base::duration pollInterval = std::chrono::milliseconds(250);
        base::duration minBackoff = std::chrono::milliseconds(500);
        base::duration maxBackoff = std::chrono::seconds(30);
    };

    order_sender(platform::model_engine& engine, load_permit& permit, platform::kv_store& store,
        base::scheduler& timers, base::random_source& random, const base::event_log& log, options opts);

    /// Sets the desired state; \a bound is the number of concurrent loads that the weight store allows.
    void setGoal(engine_goal goal, std::uint64_t bound);

    /// Sets the function that is called when the engine has reached the goal.
    void setListener(std::function<void()> goalReached) { m_goalReachedListener = std::move(goalReached); }

    bool hasMetGoal() const { return m_goalReached; }

    /// Reports the load state to an agent that is about to take over this target's expired slot.
    void answerCheck(std::function<void(predecessor_state)> done);

private:
    void step();
    void stepLater(base::duration delay);
    void retryWithBackoff();
    void examine(const platform::engine_state& state);
    void waitForLoading();
    void takeTokenAndSend(platform::engine_order order, std::uint64_t highestSeen);
    void sendLoad(platform::engine_order order, std::uint64_t highestSeen);
    void send(platform::engine_order order, bool isLoad);
    void handleAnswer(std::uint64_t sequence, bool isLoad, const base::result<void>& answer);
    void watchLeaseExpiry(std::uint64_t sequence);
    void cancelExpiredLoad();
    std::optional<platform::engine_order> nextOrder(const platform::engine_state& state) const;

    platform::model_engine& m_engine;
    load_permit& m_permit;
    platform::kv_store& m_store;
    base::scheduler& m_timers;
    base::random_source& m_random;
    const base::event_log& m_log;
    options m_options;
    std::function<void()> m_goalReachedListener;

    engine_goal m_goal;
    std::uint64_t m_bound = 1;
    bool m_goalReached = false;
    bool m_busy = false; ///< A step is in progress or scheduled.
    std::uint64_t m_sequence = 0; ///< Number of the last order sent.
    bool m_loadOutstanding = false; ///< A load order is in flight.
    bool m_loadUnknown = false; ///< The reply to a load order was lost.
    int m_failures = 0;
};

} // namespace marigold::control
