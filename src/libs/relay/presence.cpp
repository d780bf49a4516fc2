#include "presence.h"

namespace marigold::relay {

presence::presence(
    platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers, options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_options(std::move(opts))
{
}

void presence::announce()
{
    m_store.grantLease(m_options.timeToLive, [this](base::result<std::uint64_t> lease) {
        if (!lease || m_withdrawn)
            return scheduleAnnounce();
        m_lease = *lease;
        m_store.put({ .key = m_decoder.processKey(m_options.process),
                        .value = m_options.address.text(),
                        .lease = m_lease },
            [this](base::result<std::uint64_t> written) {
                if (written)
                    scheduleRenewal();
                else
                    scheduleAnnounce();
            });
    });
}

void presence::scheduleAnnounce()
{
    m_timers.runAfter(m_options.retryDelay, [this] {
        if (!m_withdrawn)
            announce();
    });
}

void presence::scheduleRenewal()
{
    constexpr int renewalsPerLease = 3;
    m_timers.runAfter(m_options.timeToLive / renewalsPerLease, [this] {
        if (m_withdrawn)
            return;
        m_store.keepAlive(m_lease, [this](base::result<void> renewed) {
            const bool leaseExpired = !renewed && renewed.error().reason == base::error_reason::NotFound;
            if (leaseExpired)
                announce();
            else
                scheduleRenewal();
        });
    });
}

void presence::withdraw()
{
    m_withdrawn = true;
    if (m_lease != 0)
        m_store.revokeLease(m_lease, [](base::result<void>) {});
}

} // namespace marigold::relay
