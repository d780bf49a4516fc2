#pragma once

/// \file
/// Public header of the protocol library: typed messages between entries and agents.

#include "run_messages.h"
