#pragma once

#include <base/event_log.h>

#include <array>

/// Log events of the operate library, MB-17xx.
namespace marigold::operate::events {

inline constexpr base::event_definition teamKeyRefused {
    .id = "MB-1701",
    .level = base::log_level::Warning,
    .name = "team_key_refused",
    .meaning = "A caller presented no valid team key; fields: count (refusals since the last line), detail "
               "(the latest reason).",
    .action
    = "If a team's callers report refusals, compare their key with the team's current keys, and rotate "
      "it if it was lost.",
};

inline constexpr base::event_definition operatorKeyRefused {
    .id = "MB-1702",
    .level = base::log_level::Warning,
    .name = "operator_key_refused",
    .meaning = "The admin interface was called without a valid operator key or without the needed right; "
               "fields: count, detail.",
    .action = "Identify the caller if a key rotation does not explain the refusals.",
};

inline constexpr base::event_definition messageRefused {
    .id = "MB-1703",
    .level = base::log_level::Warning,
    .name = "message_refused",
    .meaning = "A message between processes failed authentication; fields: count, detail.",
    .action = "Compare cluster.message_key and the clocks of the VMs; a detail of \"replayed\" or a wrong "
              "signature without a rotation indicates a foreign sender.",
};

inline constexpr base::event_definition dumpSectionFailed {
    .id = "MB-1704",
    .level = base::log_level::Error,
    .name = "dump_section_failed",
    .meaning = "A module returned no valid JSON for the state dump; fields: section, fault.",
    .action = "Report a bug with the name of the section.",
};

inline constexpr std::array allEvents { teamKeyRefused, operatorKeyRefused, messageRefused,
    dumpSectionFailed };

} // namespace marigold::operate::events
