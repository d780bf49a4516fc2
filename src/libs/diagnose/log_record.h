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
    std::map<std::string, std::string, std::less<>> fields = {}; ///< All others.

    /// Returns the field \a key, or an empty text.
    std::string_view field(std::string_view key) const;

    /// Returns the field \a key as a number of milliseconds, if it is one.
    std::optional<milliseconds> duration(std::string_view key) const;
};

/// Parses \a line, which holds a JSON object; what a log collector wrote before the object is skipped. Empty
/// if the line is no line of a structured log.
std::optional<log_record> parseLogLine(std::string_view line);

} // namespace marigold::diagnose
