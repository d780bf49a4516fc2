#include "claim_shard.h"

#include "events.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::outcome {

claim_shard::claim_shard(claim_context& context, std::uint32_t shard)
    : m_context(context)
    , m_shard(shard)
{
}

claim_shard::~claim_shard()
{
    m_context.timers.cancel(m_timer);
}

std::string claim_shard::valueKey(std::string_view prefix, std::uint64_t bucket, std::uint32_t shard)
{
    // Padded, so that the keys sort by time.
    return fmt::format("{}{:012}/{:02}", prefix, bucket, shard);
}

claim_bucket::environment claim_shard::environment() const
{
    return { .process = m_context.process,
        .isAlive = m_context.isAlive,
        .limits = m_context.limits,
        .complete = [this](claim_callback done, base::result<claim_outcome> outcome) {
            if (outcome && outcome->ticket)
                ++m_context.counts.granted;
            m_context.timers.runAfter(base::duration::zero(),
                [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
        } };
}

void claim_shard::claim(std::uint64_t bucket, const base::digest128& key, own_claim call, bool assumeAbsent)
{
    const auto it = m_buckets.try_emplace(bucket, bucket, m_shard, assumeAbsent).first;
    it->second.add(environment(), key, std::move(call));
    step();
}

bool claim_shard::end(const claim_ticket& ticket, claim_phase phase,
    std::shared_ptr<const stored_answer> answer, base::duration delay)
{
    const auto it = m_buckets.find(ticket.bucket);
    own_claim* claim = it == m_buckets.end() ? nullptr : it->second.findGranted(ticket);
    if (!claim)
        return false;
    claim->phase = phase;
    claim->answer = std::move(answer);
    claim->writeDue = m_context.time.now() + delay;
    step();
    return true;
}

void claim_shard::step()
{
    const auto env = environment();
    for (auto& [number, bucket] : m_buckets)
        bucket.settle(env, m_context.time.now(), m_context.time.wallNow());
    while (!m_callInFlight && startNext()) { }
    if (!m_callInFlight)
        std::erase_if(m_buckets, [](const auto& item) { return item.second.isEmpty(); });
    armTimer();
}

/// Returns whether it should be called again.
bool claim_shard::startNext()
{
    if (!m_context.backoff.allowsCall(m_context.time.now())) {
        refuseAllWaiting();
        return false;
    }
    if (claim_bucket* bucket = nextRead()) {
        startRead(*bucket);
        return false;
    }
    claim_bucket* bucket = nextWrite();
    if (!bucket)
        return false;
    if (bucket->needsReadBeforeWrite()) {
        startRead(*bucket);
        return false;
    }
    return !startWrite(*bucket);
}

claim_bucket* claim_shard::nextRead()
{
    const auto it = std::find_if(
        m_buckets.begin(), m_buckets.end(), [](const auto& item) { return item.second.needsRead(); });
    return it == m_buckets.end() ? nullptr : &it->second;
}

claim_bucket* claim_shard::nextWrite()
{
    const base::time_point now = m_context.time.now();
    if (now < m_earliestWrite)
        return nullptr;
    claim_bucket* best = nullptr;
    std::pair<bool, base::time_point> bestPriority;
    for (auto& [number, bucket] : m_buckets) {
        const auto due = bucket.writeDue();
        if (!due || *due > now)
            continue;
        // Waiting calls take precedence over results, whose storage is not urgent.
        const std::pair priority(!bucket.hasWaiting(), *due);
        if (!best || priority < bestPriority) {
            best = &bucket;
            bestPriority = priority;
        }
    }
    return best;
}

void claim_shard::startRead(claim_bucket& bucket)
{
    m_callInFlight = true;
    ++m_context.counts.reads;
    m_context.store.get(valueKey(m_context.prefix, bucket.bucket(), m_shard),
        [this, number = bucket.bucket(), started = m_context.time.now(),
            alive = std::weak_ptr<bool>(m_context.alive)](
            const base::result<std::optional<platform::kv_entry>>& result) {
            if (!alive.expired())
                readDone(number, started, result);
        });
}

void claim_shard::readDone(std::uint64_t number, base::time_point started,
    const base::result<std::optional<platform::kv_entry>>& result)
{
    m_callInFlight = false;
    const auto it = m_buckets.find(number);
    if (!result) {
        serviceFailed();
    } else {
        serviceAnswered();
        m_context.counts.bytesRead += *result ? (*result)->value.size() : 0;
        if (it != m_buckets.end() && !it->second.observe(*result, started) && m_context.log)
            m_context.log->write(
                events::claimValueCorrupt, { { "key", valueKey(m_context.prefix, number, m_shard) } });
    }
    step();
}

/// Returns whether a write was started.
bool claim_shard::startWrite(claim_bucket& bucket)
{
    const std::uint64_t full = bucket.refusedAsFull();
    auto write = bucket.plan(environment(), valueKey(m_context.prefix, bucket.bucket(), m_shard));
    if (bucket.refusedAsFull() != full && m_context.log)
        m_context.log->write(events::claimBucketFull,
            { { "key", valueKey(m_context.prefix, bucket.bucket(), m_shard) },
                { "refused", fmt::to_string(bucket.refusedAsFull() - full) } });
    if (!write) {
        // Only refused calls remain, and calls whose claim was never stored.
        bucket.settle(environment(), m_context.time.now(), m_context.time.wallNow());
        // If a write is still needed, the cached value, or the assumption that the value does not exist, was
        // wrong.
        if (bucket.writeDue())
            bucket.requireRead();
        return false;
    }
    m_callInFlight = true;
    m_earliestWrite = m_context.time.now() + m_context.batchInterval;
    ++m_context.counts.writes;
    m_context.counts.bytesWritten += write->value.size();
    m_context.store.put(std::move(*write),
        [this, number = bucket.bucket(), started = m_context.time.now(),
            alive = std::weak_ptr<bool>(m_context.alive)](const base::result<std::uint64_t>& result) {
            if (!alive.expired())
                writeDone(number, started, result);
        });
    return true;
}

void claim_shard::writeDone(
    std::uint64_t number, base::time_point started, const base::result<std::uint64_t>& result)
{
    m_callInFlight = false;
    const auto it = m_buckets.find(number);
    if (it == m_buckets.end())
        return step();
    claim_bucket& bucket = it->second;
    if (result) {
        bucket.writeSucceeded(*result, started);
        serviceAnswered();
    } else if (result.error().verdict != base::verdict::NotRun) {
        ++m_context.counts.lostAnswers;
        bucket.writeLost();
    } else if (result.error().reason == base::error_reason::Conflict) {
        ++m_context.counts.conflicts;
        bucket.writeConflicted();
        serviceAnswered();
    } else {
        bucket.writeFailed();
        serviceFailed();
    }
    step();
}

void claim_shard::serviceFailed()
{
    if (!m_context.backoff.isFailing() && m_context.log)
        m_context.log->write(events::claimServiceDown, { { "prefix", m_context.prefix } });
    m_context.backoff.failed(m_context.time.now());
    m_context.serviceFailed();
}

void claim_shard::serviceAnswered()
{
    if (m_context.backoff.isFailing() && m_context.log)
        m_context.log->write(events::claimServiceUp, { { "prefix", m_context.prefix } });
    m_context.backoff.succeeded();
}

void claim_shard::refuseAllWaiting()
{
    const auto wait = m_context.backoff.nextCallAt() - m_context.time.now();
    const base::error reason { .verdict = base::verdict::NotRun,
        .reason = base::error_reason::Unavailable,
        .message = "claims cannot be stored because the key-value service is unavailable",
        .retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait) };
    const auto env = environment();
    for (auto& [number, bucket] : m_buckets)
        bucket.refuseWaiting(env, reason);
}

void claim_shard::armTimer()
{
    m_context.timers.cancel(std::exchange(m_timer, 0));
    std::optional<base::time_point> wake;
    const auto atLatest = [&wake](base::time_point at) { wake = wake ? std::min(*wake, at) : at; };
    for (const auto& [number, bucket] : m_buckets) {
        if (const auto deadline = bucket.firstDeadline())
            atLatest(*deadline);
        if (m_callInFlight)
            continue;
        if (const auto due = bucket.writeDue())
            atLatest(std::max({ *due, m_earliestWrite, m_context.backoff.nextCallAt() }));
        if (bucket.needsRead())
            atLatest(m_context.backoff.nextCallAt());
    }
    if (!wake)
        return;
    const base::time_point now = m_context.time.now();
    const base::duration delay = *wake > now ? *wake - now : base::duration::zero();
    m_timer = m_context.timers.runAfter(delay, [this] {
        m_timer = 0;
        step();
    });
}

void claim_shard::expediteWrites()
{
    for (auto& [number, bucket] : m_buckets)
        bucket.expediteWrites();
    step();
}

bool claim_shard::hasPending() const
{
    return m_callInFlight || std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& item) {
        return item.second.hasWaiting() || item.second.writeDue().has_value();
    });
}

std::size_t claim_shard::ownClaims() const
{
    std::size_t count = 0;
    for (const auto& [number, bucket] : m_buckets)
        count += bucket.ownClaims();
    return count;
}

std::size_t claim_shard::cachedBytes() const
{
    std::size_t bytes = 0;
    for (const auto& [number, bucket] : m_buckets)
        bytes += bucket.cachedBytes();
    return bytes;
}

claim_shard::bucket_map::const_iterator claim_shard::oldestDroppableBucket() const
{
    auto oldest = m_buckets.end();
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it)
        if (it->second.cachedBytes() > 0 && it->second.isCacheOnly()
            && (oldest == m_buckets.end() || it->second.lastUsed() < oldest->second.lastUsed()))
            oldest = it;
    return oldest;
}

std::optional<base::time_point> claim_shard::oldestCacheUse() const
{
    const auto oldest = oldestDroppableBucket();
    return oldest == m_buckets.end() ? std::nullopt : std::optional(oldest->second.lastUsed());
}

void claim_shard::dropOldestCache()
{
    const auto oldest = oldestDroppableBucket();
    if (oldest == m_buckets.end())
        return;
    const auto it = m_buckets.find(oldest->first);
    it->second.dropCache();
    if (it->second.isEmpty() && !m_callInFlight)
        m_buckets.erase(it);
}

void claim_shard::dropBefore(std::uint64_t bucket)
{
    if (m_callInFlight)
        return;
    const auto end = m_buckets.lower_bound(bucket);
    for (auto it = m_buckets.begin(); it != end; ++it)
        it->second.refuseWaiting(environment(),
            { .verdict = base::verdict::NotRun,
                .reason = base::error_reason::InvalidRequest,
                .message = "key_expired: the idempotency key expired before the call was sent",
                .field = "Idempotency-Key" });
    m_buckets.erase(m_buckets.begin(), end);
}

} // namespace marigold::outcome
