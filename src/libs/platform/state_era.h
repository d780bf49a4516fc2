#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace marigold::platform {

/// Follows the eras that the replies of a service state.
///
/// A service that has lost changes which it had confirmed, since it was restored from a copy, begins a higher
/// era. Revisions and numbers of leases then go back and are given out again: those of an earlier era say
/// nothing about the present state.
class state_era {
public:
    using observer = std::function<void(std::uint64_t before, std::uint64_t now)>;

    /// Returns the highest era that a reply has stated; 0 if none has.
    std::uint64_t current() const { return m_current.value_or(0); }

    /// Returns the era of a call that is sent now; none before the first reply.
    std::optional<std::uint64_t> sent() const { return m_current; }

    /// Sets the function that is called when a reply states a higher era, before that reply is delivered.
    void setObserver(observer raised) { m_raised = std::move(raised); }

    /// Records a reply that states \a era, or none if it is 0, to a call that was \a sentIn an era. Returns
    /// false if the reply does not speak of the present state: it comes from an earlier era, or its call
    /// named revisions and leases of one.
    bool replyReceived(std::optional<std::uint64_t> sentIn, std::uint64_t era)
    {
        const std::uint64_t before = current();
        m_current = std::max(before, era);
        if (era > before && m_raised)
            m_raised(before, era);
        return era == m_current && sentIn.value_or(era) == era;
    }

private:
    std::optional<std::uint64_t> m_current; ///< None before the first reply.
    observer m_raised;
};

/// Bits of a position below its era.
inline constexpr int revisionBits = 40;

/// Highest era whose positions stay below 2^53: readers of JSON may lose digits of larger integers.
inline constexpr std::uint64_t maxEra = 8191;

/// Returns a number that orders the states of a service over all its eras. A service that states no era has
/// its revisions as positions.
///
/// An era has room for 2^40 revisions; eras are at most `maxEra`.
inline std::uint64_t positionOf(std::uint64_t era, std::uint64_t revision)
{
    return (era << revisionBits) + revision;
}

/// Returns the era of \a position.
inline std::uint64_t eraOf(std::uint64_t position)
{
    return position >> revisionBits;
}

} // namespace marigold::platform
