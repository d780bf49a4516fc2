#pragma once

#include "setting.h"

namespace marigold::settings {

/// A value found in a TOML file.
struct toml_entry {
    std::string path; ///< Dotted path.
    std::optional<setting_value> value; ///< Empty for a type that no setting has, named in `typeName`.
    std::string typeName;
    std::uint32_t line = 0; ///< From 1.
    std::uint32_t column = 0; ///< From 1.
};

/// Largest settings file in bytes; the settings of one process take a few KB.
constexpr std::size_t largestSettingsFile = 1'048'576;

/// Parses TOML 1.0 in ASCII into a flat list in the order of the paths; a text may hold other characters as
/// "\uXXXX". A syntax error is `InvalidRequest` with a
/// message that starts with "LINE:COLUMN: ".
base::result<std::vector<toml_entry>> parseToml(std::string_view text);

} // namespace marigold::settings
