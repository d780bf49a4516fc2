#pragma once

#include <base/event_log.h>

#include <array>

namespace marigold::entry::events {

inline constexpr base::event_definition requestFailed { .id = "MB-1801",
    .level = base::log_level::Warning,
    .name = "request_failed",
    .meaning
    = "A request ended without a complete response; fields: request, team, verdict, reason, message.",
    .action = "Run `marigoldctl explain` for the request." };

inline constexpr base::event_definition attemptFailed { .id = "MB-1802",
    .level = base::log_level::Debug,
    .name = "attempt_failed",
    .meaning = "An attempt to serve a request failed; fields: request, target, verdict, message, next.",
    .action = "" };

inline constexpr base::event_definition configChanged { .id = "MB-1803",
    .level = base::log_level::Info,
    .name = "config_change_proposed",
    .meaning
    = "An operator proposed a change of the configuration; fields: operator, base, outcome, change_id.",
    .action = "" };

inline constexpr base::event_definition firstConfig { .id = "MB-1804",
    .level = base::log_level::Info,
    .name = "first_config_proposed",
    .meaning = "The configuration log was empty and the first configuration was proposed; fields: outcome, "
               "message, field.",
    .action = "" };

inline constexpr std::array allEvents { requestFailed, attemptFailed, configChanged, firstConfig };

} // namespace marigold::entry::events
