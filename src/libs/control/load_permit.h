#pragma once

#include "lease.h"

#include <platform/platform.h>

#include <functional>
#include <map>
#include <optional>

namespace marigold::control {

/// State of a load that the holder of an expired slot may still have in progress.
enum class predecessor_state {
    Idle, ///< The target is not loading and will not start a load with the old permit.
    Loading,
    VmRemoved, ///< The VM of the target no longer exists.
    Unknown, ///< The target did not reply.
};

/// Permit to load weights from one weight store (design page, 4.6).
///
/// The number of concurrent permits is limited to the store's bound: there is one for each slot
/// `loads/STORE/SLOT`. The revision of the write that acquired the slot is the fencing token. A slot whose
/// value has not changed for one lease time has expired; it is taken over once the target of its holder is
/// known not to be loading any more.
class load_permit {
public:
    struct options {
        std::string store; ///< Name of the weight store.
        std::string target; ///< Target that loads weights.
        lease::options timing = {};
        base::duration pollInterval = std::chrono::milliseconds(250); ///< While all slots are held.
    };

    /// Queries the target of the holder of an expired slot; the callback runs exactly once.
    using predecessor_check
        = std::function<void(const std::string& target, std::function<void(predecessor_state)> done)>;

    load_permit(platform::kv_store& store, base::scheduler& timers, const base::clock& time,
        base::random_source& random, const base::event_log& log, predecessor_check check, options opts);

    /// Waits for one of \a bound slots; \a done runs once, with the fencing token.
    /// Abandons an earlier call that is still waiting; its callback never runs.
    void acquire(std::uint64_t bound, std::function<void(std::uint64_t token)> done);

    /// Releases the slot, or stops waiting for one.
    void release();

    /// Abandons the permit without freeing the slot, for a load that may still be running: the next holder
    /// waits one lease time and queries the target.
    void abandon();

    bool isHeld() const { return m_token != 0; }

    /// Fencing token; 0 while no slot is held.
    std::uint64_t token() const { return m_token; }

    /// Time for which the permit is guaranteed to be valid.
    base::duration remaining() const { return m_lease.remaining(); }

private:
    /// A slot as last observed by this process.
    struct observed_slot {
        std::uint64_t revision = 0;
        base::time_point since {}; ///< When this revision was first observed.
        bool checking = false; ///< A query to the holder's target is in flight.
    };

    void poll(std::uint64_t round);
    void pollLater(std::uint64_t round);
    void freeSlot(std::uint64_t slot, std::uint64_t revision);
    void examine(std::uint64_t round, const std::vector<platform::kv_entry>& slots);
    bool checkHeldSlot(std::uint64_t round, std::uint64_t slot, const platform::kv_entry& entry);
    void takeSlot(std::uint64_t round, std::uint64_t slot, std::uint64_t expectedRevision);
    void slotTaken(std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::uint64_t revision);
    void resolveLostWrite(
        std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::string nonce);
    void slotRenewed(std::uint64_t round, base::time_point sentAt, std::uint64_t revision);
    void confirmRenewal(std::uint64_t round, base::time_point sentAt);
    void renewLater(std::uint64_t round);
    void renew(std::uint64_t round);
    std::string keyOf(std::uint64_t slot) const;
    std::string valueOf(bool held, const std::string& nonce) const;

    platform::kv_store& m_store;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    predecessor_check m_check;
    options m_options;
    lease m_lease;

    std::uint64_t m_round = 0; ///< Replies to an earlier call are ignored.
    std::uint64_t m_bound = 0;
    std::function<void(std::uint64_t)> m_done;
    std::map<std::uint64_t, observed_slot> m_observedSlots;
    std::uint64_t m_slot = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_revision = 0; ///< Revision of the slot's current value; increases with each renewal.
    std::string m_nonce;
};

} // namespace marigold::control
