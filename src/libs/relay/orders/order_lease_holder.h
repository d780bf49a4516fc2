#pragma once

#include <relay/store/state_decoder.h>
#include <relay/store/store_lease.h>

#include <base/base.h>
#include <control/lease.h>

#include <functional>
#include <optional>
#include <string>

namespace marigold::relay {

/// Competes for the lease on orders. One process at a time sends orders to targets, with a fencing token that
/// increases with each holder, also if the platform's store returns from an older copy.
///
/// A write whose reply is lost may be carried out later. All attempts therefore use the same lease until the
/// store says that it has ended, so that a key with the id of this process hangs on the lease that it renews.
/// In a later era of the store, such a key may hang on the lease of another process, and is removed.
class order_lease_holder {
public:
    struct options {
        std::string process; ///< Unique for each start.
        base::duration timeToLive = std::chrono::milliseconds(1500);
        /// Covers clock drift and the transit time of the last order to its target.
        base::duration margin = std::chrono::milliseconds(400);
        /// Wait after taking the lease if targets do not check tokens, since an order of the previous holder
        /// may still arrive. Zero if they do.
        base::duration takeoverDelay { 0 };
        /// Processes that observe the end of the lease compete after a random part of this time.
        base::duration jitter = std::chrono::milliseconds(250);
        /// Time after a failed attempt in which this process does not compete. It doubles twice, since
        /// all processes of a large fleet may compete in a store that refuses calls beyond its rate.
        base::duration retryDelay = std::chrono::milliseconds(400);
        /// Returns true if this process renews the lease with this number for other keys.
        std::function<bool(std::uint64_t)> renewsLease = {};
    };

    order_lease_holder(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, base::random_source& random, const base::event_log& log, options opts);

    /// Updates the holder of the lease according to the store at \a revision; empty if there is none.
    void leaseObserved(const std::optional<order_lease>& current, std::uint64_t revision);

    /// Removes the key if it is left from an earlier era of the store and only this process can tell. To be
    /// called periodically, since the lease on which it hangs may become known later.
    void removeStrayKey();

    /// Releases the lease because the process stops.
    void release();

    /// Releases the lease after a target has rejected the token, and does not compete for some time.
    void tokenRejected();

    /// Returns true if orders may be sent.
    bool mayOrder() const;

    /// Returns true if this process holds the lease. Unlike `mayOrder`, this does not wait for orders of the
    /// previous holder, and suffices for conditional writes to the platform's store.
    bool isHeld() const { return m_token != 0 && m_storeLease.id() != 0 && m_lease.isValid(); }

    std::uint64_t token() const { return m_token; }

private:
    /// Logs that the store names another holder although this process takes itself as the holder.
    void reportContradiction() const;
    void reportHeld(std::string_view held, std::string_view reason) const;
    void scheduleCompete();
    base::duration retryDelay() const;
    /// Ends an attempt that has failed; the next one is scheduled here, since the store may never change.
    void competeLater();
    void compete();
    void takeLease();
    void renewForWrite();
    void writeKey(base::time_point sentAt);
    void acquired(base::time_point sentAt, std::uint64_t token, std::string_view reason);
    void verifyOwnership(base::time_point sentAt);
    void forgetLease();
    /// Ends what this process holds if the store has begun another era.
    void noteEra();
    std::uint64_t tokenOf(std::uint64_t createdRevision) const;
    /// Returns true if the key in the store is left from a write of an earlier era: it has the id of this
    /// process, which does not hold it, or hangs on another lease of this process.
    bool isKeyStray() const;
    void endLease();
    void scheduleRenewal();
    void renew();
    void dropLease(std::string_view reason);

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    options m_options;
    control::lease m_lease;
    bool m_isVacant = false;
    bool m_competing = false;
    bool m_released = false;
    int m_failures = 0; ///< Failed attempts since a holder was known.
    store_lease m_storeLease; ///< Of all attempts until the store says that it has ended.
    std::optional<order_lease> m_observed; ///< The latest one in the store that was told.
    bool m_isRemoving = false;
    std::uint64_t m_era = 0;
    /// A process that has not heard of the present era may order until then, under a lease of an earlier one.
    base::time_point m_earlierLeasesEnd {};
    /// A write under that lease got no reply, so that the key may be there or come later.
    bool m_isWriteUnanswered = false;
    std::uint64_t m_token = 0;
    base::time_point m_mayOrderFrom {};
    base::time_point m_competeFrom {}; ///< Earliest time of the next attempt to take the lease.
};

} // namespace marigold::relay
