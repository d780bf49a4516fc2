#pragma once

#include "context_follower.h"
#include "context_scope.h"
#include <relay/orders/order_lease_holder.h>
#include <relay/placement/target_chooser.h>

#include <map>
#include <string>

namespace marigold::relay {

/// Frees context that no request can use any more, while this process holds the lease on orders. The stores
/// evict nothing on their own, so context of replaced weights would leave no capacity for new context.
class context_reclaimer {
public:
    struct options {
        /// Delay before context of replaced weights is freed once no process uses them any more or all
        /// targets have newer ones: the last request on older weights may still be fetching.
        base::duration freeDelay = std::chrono::milliseconds(1500);
        /// Time after the first targets are known in which nothing is freed: a process that this one has
        /// never known may run and be cut off.
        base::duration startDelay = std::chrono::milliseconds(5000);
        std::size_t maxPartsPerCall = 200;
    };

    context_reclaimer(context_catalog& catalog, const context_follower& follower, context_source& source,
        const order_lease_holder& lease, const target_registry& targets, const base::clock& time,
        const base::event_log& log, options opts);

    /// Frees context of replaced weights. To be called periodically.
    void sweep();

private:
    bool isReplaced(const context_scope& scope);

    context_catalog& m_catalog;
    const context_follower& m_follower;
    context_source& m_source;
    const order_lease_holder& m_lease;
    const target_registry& m_targets;
    const base::clock& m_clock;
    const base::event_log& m_log;
    options m_options;
    base::time_point m_startedAt {}; ///< Time when the first targets were known; zero before.
    /// For each model, the versions that all targets have reached or all processes use, and since when.
    std::map<std::string, std::map<int, base::time_point>, std::less<>> m_completeSince;
};

} // namespace marigold::relay
