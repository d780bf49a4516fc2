#pragma once

#include <chrono>

namespace marigold::base {

using duration = std::chrono::microseconds;

/// Point on the monotonic clock of this process; never compared between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Point on the wall clock, microseconds since the Unix epoch; comparable between VMs within their clock
/// error.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Port to time, so that decisions run under a manual clock in tests.
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

/// A clock that moves only when told to.
class manual_clock final : public clock {
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override { return m_wall; }

    /// Moves both clocks forward by \a step.
    void advance(duration step);

    /// Moves the wall clock alone, as a clock correction does.
    void shiftWall(duration step) { m_wall += step; }

private:
    time_point m_now { std::chrono::seconds(1000) };
    wall_time m_wall { std::chrono::seconds(1'800'000'000) };
};

} // namespace marigold::base
