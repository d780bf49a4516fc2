#pragma once

#include "context_finder.h"
#include "entry_settings.h"
#include "request_gate.h"
#include "target_directory.h"
#include "team_limiter.h"

#include <node/node.h>
#include <operate/operate.h>
#include <outcome/outcome.h>
#include <routing/routing.h>

namespace marigold::entry {

/// Services shared by all requests of an entry. Created before the first request and destroyed after the last
/// one.
struct entry_services {
    entry_services(node::fleet_node& node, const entry_settings& settings);

    node::fleet_node& node;
    const entry_settings& settings;
    target_directory targets;
    context_finder contexts;
    routing::router router;
    routing::retry_budget retryBudget;
    outcome::retry_policy retryPolicy;
    outcome::resume_token_codec resumeTokens;
    operate::explain_ring explain;
    request_gate gate;
    team_limiter limiter;
};

} // namespace marigold::entry
