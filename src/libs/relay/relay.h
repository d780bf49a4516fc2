#pragma once

/// \file Public header of the relay library, which forwards opaque requests of callers to targets that have
/// no agent and brings these targets to the wanted weights.

#include "relay_config.h"
#include "relay_server.h"
#include "relay_settings.h"
#include "state_decoder.h"
#include "target_control.h"
#include "wire_dialect.h"
