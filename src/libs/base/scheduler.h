#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace marigold::base {

/// Identifies a pending timer; zero means none.
using timer_id = std::uint64_t;

/// Port for timers on the event loop of the process. Callbacks run on the thread of the loop, never inside
/// `runAfter`.
class scheduler {
public:
    virtual ~scheduler() = default;

    /// Runs \a task once after \a delay; a delay of zero or less runs it in the next iteration of the loop.
    virtual timer_id runAfter(duration delay, std::function<void()> task) = 0;

    /// Cancels a pending timer; an unknown or fired \a id is ignored.
    virtual void cancel(timer_id id) = 0;
};

/// Timers that fire only while a manual clock is advanced through `advance`.
class manual_scheduler final : public scheduler {
public:
    explicit manual_scheduler(manual_clock& time)
        : m_clock(time)
    {
    }

    timer_id runAfter(duration delay, std::function<void()> task) override;
    void cancel(timer_id id) override;

    /// Advances the clock by \a step and runs all timers that become due, in order of due time.
    void advance(duration step);

    /// Runs the timers that are due now, without advancing the clock.
    void runDue() { advance(duration::zero()); }

    std::size_t pending() const { return m_timers.size(); }

private:
    manual_clock& m_clock;
    timer_id m_next = 1;
    std::map<std::pair<time_point, timer_id>, std::function<void()>> m_timers;
};

} // namespace marigold::base
