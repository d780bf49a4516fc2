#pragma once

/// \file
/// Public header of the diagnose library, which determines from the logs of several processes how and why a
/// request ended.

#include "clock_offsets.h"
#include "log_collection.h"
#include "log_record.h"
#include "request_explanation.h"
