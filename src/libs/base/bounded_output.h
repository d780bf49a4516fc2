#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace marigold::base {

/// Writes log lines to a descriptor without blocking, and limits their rate.
///
/// Lines above the rate limit, and lines that the reader does not consume, are dropped and counted; the count
/// is reported in a separate line. Warnings and errors have a separate rate limit, so that many ordinary
/// lines do not suppress them.
class bounded_output {
public:
    struct options {
        int descriptor = 1; ///< Standard output.
        int linesPerSecond = 600; ///< Rate limit for level info and below.
        int alertsPerSecond = 200; ///< Rate limit for warnings and errors.
        std::size_t pendingBytes = 64 << 10; ///< Capacity of the buffer for a slow reader.
        /// Formats the line that reports the number of dropped lines.
        std::function<std::string(std::uint64_t dropped)> describeDropped = {};
    };

    bounded_output(const clock& time, options opts);

    /// Writes \a line, which must end with a line feed. \a isAlert is set for warnings and errors.
    void write(std::string_view line, bool isAlert);

    /// Returns the number of lines dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void flush();
    void countDropped();
    void reportDropped();

    const clock& m_clock;
    options m_options;
    time_point m_windowStart {};
    int m_windowLines = 0;
    int m_windowAlerts = 0;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace marigold::base
