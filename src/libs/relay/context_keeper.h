#pragma once

#include "context_follower.h"
#include "context_scope.h"
#include "order_lease_holder.h"
#include "target_chooser.h"

#include <map>
#include <string>

namespace marigold::relay {

/// Frees context at the stores that no request can use any more, while this process holds the lease on
/// orders. The stores free nothing on their own, so that context of replaced weights would leave no room for
/// new.
class context_keeper {
public:
    struct options {
        /// After all targets have the newest weights, the last request on older ones may still be fetching.
        base::duration settle = std::chrono::milliseconds(1500);
        std::size_t partsPerCall = 200;
    };

    context_keeper(context_catalog& catalog, const context_follower& follower, context_source& source,
        const order_lease_holder& lease, const target_registry& targets, const base::clock& time,
        const base::event_log& log, options opts);

    /// Frees what is due; to be called now and then.
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
    /// Versions that all targets have had, by model, with the time from which on.
    std::map<std::string, std::map<int, base::time_point>, std::less<>> m_complete;
};

} // namespace marigold::relay
