#pragma once

#include <base/event_log.h>

#include <array>

/// Log events of the settings library, MB-11xx.
namespace marigold::settings::events {

inline constexpr base::event_definition settingsLoaded {
    .id = "MB-1101",
    .level = base::log_level::Info,
    .name = "settings_loaded",
    .meaning = "The process read its settings; fields: file, changed (number of settings that differ from "
               "their default).",
    .action = "",
};

inline constexpr base::event_definition settingsRefused {
    .id = "MB-1102",
    .level = base::log_level::Error,
    .name = "settings_refused",
    .meaning = "The settings are invalid and the process does not start; fields: fault (first invalid "
               "setting or file).",
    .action = "Correct the named setting; docs/settings.md lists names, types and ranges.",
};

inline constexpr base::event_definition variableIgnored {
    .id = "MB-1103",
    .level = base::log_level::Warning,
    .name = "variable_ignored",
    .meaning = "An environment variable starts with MARIGOLD_ but matches no settings section; fields: "
               "variable.",
    .action = "Remove the variable, or correct its section if a setting was intended.",
};

inline constexpr std::array allEvents { settingsLoaded, settingsRefused, variableIgnored };

} // namespace marigold::settings::events
