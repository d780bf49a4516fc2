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
{
}

bool order_lease_holder::mayOrder() const
{
    return m_token != 0 && m_lease.isValid() && m_clock.now() >= m_mayOrderFrom;
}

void order_lease_holder::leaseObserved(const std::optional<order_lease>& current)
{
    m_isVacant = !current;
    reportContradiction(current);
    if (m_isVacant) {
        if (m_token != 0 && !m_lease.isValid())
            dropLease("lease_ended");
        scheduleCompete();
        return;
    }
    m_failures = 0;
    if (m_token != 0 && current->token != m_token && current->token > m_token)
        dropLease("other_holder");
}

void order_lease_holder::reportContradiction(const std::optional<order_lease>& current) const
{
    if (m_token == 0 || (current && (current->holder == m_options.process || current->token < m_token)))
        return;
    m_log.write(events::leaseDisputed,
        { { "token", std::to_string(m_token) }, { "lease", std::to_string(m_leaseId) },
            { "holder", current ? current->holder : std::string() },
            { "holder_token", std::to_string(current ? current->token : 0) } });
}

void order_lease_holder::reportHeld(std::string_view held, std::string_view reason) const
{
    m_log.write(events::leadershipChanged,
        { { "held", std::string(held) }, { "token", std::to_string(m_token) },
            { "lease", std::to_string(m_leaseId) }, { "era", std::to_string(m_store.era()) },
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
        return;
    m_competeFrom = std::max(m_competeFrom, m_clock.now() + retryDelay());
    ++m_failures;
    scheduleCompete();
}

void order_lease_holder::compete()
{
    if (!m_isVacant || m_released) {
        m_competing = false;
        return;
    }
    if (m_leaseId == 0)
        takeLease();
    else
        renewForWrite();
}

void order_lease_holder::takeLease()
{
    m_store.grantLease(
        m_options.timeToLive, [this, sentAt = m_clock.now()](base::result<std::uint64_t> granted) {
            if (!granted)
                return competeLater();
            m_leaseId = *granted;
            writeKey(sentAt);
        });
}

void order_lease_holder::renewForWrite()
{
    m_store.keepAlive(m_leaseId, [this, sentAt = m_clock.now()](base::result<void> renewed) {
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
                    .lease = m_leaseId },
        [this, sentAt](base::result<std::uint64_t> token) {
            if (token)
                return acquired(sentAt, *token, "taken");
            const base::error& failure = token.error();
            m_isWriteUnanswered = m_isWriteUnanswered || failure.verdict != base::verdict::NotRun;
            // The key that is there may be that of an earlier attempt.
            if (failure.verdict != base::verdict::NotRun
                || (failure.reason == base::error_reason::Conflict && m_isWriteUnanswered))
                return verifyOwnership(sentAt);
            // Another process has it. Its key is a change that the watch tells, as is the end of that key.
            if (failure.reason == base::error_reason::Conflict) {
                m_competing = false;
                return;
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
            if (entry && *entry && (*entry)->value == m_options.process)
                return acquired(sentAt, (*entry)->createdRevision, "found");
            // The write may still be carried out.
            competeLater();
        });
}

void order_lease_holder::forgetLease()
{
    m_leaseId = 0;
    m_isWriteUnanswered = false;
}

void order_lease_holder::acquired(base::time_point sentAt, std::uint64_t token, std::string_view reason)
{
    m_competing = false;
    m_isVacant = false;
    m_isWriteUnanswered = false;
    m_failures = 0;
    m_token = token;
    m_lease.confirm(sentAt);
    m_mayOrderFrom = m_clock.now() + m_options.takeoverDelay;
    reportHeld("yes", reason);
    scheduleRenewal();
}

void order_lease_holder::scheduleRenewal()
{
    m_timers.runAfter(m_options.timeToLive / renewalsPerLease, [this] {
        if (m_token != 0)
            renew();
    });
}

void order_lease_holder::renew()
{
    const base::time_point sentAt = m_clock.now();
    m_store.keepAlive(m_leaseId, [this, sentAt, token = m_token](base::result<void> renewed) {
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

void order_lease_holder::tokenRejected()
{
    if (m_token == 0)
        return;
    m_competeFrom = m_clock.now() + rejectedBackoff;
    m_store.revokeLease(m_leaseId, [](base::result<void>) {});
    dropLease("token_refused");
}

void order_lease_holder::release()
{
    m_released = true;
    // Also ends an attempt whose write is on its way.
    if (m_leaseId != 0)
        m_store.revokeLease(m_leaseId, [](base::result<void>) {});
    if (m_token != 0)
        dropLease("stopping");
}

} // namespace marigold::relay
