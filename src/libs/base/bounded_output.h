#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace marigold::base {

/// Writes log lines to a descriptor without ever blocking, and bounds their number.
///
/// Lines above the rate, and lines that the reader does not take, are dropped and counted; the count follows
/// in a line of its own. Warnings and errors have a rate of their own, so that a flood of ordinary lines
/// hides none.
class bounded_output {
public:
    struct options {
        int descriptor = 1; ///< Standard output.
        int linesPerSecond = 600; ///< Of level info and below.
        int alertsPerSecond = 200; ///< Of warnings and errors.
        std::size_t pendingBytes = 64 << 10; ///< That wait for a slow reader.
        /// Renders the line that tells how many lines were dropped.
        std::function<std::string(std::uint64_t dropped)> describeDropped = {};
    };

    bounded_output(const clock& time, options opts);

    /// Writes \a line, which ends with a line feed; \a isAlert for warnings and errors.
    void write(std::string_view line, bool isAlert);

    /// Lines that were dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void flush();
    void drop();
    void report();

    const clock& m_clock;
    options m_options;
    time_point m_secondStart {};
    int m_lines = 0;
    int m_alerts = 0;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace marigold::base
