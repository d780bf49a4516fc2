#pragma once

/// \file
/// Public header of the agent library: the process that runs beside a target.

#include "agent_settings.h"
#include "target_agent.h"
