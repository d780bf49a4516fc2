#pragma once

#include "state_decoder.h"

#include <base/base.h>

#include <string>

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
/// lease until the store says that it has ended, and none replaces a key that exists: the key then stays for
/// as long as the lease that this process renews.
class presence {
public:
    struct options {
        std::string process;
        net::endpoint address = {}; ///< For datagrams of the other processes.
        base::duration timeToLive = std::chrono::seconds(6);
        base::duration retryDelay = std::chrono::milliseconds(700);
        /// Time after which the other processes know of a new registration.
        base::duration changeLimit = std::chrono::seconds(2);
    };

    presence(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, options opts);

    void start() { announce(); }

    /// Returns true if the store had the registration of this process no longer than \a maxAge ago, and the
    /// other processes have had the time to read it. The age counts from the call, not from its reply, so
    /// that a pause of this process cannot make it look younger.
    bool isKnownToOthers(base::duration maxAge) const;

    /// Removes the key when the process stops.
    void withdraw();

private:
    /// Registers this process, under the latest lease if there is one.
    void announce();
    void takeLease();
    void renewLease();
    void writeKey();
    void forgetLease();
    void scheduleAnnounce();
    base::duration renewalInterval() const;
    void scheduleRenewal(base::duration delay);

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    options m_options;
    base::time_point m_registeredSince {};
    base::time_point m_registeredAsOf {}; ///< Latest time at which the store had the key; zero if it has not.
    std::uint64_t m_lease = 0; ///< The latest one, unless the store has said that it has ended.
    bool m_withdrawn = false;
};

} // namespace marigold::relay
