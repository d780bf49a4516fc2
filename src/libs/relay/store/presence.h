#pragma once

#include "state_decoder.h"
#include "store_lease.h"

#include <base/base.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace marigold::relay {

/// Time for which a process still counts as a sender after its registration has ended. A running process
/// registers again within it after an outage of the store.
inline constexpr base::duration missingProcessGrace = std::chrono::milliseconds(2500);

/// Time for which a process starts requests that fetch context after the others last knew of it.
inline constexpr base::duration maxRegistrationAge = std::chrono::milliseconds(3500);

/// Keeps a key of this process in the platform's store while the process runs, so that all processes know how
/// many of them share the limits on targets.
///
/// A write whose reply is lost may be carried out later. All attempts to write the key therefore use the same
/// lease until the store says that it has ended, and none replaces a key that hangs on it: the key then stays
/// for as long as the lease that this process renews. A key on another lease is left from an earlier era of
/// the store, and is replaced.
class presence {
public:
    struct options {
        std::string process;
        net::endpoint address = {}; ///< For datagrams of the other processes.
        base::duration timeToLive = std::chrono::seconds(6);
        base::duration retryDelay = std::chrono::milliseconds(700);
        /// After a new era of the store, processes register one after another in the order of their ids, as
        /// far apart as this: each one writes twice, and the store takes 400 writes a second from all.
        base::duration spacing = std::chrono::microseconds(5500);
        /// Time after which the other processes know of a new registration.
        base::duration changeLimit = std::chrono::seconds(2);
    };

    presence(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, base::random_source& random, options opts);

    void start() { announce(); }

    /// Sets the ids of the registered processes.
    void setProcesses(std::span<const std::string_view> processes);

    /// Registers again because the store has begun another era, and that of \a before has ended.
    void eraRaised(std::uint64_t before);

    /// Registers again if the state of the store at \a revision, which has no registration of this process,
    /// is not older than the registration.
    void missingObserved(std::uint64_t revision);

    /// Returns true if the store had the registration of this process no longer than \a maxAge ago, and the
    /// other processes have had the time to read it. The age counts from the call, not from its reply, so
    /// that a pause of this process cannot make it look younger.
    bool isKnownToOthers(base::duration maxAge) const;

    /// Returns the number of the lease on which the registration hangs; 0 if there is none.
    std::uint64_t lease() const { return m_lease.id(); }

    /// Removes the key when the process stops.
    void withdraw();

private:
    using step = void (presence::*)();

    /// Registers this process, under the latest lease if there is one.
    void announce();
    void announceLater() { schedule(m_options.retryDelay, &presence::announce); }
    void takeLease();
    void renewForWrite();
    /// Writes the key, or finds out first on which lease it hangs if it may exist.
    void placeKey();
    void writeKey(std::uint64_t expectedRevision);
    void registered(base::time_point sentAt, std::uint64_t revision);
    void renew();
    void registerAnew();
    void forgetLease();
    /// Goes on with \a next after \a delay. Replies to earlier calls are ignored from now on.
    void schedule(base::duration delay, step next);
    base::duration renewalInterval() const;

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    options m_options;
    base::time_point m_registeredSince {};
    base::time_point m_registeredAsOf {}; ///< Latest time at which the store had the key; zero if it has not.
    std::uint64_t m_registeredRevision = 0; ///< Of the key.
    store_lease m_lease; ///< The latest one, unless the store has said that it has ended.
    bool m_mayExist = false; ///< The key, from an earlier attempt or an earlier era of the store.
    std::uint64_t m_round = 0; ///< Number of the latest call of `schedule`.
    std::uint64_t m_turn = 0; ///< Number of processes that register again before this one.
    bool m_withdrawn = false;
};

} // namespace marigold::relay
