#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::diagnose {

using milliseconds = std::chrono::milliseconds;

/// One line of a structured log.
struct log_record {
    milliseconds time { 0 }; ///< Since the epoch, by the clock of the process.
    std::string process;
    std::string event; ///< "MB-NNNN".
    std::string name;
    std::map<std::string, std::string, std::less<>> fields = {}; ///< All other fields.

    /// Returns the field \a key, or an empty text.
    std::string_view field(std::string_view key) const;

    /// Returns the field \a key as milliseconds; empty if it is not a number.
    std::optional<milliseconds> duration(std::string_view key) const;
};

/// Parses the JSON object in \a line; skips a prefix added by a log collector. Empty if the line is not a
/// valid structured log line.
std::optional<log_record> parseLogLine(std::string_view line);

} // namespace marigold::diagnose
