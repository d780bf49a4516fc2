#include "claim_ledger.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::outcome {

namespace {

constexpr base::duration minRetentionMargin = std::chrono::minutes(10);

std::string_view view(const base::digest128& bytes)
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

base::digest128 keyDigest(std::string_view team, const idempotency_key& key)
{
    // The length prefix distinguishes (team, key) pairs that would concatenate to the same bytes.
    return base::truncate(base::sha256(fmt::format("{}:{}{}", team.size(), team, view(key.bytes))));
}

base::error overloaded(std::chrono::milliseconds retryAfter)
{
    return { .verdict = base::verdict::NotRun,
        .reason = base::error_reason::Overloaded,
        .message = "too many claims are pending at this agent",
        .retryAfter = retryAfter };
}

} // namespace

claim_ledger::claim_ledger(platform::kv_store& store, base::clock& time, base::scheduler& timers,
    base::random_source& random, options opts)
    : m_options(std::move(opts))
    , m_random(random)
    , m_context { .store = store,
        .time = time,
        .timers = timers,
        .log = m_options.log,
        .prefix = fmt::format("claims/{}/", m_options.service),
        .process = m_options.process,
        .isAlive = m_options.isAlive ? m_options.isAlive : [](std::string_view) { return false; },
        .limits = m_options.limits,
        .batchInterval = m_options.batchInterval,
        .backoff = call_backoff(random, m_options.backoff) }
{
    m_context.serviceFailed = [this] {
        for (const auto& shard : m_shards)
            shard->step();
    };
    m_options.retentionMargin = std::max(m_options.retentionMargin, minRetentionMargin);
    for (std::uint32_t i = 0; i < m_options.shards; ++i)
        m_shards.push_back(std::make_unique<claim_shard>(m_context, i));
    m_sweeper = std::make_unique<claim_sweeper>(m_context,
        claim_sweeper::options { .bucketLength = m_options.bucketLength,
            .retention = m_options.limits.window.length + m_options.retentionMargin + m_options.bucketLength,
            .interval = m_options.sweepInterval,
            .mayRun = m_options.maySweep,
            .beforeSweep = [this](std::uint64_t firstRetained) {
                for (const auto& shard : m_shards)
                    shard->dropBefore(firstRetained);
            } });
}

claim_ledger::~claim_ledger()
{
    m_context.timers.cancel(m_flushTimer);
}

void claim_ledger::claim(const claim_call& call, claim_callback done)
{
    ++m_context.counts.calls;
    const base::wall_time wallNow = m_context.time.wallNow();
    if (const auto valid = checkKeyWindow(call.key, wallNow, m_options.limits.window); !valid)
        return refuse(std::move(done), valid.error());
    const base::digest128 key = keyDigest(call.team, call.key);
    const std::uint32_t number = key[0] % m_options.shards;
    if (m_shards[number]->ownClaims() >= m_options.limits.waiting)
        return refuse(std::move(done), overloaded(m_options.limits.retryAfter));
    const base::wall_time created = call.key.created();
    const auto bucket = static_cast<std::uint64_t>(created.time_since_epoch() / m_options.bucketLength);
    const base::time_point now = m_context.time.now();
    m_shards[number]->claim(bucket, key,
        { .request = call.request,
            .nonce = m_random.next(),
            .keyCreated = created,
            .arrived = now,
            .deadline = now + call.remaining,
            .done = std::move(done) },
        isCurrent(bucket));
    trimCache();
}

bool claim_ledger::isCurrent(std::uint64_t bucket) const
{
    const auto now = m_context.time.wallNow().time_since_epoch() / m_options.bucketLength;
    return bucket >= static_cast<std::uint64_t>(now);
}

void claim_ledger::refuse(claim_callback done, base::error reason)
{
    m_context.timers.runAfter(base::duration::zero(),
        [done = std::move(done), reason = std::move(reason)] { done(tl::unexpected(reason)); });
}

void claim_ledger::finished(const claim_ticket& ticket, stored_answer answer)
{
    std::shared_ptr<const stored_answer> storedCopy;
    if (answer.body.size() + answer.contentType.size() <= m_options.limits.answerBytes)
        storedCopy = std::make_shared<const stored_answer>(std::move(answer));
    end(ticket, claim_phase::Finished, std::move(storedCopy), m_options.resultDelay);
}

void claim_ledger::resultUnknown(const claim_ticket& ticket)
{
    end(ticket, claim_phase::ResultUnknown, {}, m_options.resultDelay);
}

void claim_ledger::notSent(const claim_ticket& ticket)
{
    end(ticket, claim_phase::Unsent, {}, base::duration::zero());
}

void claim_ledger::end(const claim_ticket& ticket, claim_phase phase,
    std::shared_ptr<const stored_answer> answer, base::duration delay)
{
    if (ticket.shard < m_shards.size())
        m_shards[ticket.shard]->end(ticket, phase, std::move(answer), delay);
}

void claim_ledger::flush(std::function<void()> done)
{
    m_flushWaiters.push_back(std::move(done));
    for (const auto& shard : m_shards)
        shard->expediteWrites();
    if (m_flushTimer == 0)
        pollFlush();
}

void claim_ledger::pollFlush()
{
    m_flushTimer = 0;
    if (hasPending()) {
        m_flushTimer = m_context.timers.runAfter(m_options.batchInterval, [this] { pollFlush(); });
        return;
    }
    for (auto& done : std::exchange(m_flushWaiters, {}))
        m_context.timers.runAfter(base::duration::zero(), std::move(done));
}

bool claim_ledger::hasPending() const
{
    return std::any_of(
        m_shards.begin(), m_shards.end(), [](const auto& shard) { return shard->hasPending(); });
}

std::size_t claim_ledger::cachedBytes() const
{
    std::size_t bytes = 0;
    for (const auto& shard : m_shards)
        bytes += shard->cachedBytes();
    return bytes;
}

std::size_t claim_ledger::ownClaims() const
{
    std::size_t count = 0;
    for (const auto& shard : m_shards)
        count += shard->ownClaims();
    return count;
}

void claim_ledger::trimCache()
{
    if (cachedBytes() <= m_options.cacheBytes)
        return;
    // Drops one eighth more than necessary, so that the next calls do not search again.
    const std::size_t targetBytes = m_options.cacheBytes - m_options.cacheBytes / 8;
    while (cachedBytes() > targetBytes) {
        claim_shard* oldest = nullptr;
        for (const auto& shard : m_shards)
            if (shard->oldestCacheUse() && (!oldest || *shard->oldestCacheUse() < *oldest->oldestCacheUse()))
                oldest = shard.get();
        if (!oldest)
            return;
        oldest->dropOldestCache();
    }
}

std::uint32_t claim_ledger::shardOf(std::string_view team, const idempotency_key& key) const
{
    return shardOf(team, key, m_options.shards);
}

std::uint32_t claim_ledger::shardOf(std::string_view team, const idempotency_key& key, std::uint32_t shards)
{
    return keyDigest(team, key)[0] % shards;
}

std::string_view claim_ledger::homeOf(
    std::string_view service, std::uint32_t shard, std::span<const std::string> agents)
{
    const std::string shardName = fmt::format("claims/{}/{}", service, shard);
    const auto home
        = std::max_element(agents.begin(), agents.end(), [&](const std::string& a, const std::string& b) {
              return base::rendezvousScore(shardName, a) < base::rendezvousScore(shardName, b);
          });
    return home == agents.end() ? std::string_view() : std::string_view(*home);
}

base::digest128 claim_ledger::requestDigest(
    std::string_view method, std::string_view path, std::string_view body)
{
    return base::truncate(
        base::sha256(fmt::format("{}:{}{}:{}{}", method.size(), method, path.size(), path, body)));
}

} // namespace marigold::outcome
