#pragma once

/// \file
/// Public header of the node library: the common parts of entry and agent processes.

#include "command_line.h"
#include "events.h"
#include "fleet_node.h"
#include "http_router.h"
#include "node_settings.h"
#include "peer_link.h"
