#include "order_lease_holder.h"

#include <relay/events.h>

#include <algorithm>

namespace marigold::relay {

namespace {

/// Renewals per lease duration; one may be lost without losing the lease.
constexpr int renewalsPerLease = 3;

/// Time for which a process does not compete for the lease after its token was rejected.
constexpr base::duration rejectedBackoff = std::chrono::seconds(5);

} // namespace

order_lease_holder::order_lease_holder(platform::kv_store& store, const state_decoder& decoder,
    base::scheduler& timers, const base::clock& time, base::random_source& random, const base::event_log& log,
    options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_log(log)
    , m_options(std::move(opts))
    , m_lease(time, { .timeToLive = m_options.timeToLive, .margin = m_options.margin })
    , m_storeLease(store)
{
}

bool order_lease_holder::mayOrder() const
{
    return isHeld() && m_clock.now() >= m_mayOrderFrom;
}

void order_lease_holder::leaseObserved(const std::optional<order_lease>& current, std::uint64_t revision)
{
    noteEra();
    m_observed = current;
    m_isVacant = !current;
    reportContradiction();
    if (m_isVacant) {
        // The state may be older than the key of this process.
        if (m_token != 0 && tokenOf(revision) >= m_token)
            dropLease("key_gone");
        else if (m_token != 0 && !m_lease.isValid())
            dropLease("lease_ended");
        scheduleCompete();
        return;
    }
    m_failures = 0;
    if (m_token != 0 && tokenOf(current->createdRevision) > m_token)
        dropLease("other_holder");
    removeStrayKey();
}

std::uint64_t order_lease_holder::tokenOf(std::uint64_t createdRevision) const
{
    return platform::positionOf(m_store.era(), createdRevision);
}

void order_lease_holder::noteEra()
{
    const std::uint64_t before = std::exchange(m_era, m_store.era());
    if (before == m_era)
        return;
    m_earlierLeasesEnd = m_clock.now() + m_options.timeToLive;
    m_observed.reset();
    m_isVacant = false; // Until the state of this era is known.
    if (m_token != 0)
        dropLease("store_older");
    else
        forgetLease();
}

bool order_lease_holder::isKeyStray() const
{
    if (!m_observed)
        return false;
    if (m_observed->holder == m_options.process)
        return m_token == 0 && !m_competing;
    return m_options.renewsLease && m_options.renewsLease(m_observed->lease);
}

void order_lease_holder::removeStrayKey()
{
    noteEra();
    if (m_released || m_isRemoving || !isKeyStray())
        return;
    m_isRemoving = true;
    m_store.remove(m_decoder.orderLeaseKey(), m_observed->createdRevision,
        [this, removed = m_observed->createdRevision](base::result<void> outcome) {
            m_isRemoving = false;
            noteEra();
            const bool isGone = outcome || outcome.error().reason == base::error_reason::Conflict;
            if (m_observed && m_observed->createdRevision == removed && isGone)
                return;
            m_timers.runAfter(m_options.retryDelay, [this] { removeStrayKey(); });
        });
}

void order_lease_holder::reportContradiction() const
{
    const std::uint64_t holderToken = m_observed ? tokenOf(m_observed->createdRevision) : 0;
    if (m_token == 0 || (m_observed && (m_observed->holder == m_options.process || holderToken < m_token)))
        return;
    m_log.write(events::leaseDisputed,
        { { "token", std::to_string(m_token) }, { "lease", std::to_string(m_storeLease.id()) },
            { "holder", m_observed ? m_observed->holder : std::string() },
            { "holder_token", std::to_string(holderToken) } });
}

void order_lease_holder::reportHeld(std::string_view held, std::string_view reason) const
{
    m_log.write(events::leadershipChanged,
        { { "held", std::string(held) }, { "token", std::to_string(m_token) },
            { "lease", std::to_string(m_storeLease.id()) }, { "era", std::to_string(m_store.era()) },
            { "reason", std::string(reason) } });
}

void order_lease_holder::scheduleCompete()
{
    if (m_released || m_competing || m_token != 0)
        return;
    m_competing = true;
    const base::duration wait = std::max(m_competeFrom - m_clock.now(), base::duration::zero());
    const auto jitter = static_cast<std::uint64_t>(m_options.jitter.count());
    m_timers.runAfter(wait + base::duration(m_random.below(jitter + 1)), [this] { compete(); });
}

base::duration order_lease_holder::retryDelay() const
{
    constexpr int maxDoublings = 2;
    return m_options.retryDelay * (1 << std::min(m_failures, maxDoublings));
}

void order_lease_holder::competeLater()
{
    m_competing = false;
    if (!m_isVacant)
        return removeStrayKey();
    m_competeFrom = std::max(m_competeFrom, m_clock.now() + retryDelay());
    ++m_failures;
    scheduleCompete();
}

void order_lease_holder::compete()
{
    noteEra();
    if (!m_isVacant || m_released) {
        m_competing = false;
        return removeStrayKey();
    }
    if (m_storeLease.id() == 0)
        takeLease();
    else
        renewForWrite();
}

void order_lease_holder::takeLease()
{
    m_store.grantLease(
        m_options.timeToLive, [this, sentAt = m_clock.now()](base::result<std::uint64_t> granted) {
            noteEra();
            if (!granted)
                return competeLater();
            m_storeLease.granted(*granted);
            writeKey(sentAt);
        });
}

void order_lease_holder::renewForWrite()
{
    m_store.keepAlive(m_storeLease.id(), [this, sentAt = m_clock.now()](base::result<void> renewed) {
        noteEra();
        if (renewed)
            return writeKey(sentAt);
        if (renewed.error().reason != base::error_reason::NotFound)
            return competeLater();
        forgetLease();
        takeLease();
    });
}

void order_lease_holder::writeKey(base::time_point sentAt)
{
    if (!m_isVacant || m_released)
        return competeLater();
    m_store.put({ .key = m_decoder.orderLeaseKey(),
                    .value = m_options.process,
                    .expectedRevision = 0,
                    .lease = m_storeLease.id() },
        [this, sentAt](base::result<std::uint64_t> revision) {
            noteEra();
            if (m_released) // The lease has been ended, and the key with it.
                return;
            if (revision)
                return acquired(sentAt, *revision, "taken");
            if (m_storeLease.id() == 0)
                return competeLater();
            const base::error& failure = revision.error();
            m_isWriteUnanswered = m_isWriteUnanswered || failure.verdict != base::verdict::NotRun;
            // The key that is there may be that of an earlier attempt.
            if (failure.verdict != base::verdict::NotRun
                || (failure.reason == base::error_reason::Conflict && m_isWriteUnanswered))
                return verifyOwnership(sentAt);
            // Another process has it. Its key is a change that the watch tells, as is the end of that key.
            if (failure.reason == base::error_reason::Conflict) {
                m_competing = false;
                return removeStrayKey();
            }
            if (failure.reason == base::error_reason::NotFound)
                forgetLease();
            competeLater();
        });
}

void order_lease_holder::verifyOwnership(base::time_point sentAt)
{
    m_store.get(
        m_decoder.orderLeaseKey(), [this, sentAt](base::result<std::optional<platform::kv_entry>> entry) {
            noteEra();
            if (m_released)
                return;
            // A key on another lease is that of a write from an earlier era.
            if (m_storeLease.id() != 0 && entry && *entry && (*entry)->value == m_options.process
                && (*entry)->lease == m_storeLease.id())
                return acquired(sentAt, (*entry)->createdRevision, "found");
            // The write may still be carried out.
            competeLater();
        });
}

void order_lease_holder::forgetLease()
{
    m_storeLease.forget();
    m_isWriteUnanswered = false;
}

void order_lease_holder::acquired(
    base::time_point sentAt, std::uint64_t createdRevision, std::string_view reason)
{
    m_competing = false;
    m_isVacant = false;
    m_isWriteUnanswered = false;
    m_failures = 0;
    m_token = tokenOf(createdRevision);
    m_lease.confirm(sentAt);
    m_mayOrderFrom = std::max(m_clock.now(), m_earlierLeasesEnd) + m_options.takeoverDelay;
    reportHeld("yes", reason);
    scheduleRenewal();
}

void order_lease_holder::scheduleRenewal()
{
    m_timers.runAfter(m_options.timeToLive / renewalsPerLease, [this] { renew(); });
}

void order_lease_holder::renew()
{
    noteEra();
    if (m_token == 0)
        return;
    const base::time_point sentAt = m_clock.now();
    m_store.keepAlive(m_storeLease.id(), [this, sentAt, token = m_token](base::result<void> renewed) {
        noteEra();
        if (m_token != token)
            return;
        if (renewed)
            m_lease.confirm(sentAt);
        else if (renewed.error().reason == base::error_reason::NotFound)
            return dropLease("lease_ended");
        scheduleRenewal();
    });
}

void order_lease_holder::dropLease(std::string_view reason)
{
    reportHeld("no", reason);
    m_token = 0;
    m_lease.end();
    forgetLease(); // Without its key, the lease has ended or been replaced.
    if (m_isVacant)
        scheduleCompete();
}

void order_lease_holder::endLease()
{
    if (const std::uint64_t lease = m_storeLease.id(); lease != 0)
        m_store.revokeLease(lease, [](base::result<void>) {});
}

void order_lease_holder::tokenRejected()
{
    if (m_token == 0)
        return;
    m_competeFrom = m_clock.now() + rejectedBackoff;
    endLease();
    dropLease("token_refused");
}

void order_lease_holder::release()
{
    m_released = true;
    // Also ends an attempt whose write is on its way.
    endLease();
    if (m_token != 0)
        dropLease("stopping");
}

} // namespace marigold::relay
