#pragma once

/// \file
/// Public header of the settings library: typed settings from TOML files, environment variables and the
/// command line.

#include "cluster_settings.h"
#include "events.h"
#include "kv_settings.h"
#include "memory_settings.h"
#include "process_settings.h"
#include "setting.h"
#include "settings_reader.h"
#include "tls_settings.h"
