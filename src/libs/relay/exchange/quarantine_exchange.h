#pragma once

#include "quarantine_record.h"
#include <relay/store/state_decoder.h>
#include <relay/store/store_lease.h>

#include <base/base.h>
#include <net/http_types.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Shares what the processes know of parts that end targets.
///
/// Each record goes to all other processes as a datagram, repeated against losses, and into the platform's
/// store, from which processes learn it that start later or that do not reach the others. While the store is
/// away, records wait here for its return.
class quarantine_exchange {
public:
    struct options {
        std::string process;
        /// Delays of the datagrams of one record after its first one.
        std::vector<base::duration> repeats { std::chrono::milliseconds(60), std::chrono::milliseconds(300) };
        /// Longest random delay of a report that a part was answered, for each `peersPerSoundDelay`
        /// processes: many may know it, and the first one speaks for all.
        base::duration maxSoundDelay = std::chrono::milliseconds(20);
        std::size_t peersPerSoundDelay = 40;
        /// Random delay after which a block that others found is written to the store, if its finder has not.
        base::duration minBlockDelay = std::chrono::seconds(1);
        base::duration maxBlockDelay = std::chrono::seconds(10);
        /// Time for which records stay in the store, and the age from which the lease is replaced.
        /// Each block goes to some random processes in each interval: one that has missed it learns it, and
        /// one that knows it to be refuted says so.
        base::duration gossipInterval = std::chrono::seconds(1);
        int gossipFanout = 3;
        std::size_t maxGossipBlocks = 8;
        /// Time after which a claim of a trial that the store has not answered is given up.
        base::duration claimTimeout = std::chrono::milliseconds(500);
        base::duration recordTime = std::chrono::minutes(10);
        base::duration leaseRenewal = std::chrono::minutes(1);
        base::duration writeInterval = std::chrono::milliseconds(100);
        base::duration retryDelay = std::chrono::milliseconds(300);
        /// After a new era of the store, claims of trials that it has lost are told again in this time, and
        /// no process claims one.
        base::duration claimPause = std::chrono::seconds(3);
        /// Time in which an operator writes again what the store has lost.
        base::duration operatorTime = std::chrono::seconds(5);
        std::size_t maxPending = 256;
        /// Names of parts in all records that wait for the store, and in one entry of it.
        std::size_t maxPendingParts = 16'384;
        std::size_t maxEntryParts = 4096;
        std::size_t maxKnownRecords = 1024;
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    quarantine_exchange(part_quarantine& parts, platform::kv_store& store, const state_decoder& decoder,
        base::scheduler& timers, const base::clock& time, base::random_source& random, sender send,
        options opts);

    void start() { gossip(); }

    /// Writes again what the store may have lost, because it has begun another era and that of \a before has
    /// ended.
    void eraRaised(std::uint64_t before);

    /// Returns the number of the lease on which the records hang; 0 if there is none.
    std::uint64_t lease() const { return m_lease.id(); }

    /// Sets the addresses of all processes by id; this one is ignored.
    void setPeers(std::map<std::string, net::endpoint> peers);

    /// Adds evidence that this process has seen.
    void targetEnded(const target_end& end);

    /// Handle the reports of the quarantine.
    void partBlocked(const blocked_part& block);
    void partSound(const sound_part& report);

    /// Claims the trial \a number with \a part; \a done tells whether this process may send a request.
    void claimTrial(std::string_view part, int number, std::function<void(bool)> done);

    /// Handles a datagram of another process.
    void received(std::string_view bytes);

    /// Handles an entry of the store.
    void stored(const quarantine_entry& entry);

    /// Handles all entries of a snapshot of the store, in any order.
    void snapshotRead(std::vector<quarantine_entry> entries);

    /// Handles the removal of an operator's entry.
    void withdrawn(std::string_view key);

private:
    struct pending_sound {
        sound_part report;
        base::timer_id timer = 0;
    };

    void gossip();
    void withLease(std::function<void(base::result<std::uint64_t>)> done);
    void publish(quarantine_record record);
    /// Writes \a block to the store after a random time, unless another process has.
    void publishLater(const blocked_part& block);
    void sendToAll(const std::string& datagram);
    std::size_t pendingParts() const;
    /// Returns how many of the records that wait go into the next entry of the store, one at the least.
    std::size_t nextEntrySize() const;
    void apply(const quarantine_batch& batch);
    void apply(const quarantine_record& record);
    bool isNew(std::string_view process, std::uint64_t sequence);
    void scheduleWrite(base::duration delay);
    void write();
    void writeRecords();
    void writeFailed(const base::error& failure);
    void rememberTrial(const trial_start& trial);
    /// Takes back an own report that says no more than \a heard.
    void cancelSound(const sound_part& heard);
    base::duration randomDelay(base::duration shortest, base::duration longest);

    part_quarantine& m_parts;
    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    sender m_send;
    options m_options;
    std::map<std::string, net::endpoint, std::less<>> m_peers;
    std::uint64_t m_sequence = 0;
    std::size_t m_nextGossip = 0; ///< Of the blocks.
    std::vector<numbered_record> m_unwritten;
    bool m_writeScheduled = false;
    store_lease m_lease;
    base::time_point m_leaseGrantedAt {};
    /// In the store's states of all eras; an older entry must not undo what came after it.
    std::uint64_t m_appliedPosition = 0;
    std::uint64_t m_era = 0; ///< Of the latest snapshot.
    std::map<std::string, int> m_ownTrials; ///< The latest one that this process has claimed, by part.
    std::set<std::pair<std::string, std::uint64_t>> m_knownRecords; ///< By process and sequence.
    std::map<std::string, pending_sound, std::less<>> m_pendingSounds;
    std::map<std::string, base::timer_id, std::less<>> m_unwrittenBlocks; ///< Found here or elsewhere.
    std::map<std::string, std::string, std::less<>> m_operatorBlocks; ///< Parts by key of the entry.
    std::set<std::string, std::less<>> m_lostOperatorBlocks; ///< Keys that the store has lost.
    bool m_isOwnEvidence = false; ///< Evidence of this process is being added.
};

} // namespace marigold::relay
