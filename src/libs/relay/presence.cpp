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
        if (!lease || m_left)
            return announceLater();
        m_lease = *lease;
        m_store.put({ .key = m_decoder.processKey(m_options.process),
                        .value = m_options.address.text(),
                        .lease = m_lease },
            [this](base::result<std::uint64_t> written) {
                if (written)
                    renewLater();
                else
                    announceLater();
            });
    });
}

void presence::announceLater()
{
    m_timers.runAfter(m_options.retryPause, [this] {
        if (!m_left)
            announce();
    });
}

void presence::renewLater()
{
    constexpr int renewalsPerLease = 3;
    m_timers.runAfter(m_options.timeToLive / renewalsPerLease, [this] {
        if (m_left)
            return;
        m_store.keepAlive(m_lease, [this](base::result<void> kept) {
            const bool ended = !kept && kept.error().reason == base::error_reason::NotFound;
            if (ended)
                announce();
            else
                renewLater();
        });
    });
}

void presence::leave()
{
    m_left = true;
    if (m_lease != 0)
        m_store.revokeLease(m_lease, [](base::result<void>) {});
}

} // namespace marigold::relay
