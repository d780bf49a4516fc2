#pragma once

/// \file
/// Public header of the outcome library, which ensures that the caller of a request receives exactly one
/// outcome and that it is correct.

#include "attempt.h"
#include "call_backoff.h"
#include "claim_bucket.h"
#include "claim_ledger.h"
#include "claim_shard.h"
#include "claim_sweeper.h"
#include "claim_value.h"
#include "drain.h"
#include "events.h"
#include "idempotency_key.h"
#include "resume_token.h"
#include "retry_policy.h"
#include "run_registry.h"
#include "stream_merger.h"
