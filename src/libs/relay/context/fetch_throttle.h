#pragma once

#include <base/clock.h>

#include <cstdint>
#include <string_view>

namespace marigold::relay {

/// Outcomes of the fetches from one store.
struct fetch_outcomes {
    std::uint64_t store = 0; ///< Hash of the store's address.
    int inTime = 0;
    int late = 0;
};

/// Limits the fetches from one store to what its link can carry. A store whose link has become slow serves
/// its queue in order, so that once the queue is longer than the requests can wait, all fetches end too late.
/// The share of the parts that are fetched decreases while many fetches are late, and increases otherwise
/// (Chiu and Jain 1989); the others are computed at once.
class fetch_throttle {
public:
    struct options {
        /// Share of late fetches up to which the store is taken to keep up: single ones have other causes.
        double toleratedLateShare = 0.25;
        double decrease = 0.7; ///< Factor on the share of the parts that are fetched.
        double increase = 0.1;
        double smallestShare = 0.1; ///< Some fetches are needed to find out when the store is fast again.
        /// Time between two changes; a fetch that is late is known to be so after about this time.
        base::duration interval = std::chrono::milliseconds(500);
        int minOutcomes = 4; ///< Fetches needed to decrease the share.
    };

    explicit fetch_throttle(options opts);
    fetch_throttle()
        : fetch_throttle(options {})
    {
    }

    /// Records outcomes of this process or of others.
    void record(int inTime, int late, base::time_point now);

    /// Returns whether the part \a partId may be fetched; the same parts are chosen by all processes.
    bool admits(std::string_view partId, base::time_point now);

    double share() const { return m_share; }

private:
    void adapt(base::time_point now);

    options m_options;
    double m_share = 1;
    int m_inTime = 0;
    int m_late = 0;
    base::time_point m_adaptedAt {};
};

} // namespace marigold::relay
