#pragma once

#include <relay/targets/target_registry.h>

#include <base/base.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marigold::relay {

/// Tells the other processes the paces that targets report to this one, and takes over theirs. With many
/// processes, each sees the answers of a target too seldom to know its pace.
class pace_exchange {
public:
    struct options {
        /// Bytes per second of all digests together that paces may take.
        double bytesPerSecond = 1800;
        /// Older reports are not sent: a receiver would hardly use them.
        base::duration maxAge = std::chrono::milliseconds(500);
    };

    pace_exchange(target_registry& targets, const base::clock& time, options opts);

    /// Sets the number of processes that get each digest.
    void setReceivers(std::size_t receivers) { m_receivers = receivers; }

    digest_section section();

    /// Returns the reports for the next digest, the latest first; empty if there are none.
    std::string write();

    /// Records the reports of a peer; \a bytes may be anything.
    void read(std::string_view bytes);

private:
    struct report {
        int pace = 0; ///< In percent.
        base::time_point at {};
    };

    target_registry& m_targets;
    const base::clock& m_clock;
    options m_options;
    std::size_t m_receivers = 0;
    std::map<std::uint64_t, report> m_unsent; ///< The last report of each target, by its hash.
    double m_credit = 0; ///< Bytes that may be sent to each receiver.
    base::time_point m_creditedAt {};
};

} // namespace marigold::relay
