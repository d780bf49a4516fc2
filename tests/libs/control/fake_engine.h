#pragma once

#include <platform/platform.h>

namespace marigold::testing {

/// Engine with slow loads, delayed orders and lost replies.
class fake_engine final : public platform::model_engine {
public:
    explicit fake_engine(base::scheduler& timers)
        : m_timers(timers)
    {
    }

    platform::engine_state current { .model = "m", .version = "v1", .role = "decode" };
    base::duration orderDelay = std::chrono::milliseconds(1); ///< Delay from the sender to the engine.
    base::duration loadTime = std::chrono::milliseconds(333);
    bool loseReplies = false; ///< Replies to orders are lost.
    bool unreachable = false;
    int staleExecuted = 0; ///< Executed orders with a token below the highest one.
    int loads = 0;
    int cancellations = 0;

    void state(callback<platform::engine_state> done) override
    {
        m_timers.runAfter(std::chrono::milliseconds(1), [this, done = std::move(done)] {
            if (unreachable)
                return done(base::notRun(base::error_reason::Unavailable, "no connection"));
            done(current);
        });
    }

    void order(platform::engine_order order, callback<void> done) override
    {
        m_timers.runAfter(
            orderDelay, [this, order = std::move(order), done = std::move(done)] { execute(order, done); });
    }

    void cancelLoading(callback<void> done) override
    {
        ++cancellations;
        ++m_generation;
        current.loading = false;
        m_timers.runAfter(std::chrono::milliseconds(1), [done = std::move(done)] { done({}); });
    }

private:
    void execute(const platform::engine_order& order, const callback<void>& done)
    {
        if (current.checksFencing && order.fencingToken < current.highestToken)
            return done(base::notRun(base::error_reason::Conflict, "stale token"));
        staleExecuted += order.fencingToken < m_highest ? 1 : 0;
        m_highest = std::max(m_highest, order.fencingToken);
        if (current.checksFencing)
            current.highestToken = m_highest;
        if (order.kind == platform::engine_order_kind::ChangeRole) {
            current.role = order.value;
            return reply(done);
        }
        ++loads;
        current.loading = true;
        m_timers.runAfter(loadTime, [this, order, done, generation = ++m_generation] {
            if (generation != m_generation)
                return;
            current.loading = false;
            if (order.kind == platform::engine_order_kind::LoadAdapter)
                current.adapters.push_back(order.value);
            else
                current.version = order.value;
            current.model = order.model;
            reply(done);
        });
    }

    void reply(const callback<void>& done)
    {
        if (loseReplies)
            return done(base::mayHaveRun(base::error_reason::Unavailable, "answer lost"));
        done({});
    }

    base::scheduler& m_timers;
    std::uint64_t m_highest = 0;
    int m_generation = 0;
};

} // namespace marigold::testing
