#pragma once

/// \file
/// Public header of the entry library: the process between callers and targets.

#include "entry_settings.h"
#include "fleet_entry.h"
