#pragma once

#include "state_decoder.h"

#include <base/base.h>
#include <control/lease.h>

#include <optional>
#include <string>

namespace marigold::relay {

/// Competes for the lease on orders: one process at a time gives orders to targets, under a fencing token
/// that grows with each holder.
class order_lease_holder {
public:
    struct options {
        std::string process; ///< Unique for each start.
        base::duration timeToLive = std::chrono::milliseconds(1500);
        /// Covers the drift of clocks and the way of the last order to its target.
        base::duration margin = std::chrono::milliseconds(400);
        /// Wait after the lease was taken, for targets that do not check tokens: an order of the last holder
        /// may still arrive. Zero where they do.
        base::duration settle { 0 };
        /// Processes that see the lease end compete after a random part of this time.
        base::duration spread = std::chrono::milliseconds(250);
    };

    order_lease_holder(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, base::random_source& random, const base::event_log& log, options opts);

    /// Tells who holds the lease according to the store; empty when nobody does.
    void seen(const std::optional<order_lease>& current);

    /// Gives the lease up, for a process that stops.
    void release();

    /// Gives the lease up after a target has refused the token, and does not compete for a while.
    void refused();

    /// Returns true while orders may be sent.
    bool mayOrder() const;

    std::uint64_t token() const { return m_token; }

private:
    void competeLater();
    void compete();
    void take(std::uint64_t leaseId, base::time_point sentAt);
    void took(std::uint64_t leaseId, base::time_point sentAt, std::uint64_t token);
    void confirm(std::uint64_t leaseId, base::time_point sentAt);
    void renewLater();
    void renew();
    void lose(std::string_view reason);

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    options m_options;
    control::lease m_lease;
    bool m_vacant = false;
    bool m_competing = false;
    bool m_released = false;
    std::uint64_t m_leaseId = 0;
    std::uint64_t m_token = 0;
    base::time_point m_mayOrderFrom {};
    base::time_point m_notBefore {}; ///< Does not compete earlier.
};

} // namespace marigold::relay
