#pragma once

/// \file
/// Public header of the base library: verdicts, errors, time, randomness, digests and the event log.

#include "base64.h"
#include "bounded_output.h"
#include "clock.h"
#include "digest.h"
#include "error.h"
#include "event_log.h"
#include "random_source.h"
#include "scheduler.h"
#include "verdict.h"
