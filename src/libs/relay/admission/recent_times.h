#pragma once

#include <base/base.h>

#include <array>
#include <cstddef>
#include <optional>

namespace marigold::relay {

/// Distribution of recent times of one kind. Its memory is constant; old times lose weight exponentially.
class recent_times {
public:
    /// Adds \a time, which was measured at \a now.
    void add(base::duration time, base::time_point now);

    /// Returns an upper bound of the time that the share \a percentile (0 to 1) of the recent ones did not
    /// exceed, at most 10 % above it; nothing if they weigh less than \a minSamples.
    std::optional<base::duration> percentile(
        double percentile, double minSamples, base::time_point now) const;

private:
    /// Time after which a sample counts half: long enough for a process with one request per second to have
    /// 20 samples, short enough to follow the load.
    static constexpr base::duration halfLife = std::chrono::seconds(30);
    static constexpr double growth = 1.1; ///< Ratio of the bounds of adjacent buckets.
    static constexpr std::size_t buckets = 112; ///< From 1 ms to 39 s.

    static std::size_t bucketOf(base::duration time);
    static base::duration upperBound(std::size_t bucket);

    std::array<float, buckets> m_weights {};
    base::time_point m_decayedAt {}; ///< The weights are as of this time.
};

} // namespace marigold::relay
