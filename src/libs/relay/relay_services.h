#pragma once

#include "context_catalog.h"
#include "part_quarantine.h"
#include "relay_config.h"
#include "relay_metrics.h"
#include "retry_budgets.h"
#include "target_chooser.h"
#include "target_end_detector.h"
#include "target_pool.h"
#include "target_registry.h"
#include "wait_queue.h"
#include "wire_dialect.h"

#include <base/base.h>
#include <net/event_loop.h>
#include <routing/routing.h>

#include <functional>
#include <memory>

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
    base::time_point startedAt {}; ///< Start time of the process.
    /// Claims a trial with a blocked part, by its name and the number of the trial.
    std::function<void(std::string_view, int, std::function<void(bool)>)> claimTrial;
    std::shared_ptr<const relay_config> config; ///< Null until the first configuration is known.
};

} // namespace marigold::relay
