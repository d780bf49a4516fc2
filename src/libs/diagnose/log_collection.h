#pragma once

#include "log_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::diagnose {

/// A time in which a process wrote nothing.
struct log_gap {
    milliseconds begin { 0 };
    milliseconds end { 0 };
};

/// A start of a process that had run before.
struct process_restart {
    milliseconds lastLine { 0 }; ///< Of the process before.
    milliseconds at { 0 };
};

/// What the lines of one process show besides single requests.
struct process_activity {
    milliseconds first { 0 };
    milliseconds last { 0 };
    std::uint64_t lines = 0;
    std::uint64_t droppedLines = 0; ///< As the process itself has counted them.
    std::vector<log_gap> gaps = {};
    std::vector<process_restart> restarts = {};
};

/// Keeps from the logs of several processes what explains one request: its own lines, the lines that tell of
/// no request, and when each process wrote anything. Lines of other requests are only counted, so that logs
/// may be larger than the memory.
class log_collection {
public:
    struct options {
        std::string request; ///< Id of the request.
        /// A busy process writes several lines a second; a longer gap shows that it stood still or was idle.
        milliseconds shortestGap { 700 };
    };

    explicit log_collection(options opts);

    /// Takes a line of a log; lines of one process come in their order.
    void add(std::string_view line);

    const std::string& request() const { return m_options.request; }

    /// Lines of the request, by the clock of their process.
    const std::vector<log_record>& ofRequest() const { return m_ofRequest; }

    /// Lines that tell of no request.
    const std::vector<log_record>& general() const { return m_general; }

    const std::map<std::string, process_activity>& processes() const { return m_processes; }

    /// Number of requests that ended at \a process with \a reason from \a begin to \a end.
    std::uint64_t endedWith(
        std::string_view process, std::string_view reason, milliseconds begin, milliseconds end) const;

    /// Lines that were no structured log.
    std::uint64_t skipped() const { return m_skipped; }

private:
    struct refusal {
        std::string process;
        std::string reason;
        milliseconds time { 0 };
    };

    options m_options;
    std::vector<log_record> m_ofRequest;
    std::vector<log_record> m_general;
    std::vector<refusal> m_refusals;
    std::map<std::string, process_activity> m_processes;
    std::uint64_t m_skipped = 0;
};

} // namespace marigold::diagnose
