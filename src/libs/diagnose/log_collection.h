#pragma once

#include "log_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::diagnose {

/// A period in which a process logged nothing.
struct log_gap {
    milliseconds begin { 0 };
    milliseconds end { 0 };
};

/// A restart of a process.
struct process_restart {
    milliseconds lastLine { 0 }; ///< Of the previous incarnation.
    milliseconds at { 0 };
};

/// Log activity of one process, independent of single requests.
struct process_activity {
    milliseconds first { 0 };
    milliseconds last { 0 };
    std::uint64_t lines = 0;
    std::uint64_t droppedLines = 0; ///< As counted by the process itself.
    std::vector<log_gap> gaps = {};
    std::vector<process_restart> restarts = {};
};

/// Collects from the logs of several processes the data that explains one request: the lines of the request,
/// the lines that belong to no request, and the activity of each process. For other requests, only
/// process, time and reason are stored, so that logs may be larger than the memory.
class log_collection {
public:
    struct options {
        std::string request; ///< Id of the request.
        /// A busy process logs several lines per second; a gap of at least this length means that it was
        /// paused or idle.
        milliseconds minGap { 700 };
    };

    explicit log_collection(options opts);

    /// Adds a line of a log; the lines of one process must be in their original order.
    void add(std::string_view line);

    const std::string& request() const { return m_options.request; }

    /// Lines of the request, with times by the clock of their process.
    const std::vector<log_record>& requestRecords() const { return m_requestRecords; }

    /// Lines that belong to no request.
    const std::vector<log_record>& generalRecords() const { return m_generalRecords; }

    const std::map<std::string, process_activity>& processes() const { return m_processes; }

    /// Number of requests that ended at \a process with \a reason from \a begin to \a end.
    std::uint64_t countEndedWith(
        std::string_view process, std::string_view reason, milliseconds begin, milliseconds end) const;

    /// Number of lines that were not valid structured log lines.
    std::uint64_t skipped() const { return m_skipped; }

private:
    struct refusal {
        std::string process;
        std::string reason;
        milliseconds time { 0 };
    };

    options m_options;
    std::vector<log_record> m_requestRecords;
    std::vector<log_record> m_generalRecords;
    std::vector<refusal> m_refusals;
    std::map<std::string, process_activity> m_processes;
    std::uint64_t m_skipped = 0;
};

} // namespace marigold::diagnose
