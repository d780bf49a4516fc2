#pragma once

/// \file
/// Public header of the routing library: which target takes a request, how its context gets there, and how
/// much load each target bears.

#include "admission.h"
#include "cold_ramp.h"
#include "cost_model.h"
#include "fair_queue.h"
#include "outlier_detector.h"
#include "retry_budget.h"
#include "router.h"
#include "target_table.h"
