#pragma once

/// \file
/// Public header of the platform library: ports to external systems, and their HTTP adapters.

#include "completion_engine.h"
#include "http_completion_engine.h"
#include "http_kv_store.h"
#include "http_model_engine.h"
#include "http_vm_list.h"
#include "kv_store.h"
#include "model_engine.h"
#include "state_era.h"
#include "vm_list.h"
