#pragma once

/// \file
/// Public header of the operate library: metrics, explanations, state dumps, access control and message
/// authentication.

#include "access_control.h"
#include "access_key.h"
#include "events.h"
#include "explain_ring.h"
#include "message_auth.h"
#include "metrics.h"
#include "refusal_log.h"
#include "secure_random.h"
#include "state_dump.h"
#include "team_labels.h"
#include "uuid.h"
