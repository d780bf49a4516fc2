#pragma once

#include "log_record.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace marigold::diagnose {

/// How far the clocks of the processes are apart.
///
/// Some lines tell of a change that every process learns at about the same time from the platform's store: a
/// version of the configuration, new weights, a failure domain that is excluded, a target that came or left.
/// The median difference of the times of such lines is the difference of the clocks, as far as it exceeds
/// what the way of the change may take.
class clock_offsets {
public:
    /// \a records hold the lines that tell of no request; offsets are relative to \a reference.
    clock_offsets(std::span<const log_record> records, std::string_view reference);

    /// Returns what must be subtracted from times of \a process.
    milliseconds of(std::string_view process) const;

    /// Returns the processes whose clocks differ.
    const std::map<std::string, milliseconds, std::less<>>& differing() const { return m_offsets; }

private:
    std::map<std::string, milliseconds, std::less<>> m_offsets;
};

} // namespace marigold::diagnose
