#pragma once

#include <chrono>

namespace marigold::base {

using duration = std::chrono::microseconds;

/// Point on the monotonic clock of this process; not comparable between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Point on the wall clock, microseconds since the Unix epoch; comparable between VMs within the
/// accuracy of their clocks.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Port to the clocks, which tests replace by a manual clock.
class clock {
public:
    virtual ~clock() = default;

    /// Returns the monotonic time.
    virtual time_point now() const = 0;

    /// Returns the wall-clock time.
    virtual wall_time wallNow() const = 0;
};

/// The clocks of the operating system.
class system_clock final : public clock {
public:
    time_point now() const override;
    wall_time wallNow() const override;
};

/// A clock that advances only by explicit calls.
class manual_clock final : public clock {
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override { return m_wall; }

    /// Advances both clocks by \a step.
    void advance(duration step);

    /// Shifts only the wall clock, as a clock correction does.
    void shiftWall(duration step) { m_wall += step; }

private:
    time_point m_now { std::chrono::seconds(1000) };
    wall_time m_wall { std::chrono::seconds(1'800'000'000) };
};

} // namespace marigold::base
