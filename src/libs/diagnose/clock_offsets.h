#pragma once

#include "log_record.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace marigold::diagnose {

/// Estimated clock offsets between processes.
///
/// Some log lines record a change that every process receives at about the same time from the platform's
/// store: a version of the configuration, new weights, an excluded failure domain, an added or removed
/// target. The median time difference of such lines is the clock offset, if it exceeds the possible
/// propagation delay.
class clock_offsets {
public:
    /// \a records are the lines that belong to no request; offsets are relative to the process \a reference.
    clock_offsets(std::span<const log_record> records, std::string_view reference);

    /// Returns the offset to be subtracted from times of \a process.
    milliseconds offsetOf(std::string_view process) const;

    /// Returns the processes whose clocks differ, with their offsets.
    const std::map<std::string, milliseconds, std::less<>>& differing() const { return m_offsets; }

private:
    std::map<std::string, milliseconds, std::less<>> m_offsets;
};

} // namespace marigold::diagnose
