#pragma once

/// \file
/// Public header of the diagnose library: finds out from the logs of several processes how a request ended
/// and why.

#include "clock_offsets.h"
#include "log_collection.h"
#include "log_record.h"
#include "request_explanation.h"
