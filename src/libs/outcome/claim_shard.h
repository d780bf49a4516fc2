#pragma once

#include "call_backoff.h"
#include "claim_bucket.h"

#include <base/base.h>
#include <platform/platform.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace marigold::outcome {

/// Counters of claims and of calls to the key-value service, for capacity planning.
struct claim_counts {
    std::uint64_t calls = 0; ///< Requested claims.
    std::uint64_t granted = 0; ///< Issued tickets.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< Compare-and-swaps and deletions.
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0; ///< Writes with unknown result.
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
};

/// State shared by the shards of a ledger and owned by the ledger.
struct claim_context {
    platform::kv_store& store;
    base::clock& time;
    base::scheduler& timers;
    base::event_log* log = nullptr;
    std::string prefix = {}; ///< "claims/SERVICE/".
    std::string process = {};
    std::function<bool(std::string_view claimer)> isAlive = {};
    claim_limits limits = {};
    base::duration batchInterval {};
    call_backoff backoff;
    claim_counts counts = {};
    std::function<void()> serviceFailed = {}; ///< Called after the back-off has started.
    /// Guards callbacks that run after the ledger is destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Batches the claims of one shard: at most one call to the service at a time, and a minimum time between
/// the starts of two compare-and-swaps.
class claim_shard {
public:
    claim_shard(claim_context& context, std::uint32_t shard);
    ~claim_shard();
    claim_shard(const claim_shard&) = delete;
    claim_shard& operator=(const claim_shard&) = delete;

    /// Adds a call; its callback runs on a later iteration of the event loop. \a assumeAbsent: see
    /// `claim_bucket`.
    void claim(std::uint64_t bucket, const base::digest128& key, own_claim call, bool assumeAbsent);

    /// Moves a granted claim to \a phase, which is written after at most \a delay. Returns false if \a ticket
    /// is not granted.
    bool end(const claim_ticket& ticket, claim_phase phase, std::shared_ptr<const stored_answer> answer,
        base::duration delay);

    /// Completes calls, starts the next call to the service if one is due, and sets the timer.
    void step();

    /// Makes every needed write due immediately.
    void expediteWrites();

    /// Whether a call is in flight or waiting, or a write is needed and possible (not for a corrupt value).
    bool hasPending() const;

    std::size_t ownClaims() const;
    std::size_t cachedBytes() const;

    /// Returns the last use of the least recently used value that can be dropped; empty if there is none.
    std::optional<base::time_point> oldestCacheUse() const;
    void dropOldestCache();

    /// Drops the buckets below \a bucket, all of whose keys have expired.
    void dropBefore(std::uint64_t bucket);

    /// Returns the key of a stored value.
    static std::string valueKey(std::string_view prefix, std::uint64_t bucket, std::uint32_t shard);

private:
    using bucket_map = std::map<std::uint64_t, claim_bucket>;

    claim_bucket::environment environment() const;
    bool startNext();
    claim_bucket* nextRead();
    claim_bucket* nextWrite();
    void startRead(claim_bucket& bucket);
    bool startWrite(claim_bucket& bucket);
    void readDone(std::uint64_t bucket, base::time_point started,
        const base::result<std::optional<platform::kv_entry>>& result);
    void writeDone(std::uint64_t bucket, base::time_point started, const base::result<std::uint64_t>& result);
    void serviceFailed();
    void serviceAnswered();
    void refuseAllWaiting();
    void armTimer();
    bucket_map::const_iterator oldestDroppableBucket() const;

    claim_context& m_context;
    std::uint32_t m_shard;
    bucket_map m_buckets;
    bool m_callInFlight = false;
    base::time_point m_earliestWrite = base::time_point::min();
    base::timer_id m_timer = 0;
};

} // namespace marigold::outcome
