#pragma once

/// \file
/// Public header of the routing library, which selects the target of a request and the way its context gets
/// there, and limits the load of each target.

#include "admission.h"
#include "cold_ramp.h"
#include "cost_model.h"
#include "fair_queue.h"
#include "outlier_detector.h"
#include "retry_budget.h"
#include "router.h"
#include "target_table.h"
