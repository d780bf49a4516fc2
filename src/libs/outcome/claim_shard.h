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

/// Calls to the key-value service and their results, for capacity planning.
struct claim_counts {
    std::uint64_t calls = 0; ///< Claims asked for.
    std::uint64_t granted = 0; ///< Rights to send that were handed out.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< Compare-and-swaps and deletions.
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
};

/// What the shards of one ledger share. The ledger owns it.
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
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with the ledger.
};

/// Batches the claims of one shard: at most one call to the service at a time, and a minimum time between
/// the starts of two compare-and-swaps.
class claim_shard {
public:
    claim_shard(claim_context& context, std::uint32_t shard);
    ~claim_shard();
    claim_shard(const claim_shard&) = delete;
    claim_shard& operator=(const claim_shard&) = delete;

    /// Adds a call; its callback runs on a later turn of the loop. \a assumeAbsent: see `claim_bucket`.
    void claim(std::uint64_t bucket, const base::digest128& key, own_claim call, bool assumeAbsent);

    /// Moves a granted claim to \a phase, to be written after at most \a delay. False for a ticket that is
    /// not granted.
    bool end(const claim_ticket& ticket, claim_phase phase, std::shared_ptr<const stored_answer> answer,
        base::duration delay);

    /// Does what is due.
    void step();

    /// Makes every wanted write due at once.
    void hurry();

    /// Whether a call waits or a write is wanted that can be made.
    bool hasPending() const;

    std::size_t ownClaims() const;
    std::size_t cachedBytes() const;

    /// Time of the last use of the stored value that was not used for longest; empty if none can be dropped.
    std::optional<base::time_point> oldestCache() const;
    void dropOldestCache();

    /// Forgets the buckets below \a bucket, all of whose keys have expired.
    void forgetBefore(std::uint64_t bucket);

    /// Key of a stored value.
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
    bucket_map::const_iterator oldestCacheOnly() const;

    claim_context& m_context;
    std::uint32_t m_shard;
    bucket_map m_buckets;
    bool m_busy = false;
    base::time_point m_nextWrite = base::time_point::min();
    base::timer_id m_timer = 0;
};

} // namespace marigold::outcome
