#pragma once

#include "claim_bucket.h"
#include "claim_shard.h"
#include "claim_sweeper.h"
#include "idempotency_key.h"

#include <base/base.h>
#include <platform/platform.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

/// A call that must not run twice.
struct claim_call {
    std::string_view team = {};
    idempotency_key key = {};
    base::digest128 request = {}; ///< From `requestDigest`.
    base::duration remaining = std::chrono::seconds(10); ///< Until the deadline of the call.
};

/// At-most-once execution of the calls of one service (section 4.3 of the design page, invariant I8).
///
/// A process sends a call only with a ticket, and a ticket is given only after the claim was stored by a
/// compare-and-swap. Verdicts are those of the call that asks: `not_run` says that this call was not and
/// will not be sent, whatever an earlier call with the same key did.
class claim_ledger {
public:
    /// Number of shards of a service; changing it orphans the stored claims.
    static constexpr std::uint32_t defaultShards = 16;

    struct options {
        std::string service = {};
        std::string process = {}; ///< Identity of this process; must differ between two starts of it.
        /// Whether the process that wrote a claim is known to be alive.
        std::function<bool(std::string_view process)> isAlive = {};
        std::uint32_t shards = defaultShards;
        base::duration bucketLength = std::chrono::seconds(10);
        base::duration batchInterval = std::chrono::milliseconds(80);
        base::duration resultDelay = std::chrono::seconds(1); ///< Results are written after at most this.
        /// Buckets outlive the window by this; raised to 10 min if it is less, because two clocks and a
        /// paused process must not disagree about whether a key is still valid.
        base::duration retentionMargin = std::chrono::minutes(15);
        base::duration sweepInterval = std::chrono::minutes(1);
        std::function<bool()> maySweep = {}; ///< For example: this process is the home of shard 0.
        std::size_t cacheBytes = 8UL * 1024 * 1024; ///< Stored values kept in memory.
        claim_limits limits = {};
        call_backoff::options backoff = {};
        base::event_log* log = nullptr;
    };

    claim_ledger(platform::kv_store& store, base::clock& time, base::scheduler& timers,
        base::random_source& random, options opts);
    ~claim_ledger();
    claim_ledger(const claim_ledger&) = delete;
    claim_ledger& operator=(const claim_ledger&) = delete;

    /// Asks for the right to send \a call. \a done runs once, on a later turn of the loop, with a ticket, the
    /// stored answer of an earlier call, or an error:
    /// `not_run` with `InvalidRequest` (key expired), `KeyReused`, `Unavailable`, `Overloaded`,
    /// `DeadlineExceeded` or `Internal` (stored value broken); `may_have_run` with `Conflict` (an earlier
    /// call is running) or `Unavailable` (its result is unknown); `ran` with `Conflict` (its answer was not
    /// kept).
    ///
    /// Each ticket must be ended by `finished`, `resultUnknown` or `notSent`, exactly once.
    void claim(const claim_call& call, claim_callback done);

    /// The call ran and was answered.
    void finished(const claim_ticket& ticket, stored_answer answer);

    /// The call was sent, and whether it ran will not be known.
    void resultUnknown(const claim_ticket& ticket);

    /// It is proved that the call was not and will not be sent. The key becomes free again.
    void notSent(const claim_ticket& ticket);

    /// Writes all results now and calls \a done when nothing is left to be written.
    void flush(std::function<void()> done);

    /// Whether calls wait or results are to be written.
    bool hasPending() const;

    const claim_counts& counts() const { return m_context.counts; }
    std::size_t cachedBytes() const;
    std::size_t ownClaims() const;

    /// Shard of a key of \a team, the same in every process.
    std::uint32_t shardOf(std::string_view team, const idempotency_key& key) const;

    /// Shard of a key among \a shards, for a process that has no ledger.
    static std::uint32_t shardOf(std::string_view team, const idempotency_key& key, std::uint32_t shards);

    /// Returns the agent among \a agents that should be asked for claims of \a shard. Another one may be
    /// asked at any time: the choice only avoids conflicts.
    static std::string_view homeOf(
        std::string_view service, std::uint32_t shard, std::span<const std::string> agents);

    /// Digest that tells whether two requests under one key are the same.
    static base::digest128 requestDigest(
        std::string_view method, std::string_view path, std::string_view body);

private:
    void end(const claim_ticket& ticket, claim_phase phase, std::shared_ptr<const stored_answer> answer,
        base::duration delay);
    void refuse(claim_callback done, base::error reason);
    bool isCurrent(std::uint64_t bucket) const;
    void trimCache();
    void pollFlush();

    options m_options;
    base::random_source& m_random;
    claim_context m_context;
    std::vector<std::unique_ptr<claim_shard>> m_shards;
    std::unique_ptr<claim_sweeper> m_sweeper;
    std::vector<std::function<void()>> m_flushWaiters;
    base::timer_id m_flushTimer = 0;
};

} // namespace marigold::outcome
