#include "presence.h"

namespace marigold::relay {

presence::presence(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
    const base::clock& time, options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_options(std::move(opts))
{
}

void presence::announce()
{
    if (m_lease == 0)
        takeLease();
    else
        renewLease();
}

void presence::takeLease()
{
    m_store.grantLease(m_options.timeToLive, [this](base::result<std::uint64_t> lease) {
        if (!lease || m_withdrawn)
            return scheduleAnnounce();
        m_lease = *lease;
        writeKey();
    });
}

void presence::renewLease()
{
    m_store.keepAlive(m_lease, [this](base::result<void> renewed) {
        if (!renewed && renewed.error().reason == base::error_reason::NotFound)
            forgetLease();
        if (!renewed || m_withdrawn)
            return scheduleAnnounce();
        writeKey();
    });
}

void presence::writeKey()
{
    m_store.put({ .key = m_decoder.processKey(m_options.process),
                    .value = m_options.address.text(),
                    .expectedRevision = 0,
                    .lease = m_lease },
        [this, sentAt = m_clock.now()](base::result<std::uint64_t> written) {
            // A conflict is the key of an earlier attempt whose reply was lost; no other process uses it.
            if (!written && written.error().reason != base::error_reason::Conflict) {
                if (written.error().reason == base::error_reason::NotFound)
                    forgetLease();
                return scheduleAnnounce();
            }
            m_registeredSince = m_clock.now();
            m_registeredAsOf = sentAt;
            scheduleRenewal(renewalInterval());
        });
}

void presence::forgetLease()
{
    m_lease = 0;
    m_registeredAsOf = {};
}

void presence::scheduleAnnounce()
{
    m_timers.runAfter(m_options.retryDelay, [this] {
        if (!m_withdrawn)
            announce();
    });
}

base::duration presence::renewalInterval() const
{
    constexpr int renewalsPerLease = 3;
    return m_options.timeToLive / renewalsPerLease;
}

void presence::scheduleRenewal(base::duration delay)
{
    m_timers.runAfter(delay, [this] {
        if (m_withdrawn)
            return;
        m_store.keepAlive(m_lease, [this, sentAt = m_clock.now()](base::result<void> renewed) {
            if (!renewed && renewed.error().reason == base::error_reason::NotFound) {
                forgetLease();
                return announce();
            }
            if (renewed)
                m_registeredAsOf = sentAt;
            scheduleRenewal(renewed ? renewalInterval() : m_options.retryDelay);
        });
    });
}

bool presence::isKnownToOthers(base::duration maxAge) const
{
    const base::time_point now = m_clock.now();
    return m_registeredAsOf != base::time_point {} && now - m_registeredAsOf < maxAge
        && now - m_registeredSince >= m_options.changeLimit;
}

void presence::withdraw()
{
    m_withdrawn = true;
    if (m_lease != 0)
        m_store.revokeLease(m_lease, [](base::result<void>) {});
}

} // namespace marigold::relay
