#pragma once

/// \file
/// Public header of the context library, which identifies, stores, locates, transfers and evicts blocks of
/// cached context.

#include "block_checksum.h"
#include "block_key.h"
#include "block_pool.h"
#include "context_hints.h"
#include "eviction_policy.h"
#include "extent_storage.h"
#include "placement.h"
#include "reuse_estimator.h"
#include "transfer_link.h"
#include "write_lease.h"
