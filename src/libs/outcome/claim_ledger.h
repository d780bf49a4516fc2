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
/// A process sends a call only with a ticket, and a ticket is issued only after the claim was stored by a
/// compare-and-swap. A verdict describes the requesting call: `not_run` means that this call was not and will
/// not be sent, regardless of an earlier call with the same key.
class claim_ledger {
public:
    /// Number of shards of a service. Stored claims are not found after this number changes.
    static constexpr std::uint32_t defaultShards = 16;

    struct options {
        std::string service = {};
        std::string process = {}; ///< Identity of this process; must differ for each of its incarnations.
        /// Whether the process that wrote a claim is known to be running.
        std::function<bool(std::string_view process)> isAlive = {};
        std::uint32_t shards = defaultShards;
        base::duration bucketLength = std::chrono::seconds(10);
        base::duration batchInterval = std::chrono::milliseconds(80);
        base::duration resultDelay = std::chrono::seconds(1); ///< Maximum delay before a result is written.
        /// Buckets are retained this long after the window; smaller values are raised to 10 min, so that
        /// clock differences and paused processes do not lead to different decisions on whether a key is
        /// still valid.
        base::duration retentionMargin = std::chrono::minutes(15);
        base::duration sweepInterval = std::chrono::minutes(1);
        std::function<bool()> maySweep = {}; ///< For example: this process is the home of shard 0.
        std::size_t cacheBytes = 8UL * 1024 * 1024; ///< Limit for stored values cached in memory.
        claim_limits limits = {};
        call_backoff::options backoff = {};
        base::event_log* log = nullptr;
    };

    claim_ledger(platform::kv_store& store, base::clock& time, base::scheduler& timers,
        base::random_source& random, options opts);
    ~claim_ledger();
    claim_ledger(const claim_ledger&) = delete;
    claim_ledger& operator=(const claim_ledger&) = delete;

    /// Requests permission to send \a call. \a done runs once, on a later iteration of the event loop, with a
    /// ticket, the stored answer of an earlier call, or an error:
    /// `not_run` with `InvalidRequest` (key expired), `KeyReused`, `Unavailable`, `Overloaded`,
    /// `DeadlineExceeded` or `Internal` (stored value corrupt); `may_have_run` with `Conflict` (an earlier
    /// call is running) or `Unavailable` (its result is unknown); `ran` with `Conflict` (its answer was not
    /// stored).
    ///
    /// Each ticket must be closed by `finished`, `resultUnknown` or `notSent`, exactly once.
    void claim(const claim_call& call, claim_callback done);

    /// Reports that the call ran. \a answer is stored if it fits the limits; otherwise only the fact that the
    /// call ran.
    void finished(const claim_ticket& ticket, stored_answer answer);

    /// Reports that the call was sent and that it cannot be determined whether it ran.
    void resultUnknown(const claim_ticket& ticket);

    /// Reports that the call was not and will not be sent. The key can then be claimed again.
    void notSent(const claim_ticket& ticket);

    /// Writes all results immediately and calls \a done when no write is pending.
    void flush(std::function<void()> done);

    /// Whether calls are waiting or results have to be written.
    bool hasPending() const;

    const claim_counts& counts() const { return m_context.counts; }
    std::size_t cachedBytes() const;
    std::size_t ownClaims() const;

    /// Returns the shard of \a key of \a team; every process computes the same shard.
    std::uint32_t shardOf(std::string_view team, const idempotency_key& key) const;

    /// Returns the shard of \a key among \a shards, for a process that has no ledger.
    static std::uint32_t shardOf(std::string_view team, const idempotency_key& key, std::uint32_t shards);

    /// Returns the agent among \a agents that should handle the claims of \a shard. Any other agent may
    /// handle them as well; a common choice only avoids conflicts.
    static std::string_view homeOf(
        std::string_view service, std::uint32_t shard, std::span<const std::string> agents);

    /// Returns the digest by which requests with the same key are compared.
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
