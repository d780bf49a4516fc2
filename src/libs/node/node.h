#pragma once

/// \file
/// Public header of the node library: what entry and agent have in common as processes of the fleet.

#include "command_line.h"
