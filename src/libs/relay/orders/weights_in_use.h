#pragma once

#include <base/base.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// The oldest weight versions on which the processes start requests. A process stops to use older weights of
/// a model once enough of its targets have newer ones, and never starts again. As soon as all processes have
/// stopped, the context of older weights is of no use, although some targets have yet to load.
class weights_in_use {
public:
    /// Time for which a process still counts after it is no longer among the known ones: it may run and be
    /// cut off.
    static constexpr base::duration lapseGrace = std::chrono::milliseconds(1000);

    explicit weights_in_use(const base::clock& time)
        : m_clock(time)
    {
    }

    /// Sets the ids of the other processes.
    void setProcesses(std::vector<std::string> processes);

    /// Records that this process starts no more requests of \a model on weights older than \a version.
    void raise(std::string_view model, int version);

    /// Returns the oldest version of \a model on which this process starts requests; 0 if it has not decided.
    int oldest(std::string_view model) const;

    /// Returns the versions of this process by the hash of the model.
    const std::map<std::uint64_t, int>& own() const { return m_own; }

    /// Records what \a process has reported.
    void reported(const std::string& process, const std::map<std::uint64_t, int>& versions);

    /// Returns the oldest version of \a model on which any process starts requests; 0 if one of them has not
    /// reported.
    int oldestOfAll(std::string_view model) const;

private:
    int reportOf(std::string_view process, std::string_view model) const;

    const base::clock& m_clock;
    std::vector<std::string> m_processes;
    std::map<std::string, base::time_point, std::less<>> m_lapsed; ///< Time of the removal, by process.
    std::map<std::uint64_t, int> m_own;
    std::map<std::string, std::map<std::uint64_t, int>, std::less<>> m_reports; ///< By process.
};

} // namespace marigold::relay
