#pragma once

#include "claim_value.h"
#include "idempotency_key.h"

#include <base/base.h>
#include <platform/platform.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

/// Permission to send one call, once.
struct claim_ticket {
    std::uint64_t bucket = 0;
    std::uint32_t shard = 0;
    base::digest128 key = {};
    std::uint64_t nonce = 0;
};

/// Result of a successful claim: either the permission to send the call, or the answer of an earlier call.
struct claim_outcome {
    std::optional<claim_ticket> ticket = {};
    std::shared_ptr<const stored_answer> answer = {};
};

using claim_callback = std::function<void(base::result<claim_outcome>)>;

/// State of a claim made by this process.
enum class claim_phase {
    Waiting, ///< A call waits for the claim; it has not been sent.
    Granted, ///< The caller holds the ticket and may have sent the call.
    Finished, ///< The call ran; the answer must be stored.
    ResultUnknown, ///< The call was sent and its result cannot be determined; this must be stored.
    Unsent, ///< The call was not sent; the claim may be stored and must be released.
};

/// A claim made by this process, with the call that waits for it.
struct own_claim {
    base::digest128 request = {};
    std::uint64_t nonce = 0;
    claim_phase phase = claim_phase::Waiting;
    bool mayBeStored = false; ///< Was part of a compare-and-swap, which may have taken effect.
    base::wall_time keyCreated {};
    base::time_point arrived {}; ///< When the waiting call arrived.
    base::time_point deadline {}; ///< When the waiting call is refused.
    base::time_point writeDue {}; ///< Latest start of the write, in the phases that need one.
    std::shared_ptr<const stored_answer> answer = {};
    claim_callback done = {};
};

/// Limits shared by all buckets of a ledger.
struct claim_limits {
    /// Below the 1 MB limit of the key-value service, with a margin for its framing.
    std::size_t valueBytes = 1'000'000 - 16'384;
    /// Answers are stored only while the value is smaller than this, so that they never displace claims.
    std::size_t answerValueBytes = 500'000;
    std::size_t answerBytes = 4096; ///< Content type and body; longer answers are not stored.
    std::size_t waiting = 4096; ///< Maximum number of unfinished claims of one shard.
    key_window window = {};
    /// A claim is granted up to this long after the window. It must be shorter than the retention margin by
    /// the clock errors of two processes, so that no claim is granted after another process deleted its
    /// bucket.
    base::duration grantGrace = std::chrono::minutes(5);
    std::chrono::milliseconds retryAfter { 1000 }; ///< For calls whose key is in use.
};

/// The claims of one bucket and shard: the last known stored value and the changes that this process has to
/// make to it. Performs no input or output; `claim_shard` exchanges the value with the service.
class claim_bucket {
public:
    using completion = std::function<void(claim_callback done, base::result<claim_outcome> outcome)>;

    struct environment {
        std::string_view process; ///< Identity of this process, unique for each of its starts.
        const std::function<bool(std::string_view claimer)>& isAlive;
        const claim_limits& limits;
        completion complete; ///< Must not call back into the bucket.
    };

    /// \a assumeAbsent: the value most likely does not exist yet, so the first write skips the read.
    claim_bucket(std::uint64_t bucket, std::uint32_t shard, bool assumeAbsent);

    /// Adds a call. Completes it immediately if an earlier claim of this process determines its result.
    void add(const environment& env, const base::digest128& key, own_claim claim);

    /// Returns the claim of \a ticket while it is granted; null otherwise.
    own_claim* findGranted(const claim_ticket& ticket);

    /// Processes the result of a read that began at \a started. Returns false if the value is corrupt.
    bool observe(const std::optional<platform::kv_entry>& entry, base::time_point started);

    /// Completes the calls whose result is known and erases the claims that need no further write.
    void settle(const environment& env, base::time_point now, base::wall_time wallNow);

    /// Refuses every waiting call with \a reason, except that a call whose key is known to be claimed by
    /// another process fails with `may_have_run`.
    void refuseWaiting(const environment& env, const base::error& reason);

    /// Builds the next write; empty when there is nothing to write. Calls that do not fit are refused.
    std::optional<platform::kv_write> plan(const environment& env, std::string key);

    /// Number of calls that `plan` refused because the value was full.
    std::uint64_t refusedAsFull() const { return m_refusedAsFull; }

    /// Records that the write that began at \a started succeeded.
    void writeSucceeded(std::uint64_t revision, base::time_point started);

    /// Requires a read before the next write.
    void requireRead();

    /// Records that the write failed because another process had written the value.
    void writeConflicted();

    /// Records that it is unknown whether the write took effect.
    void writeLost();

    /// Records that the write did not take effect.
    void writeFailed();

    /// Whether a read is needed immediately.
    bool needsRead() const;

    /// Whether a read is needed directly before the next write.
    bool needsReadBeforeWrite() const;

    /// When the next write is due; empty when none is needed or the value is corrupt.
    std::optional<base::time_point> writeDue() const;

    /// Earliest deadline of the waiting calls.
    std::optional<base::time_point> firstDeadline() const;

    bool hasWaiting() const;

    /// Makes every needed write due immediately.
    void expediteWrites();

    /// Whether the stored value may be dropped from memory: all claims are granted, no write is in flight or
    /// has an unknown result, and no read is needed.
    bool isCacheOnly() const;
    void dropCache();

    bool isEmpty() const { return m_ownClaims.empty() && !m_storedValue && !m_planned; }
    bool isCorrupt() const { return m_corrupt; }
    std::size_t ownClaims() const { return m_ownClaims.size(); }
    std::size_t cachedBytes() const { return m_storedValue ? m_storedValue->memoryBytes() : 0; }
    std::uint64_t bucket() const { return m_bucket; }
    base::time_point lastUsed() const { return m_lastUsed; }

private:
    using own_claim_map = std::map<base::digest128, own_claim>;

    const claim_record* storedRecord(const base::digest128& key) const;
    bool isForeignClaim(const own_claim_map::value_type& item) const;
    bool isStoredClaim(const own_claim_map::value_type& item) const;

    /// Whether every write of this process has ended with a known result or can no longer take effect. Any
    /// other write could still invalidate `m_storedValue`.
    bool hasNoOutstandingWrite() const { return !m_lostWriteRevision && !m_planned; }

    void completeFromOwnClaim(const environment& env, own_claim& earlier, own_claim& claim) const;
    bool settleWaiting(const environment& env, own_claim_map::value_type& item, base::time_point now,
        base::wall_time wallNow) const;
    bool settleForeign(const environment& env, own_claim_map::value_type& item) const;
    bool grant(const environment& env, own_claim_map::value_type& item, base::wall_time wallNow) const;
    bool refuse(const environment& env, own_claim_map::value_type& item, base::error reason) const;
    bool isSettled(const own_claim_map::value_type& item) const;
    bool wantsWrite(const own_claim_map::value_type& item) const;
    bool addClaims(const environment& env, claim_value& value);
    bool applyChange(const environment& env, const own_claim_map::value_type& item, claim_value& value) const;

    std::uint64_t m_bucket;
    std::uint32_t m_shard;
    bool m_assumeAbsent;
    bool m_corrupt = false;
    bool m_readNeeded = false;
    bool m_readBeforeWrite = false;
    std::optional<claim_value> m_storedValue; ///< Stored value at `m_revision`.
    std::uint64_t m_revision = 0;
    /// The stored value is at least as new as this: start of the call that read or wrote it.
    base::time_point m_storedAsOf {};
    base::time_point m_lastUsed {};
    std::optional<claim_value> m_planned;
    std::uint64_t m_plannedRevision = 0;
    /// Expected revision of a write with unknown result; the write may still take effect while the value has
    /// this revision.
    std::optional<std::uint64_t> m_lostWriteRevision;
    std::uint64_t m_refusedAsFull = 0;
    own_claim_map m_ownClaims;
};

} // namespace marigold::outcome
