#pragma once

#include "lease.h"

#include <platform/platform.h>

#include <functional>
#include <map>
#include <optional>

namespace marigold::control {

/// What is known of a load that a lapsed predecessor may still have in progress.
enum class predecessor_state {
    Idle, ///< Its target is not loading and will not start under the old permit.
    Loading,
    Gone, ///< Its VM no longer exists.
    Unknown, ///< No answer.
};

/// Permit to load weights from one weight store (design page, 4.6).
///
/// At most as many permits as the store's bound exist at once: one for each slot `loads/STORE/SLOT`. The
/// revision of the write that took the slot is the fencing token. A slot whose value did not change for one
/// lease time has lapsed; it is taken over once the target of its holder is known not to load any more.
class load_permit {
public:
    struct options {
        std::string store; ///< Weight store.
        std::string target; ///< Target that loads.
        lease::options timing = {};
        base::duration pollInterval = std::chrono::milliseconds(250); ///< While all slots are held.
    };

    /// Asks the target of a lapsed holder; the callback runs exactly once.
    using predecessor_check
        = std::function<void(const std::string& target, std::function<void(predecessor_state)> done)>;

    load_permit(platform::kv_store& store, base::scheduler& timers, const base::clock& time,
        base::random_source& random, const base::event_log& log, predecessor_check check, options opts);

    /// Waits for one of \a bound slots; \a done runs once, with the fencing token.
    /// An earlier call that still waits is abandoned, and its callback never runs.
    void acquire(std::uint64_t bound, std::function<void(std::uint64_t token)> done);

    /// Gives the slot back, or stops waiting.
    void release();

    /// Stops holding the slot without freeing it, when it is not known whether the load has ended: the next
    /// holder waits one lease time and asks.
    void abandon();

    bool isHeld() const { return m_token != 0; }

    /// Fencing token; 0 while no slot is held.
    std::uint64_t token() const { return m_token; }

    /// Time for which the permit is surely valid.
    base::duration remaining() const { return m_lease.remaining(); }

private:
    /// A slot as this process has seen it.
    struct seen_slot {
        std::uint64_t revision = 0;
        base::time_point since {}; ///< When this revision was seen first.
        bool checking = false; ///< The holder's target is being asked.
    };

    void poll(std::uint64_t round);
    void pollLater(std::uint64_t round);
    void free(std::uint64_t slot, std::uint64_t revision);
    void examine(std::uint64_t round, const std::vector<platform::kv_entry>& slots);
    bool considerHeld(std::uint64_t round, std::uint64_t slot, const platform::kv_entry& entry);
    void take(std::uint64_t round, std::uint64_t slot, std::uint64_t expectedRevision);
    void taken(std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::uint64_t revision);
    void confirmLost(std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::string nonce);
    void renewed(std::uint64_t round, base::time_point sentAt, std::uint64_t revision);
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

    std::uint64_t m_round = 0; ///< Answers to an older call are ignored.
    std::uint64_t m_bound = 0;
    std::function<void(std::uint64_t)> m_done;
    std::map<std::uint64_t, seen_slot> m_seen;
    std::uint64_t m_slot = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_revision = 0; ///< Of the slot's present value; grows with each renewal.
    std::string m_nonce;
};

} // namespace marigold::control
