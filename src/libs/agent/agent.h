#pragma once

/// \file
/// Public header of the agent library: the process beside a target.

#include "agent_settings.h"
#include "target_agent.h"
