#pragma once

#include <base/base.h>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// How a request relates to an earlier refusal of its caller.
enum class return_kind {
    OnTime, ///< Was refused before and comes back when it was told to.
    None,
    Early, ///< Was refused before and did not wait.
};

/// Tells refused callers when to come back, so that their returns neither coincide nor exceed the capacity
/// that is expected, and recognises them when they do.
class return_schedule {
public:
    struct options {
        double drainShare = 0.5; ///< Share of the capacity that returns may use.
        double spread = 0.25; ///< Share of the time until a return by which it is spread.
        /// Longest time, as a share of what is left of the caller's limit. Callers ignore longer times.
        double remainingShare = 1.0 / 3;
        base::duration shortest = std::chrono::milliseconds(50);
        base::duration earlyTolerance = std::chrono::milliseconds(20);
        base::duration lateTolerance = std::chrono::seconds(2);
        std::size_t capacity = 4096; ///< Refusals that are remembered.
    };

    /// A refusal as told to the peers.
    struct promise {
        std::uint32_t fingerprint = 0;
        base::duration dueAfter { 0 };
    };

    return_schedule(base::random_source& random, options opts);

    /// A refused request that needs capacity.
    struct refused_request {
        std::uint32_t classId = 0;
        double cost = 0; ///< Capacity time in ms.
        double drain = 0; ///< Capacity time started per second, in ms; 0 if unknown.
        base::duration wait { 0 }; ///< Expected wait of a new request.
        base::duration remaining { 0 }; ///< Time left of the caller's limit.
    };

    /// Books the next free time for the return of \a request. Returns the time from now.
    base::duration book(const refused_request& request, base::time_point now);

    /// Returns for how long returns of class \a classId are booked, and thus use their share of the capacity.
    base::duration bookedFor(std::uint32_t classId, base::time_point now) const;

    double drainShare() const { return m_options.drainShare; }

    /// Returns \a usual, spread over half of it and within the share of \a remaining.
    base::duration spread(base::duration usual, base::duration remaining);

    /// Remembers that the caller with \a fingerprint was told to come back after \a dueAfter.
    void promised(std::uint32_t fingerprint, base::duration dueAfter, base::time_point now);

    /// The same for a promise of a peer.
    void promisedByPeer(const promise& item, base::time_point now);

    return_kind recognise(std::uint32_t fingerprint, base::time_point now) const;

    /// Returns up to \a count promises that no peer has been told, the next ones first.
    std::vector<promise> takeUntold(std::size_t count, base::time_point now);

    void removeExpired(base::time_point now);

    std::size_t size() const { return m_due.size(); }

private:
    base::duration limitOf(base::duration remaining) const;

    base::random_source& m_random;
    options m_options;
    std::unordered_map<std::uint32_t, base::time_point> m_nextReturn; ///< By class.
    std::unordered_map<std::uint32_t, base::time_point> m_due; ///< By fingerprint.
    std::deque<std::uint32_t> m_untold;
};

} // namespace marigold::relay
