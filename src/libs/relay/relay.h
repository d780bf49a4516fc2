#pragma once

/// \file Public header of the relay library, which forwards opaque requests of callers to targets that have
/// no agent and brings these targets to the wanted weights.

#include "relay_server.h"
#include "relay_settings.h"
#include <relay/message/wire_dialect.h>
#include <relay/orders/target_control.h>
#include <relay/store/relay_config.h>
#include <relay/store/state_decoder.h>
