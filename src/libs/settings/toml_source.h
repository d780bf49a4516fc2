#pragma once

#include "setting.h"

namespace marigold::settings {

/// A value in a TOML file.
struct toml_entry {
    std::string path; ///< Dotted path.
    std::optional<setting_value> value; ///< Empty if no setting has the type `typeName`.
    std::string typeName;
    std::uint32_t line = 0; ///< From 1.
    std::uint32_t column = 0; ///< From 1.
};

/// Maximum size of a settings file. The settings of a process take a few KB.
constexpr std::size_t maximumSettingsFileBytes = 1'048'576;

/// Parses TOML 1.0 in ASCII into a flat list ordered by path. Strings may contain other characters as
/// "\uXXXX".
/// \return `InvalidRequest` for a syntax error, with a message that starts with "LINE:COLUMN: "; `TooLarge`
/// if the file is too large
base::result<std::vector<toml_entry>> parseToml(std::string_view text);

} // namespace marigold::settings
