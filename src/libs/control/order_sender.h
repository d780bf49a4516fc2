#pragma once

#include "load_permit.h"

#include <string>
#include <vector>

namespace marigold::control {

/// Desired end state of an engine; empty fields leave things as they are.
struct engine_goal {
    std::string model;
    std::string version;
    std::string role;
    std::vector<std::string> adapters;

    bool operator==(const engine_goal&) const = default;
};

/// Sends orders to the engine beside this agent until it has met the goal (design page, 4.6).
///
/// Loads need a permit of the weight store. The remaining lease time is checked immediately before the send,
/// and a loading whose answer came after the lease ended is cancelled. A lost answer is read back through the
/// state of the engine. The object must outlive its pending calls.
class order_sender {
public:
    struct options {
        std::string target; ///< Target of the engine.
        base::duration pollInterval = std::chrono::milliseconds(250); ///< While the engine loads.
        base::duration backOffLow = std::chrono::milliseconds(500);
        base::duration backOffHigh = std::chrono::seconds(30);
    };

    order_sender(platform::model_engine& engine, load_permit& permit, platform::kv_store& store,
        base::scheduler& timers, base::random_source& random, const base::event_log& log, options opts);

    /// Sets the desired state; \a bound is the weight store's concurrent load bound.
    void want(engine_goal goal, std::uint64_t bound);

    /// Called when the engine has met the goal.
    void setListener(std::function<void()> met) { m_met = std::move(met); }

    bool hasMetGoal() const { return m_hasMet; }

    /// Answers an agent that wants to take over this target's lapsed slot.
    void answerCheck(std::function<void(predecessor_state)> done);

private:
    void step();
    void stepLater(base::duration delay);
    void failed();
    void examine(const platform::engine_state& state);
    void waitForLoading();
    void takeTokenAndSend(platform::engine_order order, std::uint64_t highestSeen);
    void sendLoad(platform::engine_order order, std::uint64_t highestSeen);
    void send(platform::engine_order order, bool load);
    void answered(std::uint64_t sequence, bool load, const base::result<void>& answer);
    void watchExpiry(std::uint64_t sequence);
    void cancelLapsed();
    std::optional<platform::engine_order> nextOrder(const platform::engine_state& state) const;

    platform::model_engine& m_engine;
    load_permit& m_permit;
    platform::kv_store& m_store;
    base::scheduler& m_timers;
    base::random_source& m_random;
    const base::event_log& m_log;
    options m_options;
    std::function<void()> m_met;

    engine_goal m_goal;
    std::uint64_t m_bound = 1;
    bool m_hasMet = false;
    bool m_busy = false; ///< A step is under way or planned.
    std::uint64_t m_sequence = 0; ///< Of the order last sent.
    bool m_loadOutstanding = false; ///< A load was sent and not answered.
    bool m_loadUnknown = false; ///< The answer to a load was lost.
    int m_failures = 0;
};

} // namespace marigold::control
