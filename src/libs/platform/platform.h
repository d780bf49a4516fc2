#pragma once

/// \file
/// Public header of the platform library: ports to the systems outside, and their adapters over HTTP.

#include "kv_store.h"
#include "model_engine.h"
#include "vm_list.h"
