#pragma once

/// \file
/// Public header of the entry library: the process that forwards requests of callers to targets.

#include "entry_settings.h"
#include "fleet_entry.h"
