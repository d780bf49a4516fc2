#pragma once

/// \file
/// Public header of the node library: what entry and agent have in common as processes of the fleet.

#include "command_line.h"
#include "events.h"
#include "fleet_node.h"
#include "http_router.h"
#include "node_settings.h"
#include "peer_link.h"
