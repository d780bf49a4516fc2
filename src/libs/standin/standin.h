#pragma once

/// \file
/// Public header of the standin library: simple substitutes for external systems, for tests and the demo.

#include "engine_service.h"
#include "kv_service.h"
#include "small_services.h"
#include "standin_server.h"
