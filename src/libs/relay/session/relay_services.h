#pragma once

#include <relay/admission/admission_control.h>
#include <relay/admission/hedge_policy.h>
#include <relay/admission/part_quarantine.h>
#include <relay/admission/retry_budgets.h>
#include <relay/admission/wait_queue.h>
#include <relay/context/context_catalog.h>
#include <relay/message/wire_dialect.h>
#include <relay/placement/target_chooser.h>
#include <relay/relay_metrics.h>
#include <relay/rollout/rollout_control.h>
#include <relay/store/relay_config.h>
#include <relay/targets/target_end_detector.h>
#include <relay/targets/target_pool.h>
#include <relay/targets/target_registry.h>

#include <base/base.h>
#include <net/event_loop.h>
#include <routing/routing.h>

#include <functional>
#include <memory>
#include <optional>

namespace marigold::relay {

/// Objects that the sessions of one process share.
struct relay_services {
    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    const base::event_log& log;
    const wire_dialect& dialect;
    target_pool& pool;
    target_registry& targets;
    target_chooser& chooser;
    target_end_detector& targetEnds;
    part_quarantine& quarantine;
    context_catalog& context;
    wait_queue& waitQueue;
    relay_metrics& metrics;
    retry_budgets& retryBudgets;
    rollout_control& rollouts;
    admission_control* admission = nullptr; ///< Null unless it is enabled.
    hedge_policy& hedging;
    base::time_point startedAt {}; ///< Start time of the process.
    std::optional<base::time_point> endsAt = {}; ///< When a graceful shutdown ends the process.
    /// Claims a trial with a blocked part, by its name and the number of the trial.
    std::function<void(std::string_view, int, std::function<void(bool)>)> claimTrial;
    std::shared_ptr<const relay_config> config; ///< Null until the first configuration is known.
};

} // namespace marigold::relay
