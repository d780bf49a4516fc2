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

/// The right to send one call, once.
struct claim_ticket {
    std::uint64_t bucket = 0;
    std::uint32_t shard = 0;
    base::digest128 key = {};
    std::uint64_t nonce = 0;
};

/// Success of a claim: either the right to send the call, or the answer of an earlier call.
struct claim_outcome {
    std::optional<claim_ticket> ticket = {};
    std::shared_ptr<const stored_answer> answer = {};
};

using claim_callback = std::function<void(base::result<claim_outcome>)>;

/// What this process knows about a claim that it made.
enum class claim_phase {
    Waiting, ///< A call waits for the claim; it is not sent.
    Granted, ///< The caller holds the ticket and may have sent the call.
    Finished, ///< The call ran; the answer is to be written.
    ResultUnknown, ///< The call was sent and its result will never be known; that is to be written.
    Unsent, ///< The call was not sent; the claim may be stored and is to be released.
};

struct own_claim {
    base::digest128 request = {};
    std::uint64_t nonce = 0;
    claim_phase phase = claim_phase::Waiting;
    bool mayBeStored = false; ///< Was part of a compare-and-swap.
    base::wall_time keyCreated {};
    base::time_point arrived {}; ///< When the waiting call came.
    base::time_point deadline {}; ///< When the waiting call is refused.
    base::time_point writeDue {}; ///< Latest start of the write, in the phases that wait for one.
    std::shared_ptr<const stored_answer> answer = {};
    claim_callback done = {};
};

/// Limits that all buckets of a ledger share.
struct claim_limits {
    /// Below the 1 MB limit of the service by a margin for its own framing.
    std::size_t valueBytes = 1'000'000 - 16'384;
    /// Answers are kept while the value is smaller than this, so that they never displace claims.
    std::size_t answerValueBytes = 500'000;
    std::size_t answerBytes = 4096; ///< Content type and body; longer answers are not kept.
    std::size_t waiting = 4096; ///< Unfinished claims of one shard.
    key_window window = {};
    /// A claim is granted up to this long after the window. It must stay below the retention margin by the
    /// clock errors of two processes, so that no claim is granted after another process swept its bucket.
    base::duration grantGrace = std::chrono::minutes(5);
    std::chrono::milliseconds retryAfter { 1000 }; ///< For calls whose key is in use.
};

/// The claims of one bucket and shard: what is stored, as far as it is known, and what this process wants
/// changed. Pure state without input or output; `claim_shard` moves it to and from the service.
class claim_bucket {
public:
    using completion = std::function<void(claim_callback done, base::result<claim_outcome> outcome)>;

    struct environment {
        std::string_view process; ///< Identity of this process, unique for each of its starts.
        const std::function<bool(std::string_view claimer)>& isAlive;
        const claim_limits& limits;
        completion complete; ///< Must not call back into the bucket.
    };

    /// \a assumeAbsent: nothing is stored yet, most likely, so that the first write needs no read.
    claim_bucket(std::uint64_t bucket, std::uint32_t shard, bool assumeAbsent);

    /// Adds a call. Answers it at once when what this process knows suffices.
    void add(const environment& env, const base::digest128& key, own_claim claim);

    /// Returns the own claim that \a ticket stands for, while it is granted; null otherwise.
    own_claim* granted(const claim_ticket& ticket);

    /// Takes what a read that began at \a started returned. False when the value is broken.
    bool observe(const std::optional<platform::kv_entry>& entry, base::time_point started);

    /// Answers what can be answered and forgets what needs no more work.
    void settle(const environment& env, base::time_point now, base::wall_time wallNow);

    /// Refuses every waiting call as \a reason. A call whose key is known to be claimed by another process
    /// gets `may_have_run` instead.
    void refuseWaiting(const environment& env, const base::error& reason);

    /// Builds the next value; empty when there is nothing to write. Calls that do not fit are refused.
    std::optional<platform::kv_write> plan(const environment& env, std::string key);

    /// Calls that `plan` refused because the value was full.
    std::uint64_t refusedAsFull() const { return m_refusedAsFull; }

    /// Ends the write that began at \a started with success.
    void written(std::uint64_t revision, base::time_point started);

    /// Makes the next write wait for a read.
    void requireRead();

    /// Ends the write because another process wrote before.
    void conflicted();

    /// Ends the write without knowing whether it took effect.
    void writeLost();

    /// Ends the write without effect.
    void writeFailed();

    /// Whether a read is needed now.
    bool needsRead() const;

    /// Whether a read must come directly before the next write.
    bool needsReadBeforeWrite() const;

    /// When the next write is due; empty when none is wanted.
    std::optional<base::time_point> writeDue() const;

    /// Deadline of the first waiting call.
    std::optional<base::time_point> firstDeadline() const;

    bool hasWaiting() const;

    /// Makes every wanted write due at once.
    void hurry();

    /// Whether the stored value may be dropped from memory.
    bool isCacheOnly() const;
    void dropCache();

    bool isEmpty() const { return m_own.empty() && !m_known && !m_planned; }
    bool isBroken() const { return m_broken; }
    std::size_t ownClaims() const { return m_own.size(); }
    std::size_t cachedBytes() const { return m_known ? m_known->memoryBytes() : 0; }
    std::uint64_t bucket() const { return m_bucket; }
    base::time_point lastUsed() const { return m_lastUsed; }

private:
    using own_map = std::map<base::digest128, own_claim>;

    const claim_record* stored(const base::digest128& key) const;
    bool isForeignClaim(const own_map::value_type& item) const;
    bool isStoredClaim(const own_map::value_type& item) const;

    /// Whether no earlier write of this process can still take effect and undo what `m_known` shows.
    bool isFenced() const { return !m_lostExpected && !m_planned; }

    void answerFromOwn(const environment& env, own_claim& earlier, own_claim& claim) const;
    bool settleWaiting(const environment& env, own_map::value_type& item, base::time_point now,
        base::wall_time wallNow) const;
    bool settleForeign(const environment& env, own_map::value_type& item) const;
    bool grant(const environment& env, own_map::value_type& item, base::wall_time wallNow) const;
    bool refuse(const environment& env, own_map::value_type& item, base::error reason) const;
    bool isSettled(const own_map::value_type& item) const;
    bool wantsWrite(const own_map::value_type& item) const;
    bool addClaims(const environment& env, claim_value& value);
    bool change(const environment& env, const own_map::value_type& item, claim_value& value) const;

    std::uint64_t m_bucket;
    std::uint32_t m_shard;
    bool m_assumeAbsent;
    bool m_broken = false;
    bool m_readNow = false;
    bool m_readBeforeWrite = false;
    std::optional<claim_value> m_known; ///< What is stored at `m_revision`.
    std::uint64_t m_revision = 0;
    base::time_point m_asOf {}; ///< The stored value was at least as new as this.
    base::time_point m_lastUsed {};
    std::optional<claim_value> m_planned;
    std::uint64_t m_plannedRevision = 0;
    std::optional<std::uint64_t> m_lostExpected; ///< A lost write on this revision may still take effect.
    std::uint64_t m_refusedAsFull = 0;
    own_map m_own;
};

} // namespace marigold::outcome
