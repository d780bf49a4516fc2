#pragma once

#include <base/digest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marigold::relay {

/// The oldest weight versions on which the processes start requests. A process stops to use older weights of
/// a model once enough of its targets have newer ones, and never starts again. As soon as all processes have
/// stopped, the context of older weights is of no use, although some targets have yet to load.
class weights_in_use {
public:
    /// Records that this process starts no more requests of \a model on weights older than \a version.
    void raise(std::string_view model, int version);

    /// Returns the oldest version of \a model on which this process starts requests; 0 if it has not decided.
    int oldest(std::string_view model) const;

    /// Returns the versions of this process by the hash of the model.
    const std::map<std::uint64_t, int>& own() const { return m_own; }

    /// Records what \a process has reported.
    void reported(const std::string& process, const std::map<std::uint64_t, int>& versions);

    /// Returns the oldest version of \a model on which any of \a processes starts requests; 0 if one of them
    /// has not reported.
    template <typename Processes> int oldestOf(const Processes& processes, std::string_view model) const
    {
        int oldest = this->oldest(model);
        for (const auto& process : processes)
            oldest = std::min(oldest, reportOf(process, model));
        return oldest;
    }

    /// Forgets the reports of all processes for which \a isPresent returns false.
    template <typename Predicate> void retain(Predicate isPresent)
    {
        std::erase_if(m_reports, [&](const auto& entry) { return !isPresent(entry.first); });
    }

private:
    int reportOf(std::string_view process, std::string_view model) const;

    std::map<std::uint64_t, int> m_own;
    std::map<std::string, std::map<std::uint64_t, int>, std::less<>> m_reports; ///< By process.
};

} // namespace marigold::relay
