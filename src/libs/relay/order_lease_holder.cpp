#include "order_lease_holder.h"

#include "events.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Renewals per lease time; one may be lost without losing the lease.
constexpr int renewalsPerLease = 3;

/// How long a process whose token was refused leaves the lease to others.
constexpr base::duration refusedPause = std::chrono::seconds(5);

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

void order_lease_holder::seen(const std::optional<order_lease>& current)
{
    m_vacant = !current;
    if (m_vacant) {
        if (m_token != 0 && !m_lease.isValid())
            lose("lease_ended");
        competeLater();
        return;
    }
    if (m_token != 0 && current->token != m_token && current->token > m_token)
        lose("other_holder");
}

void order_lease_holder::competeLater()
{
    if (m_released || m_competing || m_token != 0)
        return;
    m_competing = true;
    const base::duration wait = std::max(m_notBefore - m_clock.now(), base::duration::zero());
    const auto spread = static_cast<std::uint64_t>(m_options.spread.count());
    m_timers.runAfter(wait + base::duration(m_random.below(spread + 1)), [this] { compete(); });
}

void order_lease_holder::compete()
{
    if (!m_vacant || m_released) {
        m_competing = false;
        return;
    }
    const base::time_point sentAt = m_clock.now();
    m_store.grantLease(m_options.timeToLive, [this, sentAt](base::result<std::uint64_t> granted) {
        if (granted && m_vacant)
            return take(*granted, sentAt);
        m_competing = false;
        if (m_vacant)
            competeLater();
    });
}

void order_lease_holder::take(std::uint64_t leaseId, base::time_point sentAt)
{
    m_store.put({ .key = m_decoder.orderLeaseKey(),
                    .value = m_options.process,
                    .expectedRevision = 0,
                    .lease = leaseId },
        [this, leaseId, sentAt](base::result<std::uint64_t> token) {
            if (token)
                return took(leaseId, sentAt, *token);
            if (token.error().verdict != base::verdict::NotRun)
                return confirm(leaseId, sentAt);
            m_competing = false;
        });
}

void order_lease_holder::confirm(std::uint64_t leaseId, base::time_point sentAt)
{
    m_store.get(m_decoder.orderLeaseKey(),
        [this, leaseId, sentAt](base::result<std::optional<platform::kv_entry>> entry) {
            if (entry && *entry && (*entry)->value == m_options.process)
                return took(leaseId, sentAt, (*entry)->createdRevision);
            m_competing = false;
            // The write may still be carried out; its lease ends by itself.
            if (entry && !*entry)
                competeLater();
        });
}

void order_lease_holder::took(std::uint64_t leaseId, base::time_point sentAt, std::uint64_t token)
{
    m_competing = false;
    m_vacant = false;
    m_leaseId = leaseId;
    m_token = token;
    m_lease.confirm(sentAt);
    m_mayOrderFrom = m_clock.now() + m_options.settle;
    m_log.write(events::leadershipChanged,
        { { "held", "yes" }, { "token", std::to_string(token) }, { "reason", "taken" } });
    renewLater();
}

void order_lease_holder::renewLater()
{
    m_timers.runAfter(m_options.timeToLive / renewalsPerLease, [this] {
        if (m_token != 0)
            renew();
    });
}

void order_lease_holder::renew()
{
    const base::time_point sentAt = m_clock.now();
    m_store.keepAlive(m_leaseId, [this, sentAt, token = m_token](base::result<void> kept) {
        if (m_token != token)
            return;
        if (kept)
            m_lease.confirm(sentAt);
        else if (kept.error().reason == base::error_reason::NotFound)
            return lose("lease_ended");
        renewLater();
    });
}

void order_lease_holder::lose(std::string_view reason)
{
    m_log.write(events::leadershipChanged,
        { { "held", "no" }, { "token", std::to_string(m_token) }, { "reason", std::string(reason) } });
    m_token = 0;
    m_lease.end();
    if (m_vacant)
        competeLater();
}

void order_lease_holder::refused()
{
    if (m_token == 0)
        return;
    m_notBefore = m_clock.now() + refusedPause;
    m_store.revokeLease(m_leaseId, [](base::result<void>) {});
    lose("token_refused");
}

void order_lease_holder::release()
{
    m_released = true;
    if (m_token == 0)
        return;
    m_store.revokeLease(m_leaseId, [](base::result<void>) {});
    lose("stopping");
}

} // namespace marigold::relay
