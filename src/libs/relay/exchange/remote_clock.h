#pragma once

#include <base/clock.h>

#include <array>
#include <cstdint>
#include <optional>

namespace marigold::relay {

/// Estimates a clock of the platform from readings that arrive with a delay. The reading with the shortest
/// delay gives the best estimate (Cristian 1989); older ones are forgotten, since the clock may be set.
class remote_clock {
public:
    /// Records that the clock read \a milliseconds shortly before \a receivedAt.
    void observe(std::int64_t milliseconds, base::time_point receivedAt);

    /// Returns the reading of the clock at \a time, in milliseconds, which is at most too low; empty if there
    /// is no reading.
    std::optional<std::int64_t> at(base::time_point time) const;

private:
    /// Time after which a new period of readings begins; the estimate uses the current and the last period.
    static constexpr base::duration period = std::chrono::seconds(3);

    std::array<std::optional<std::int64_t>, 2> m_offsets; ///< Largest of the current and the last period.
    base::time_point m_periodBegin {};
};

} // namespace marigold::relay
