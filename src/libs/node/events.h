#pragma once

#include <base/event_log.h>

#include <array>

namespace marigold::node::events {

inline constexpr base::event_definition processStarted { .id = "MB-1201",
    .level = base::log_level::Info,
    .name = "process_started",
    .meaning = "The process has bound its port and joins the fleet.",
    .action = "" };

inline constexpr base::event_definition processStopped { .id = "MB-1202",
    .level = base::log_level::Info,
    .name = "process_stopped",
    .meaning = "The shutdown is complete.",
    .action = "" };

inline constexpr base::event_definition configInForce { .id = "MB-1203",
    .level = base::log_level::Info,
    .name = "config_in_force",
    .meaning = "A configuration version is in force in this process.",
    .action = "" };

inline constexpr base::event_definition keyRecordBroken { .id = "MB-1204",
    .level = base::log_level::Error,
    .name = "key_record_broken",
    .meaning = "A key record in the configuration is invalid; the key is not accepted.",
    .action = "Rotate the key of the team or operator." };

inline constexpr base::event_definition clientsLimited { .id = "MB-1205",
    .level = base::log_level::Warning,
    .name = "clients_limited",
    .meaning
    = "A request was refused or a connection closed, since the memory or the descriptors for clients "
      "are used up; written for the first of each reason within a minute; fields: reason (memory or "
      "descriptors), held_mb, budget_mb.",
    .action = "See OPERATIONS.md, Memory and descriptors." };

inline constexpr std::array allEvents { processStarted, processStopped, configInForce, keyRecordBroken,
    clientsLimited };

} // namespace marigold::node::events
