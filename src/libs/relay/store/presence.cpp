#include "presence.h"

#include <algorithm>

namespace marigold::relay {

presence::presence(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
    const base::clock& time, base::random_source& random, options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_options(std::move(opts))
    , m_lease(store)
{
}

void presence::schedule(base::duration delay, step next)
{
    m_timers.runAfter(delay, [this, next, round = ++m_round] {
        if (round == m_round && !m_withdrawn)
            (this->*next)();
    });
}

void presence::announce()
{
    if (m_lease.id() == 0)
        takeLease();
    else
        renewForWrite();
}

void presence::takeLease()
{
    m_store.grantLease(m_options.timeToLive, [this, round = m_round](base::result<std::uint64_t> lease) {
        if (round != m_round || m_withdrawn)
            return;
        if (!lease)
            return announceLater();
        m_lease.granted(*lease);
        placeKey();
    });
}

void presence::renewForWrite()
{
    m_store.keepAlive(m_lease.id(), [this, round = m_round](base::result<void> renewed) {
        if (round != m_round || m_withdrawn)
            return;
        if (!renewed && renewed.error().reason == base::error_reason::NotFound)
            forgetLease();
        if (!renewed || m_lease.id() == 0)
            return announceLater();
        placeKey();
    });
}

void presence::placeKey()
{
    if (!m_mayExist)
        return writeKey(0);
    m_store.get(m_decoder.processKey(m_options.process),
        [this, round = m_round, sentAt = m_clock.now()](
            base::result<std::optional<platform::kv_entry>> entry) {
            if (round != m_round || m_withdrawn)
                return;
            if (!entry || m_lease.id() == 0)
                return announceLater();
            if (!*entry)
                return writeKey(0);
            if ((*entry)->lease == m_lease.id())
                return registered(sentAt, (*entry)->revision);
            writeKey((*entry)->revision);
        });
}

void presence::writeKey(std::uint64_t expectedRevision)
{
    m_store.put({ .key = m_decoder.processKey(m_options.process),
                    .value = m_options.address.text(),
                    .expectedRevision = expectedRevision,
                    .lease = m_lease.id() },
        [this, round = m_round, sentAt = m_clock.now()](base::result<std::uint64_t> written) {
            if (round != m_round || m_withdrawn)
                return;
            if (written)
                return registered(sentAt, *written);
            m_mayExist = true;
            if (written.error().reason == base::error_reason::NotFound)
                forgetLease();
            announceLater();
        });
}

void presence::registered(base::time_point sentAt, std::uint64_t revision)
{
    if (m_lease.id() == 0)
        return announceLater();
    m_registeredSince = m_clock.now();
    m_registeredAsOf = sentAt;
    m_registeredRevision = revision;
    schedule(renewalInterval(), &presence::renew);
}

void presence::renew()
{
    if (m_lease.id() == 0)
        return announce();
    m_store.keepAlive(
        m_lease.id(), [this, round = m_round, sentAt = m_clock.now()](base::result<void> renewed) {
            if (round != m_round || m_withdrawn)
                return;
            if (!renewed && renewed.error().reason == base::error_reason::NotFound) {
                forgetLease();
                return announce();
            }
            if (renewed)
                m_registeredAsOf = sentAt;
            schedule(renewed ? renewalInterval() : m_options.retryDelay, &presence::renew);
        });
}

void presence::setProcesses(std::span<const std::string_view> processes)
{
    m_turn = static_cast<std::uint64_t>(
        std::ranges::count_if(processes, [this](std::string_view id) { return id < m_options.process; }));
}

void presence::eraRaised(std::uint64_t before)
{
    // A call before the first reply that states an era counts as a call of that era.
    if (before != 0 || m_registeredAsOf != base::time_point {})
        registerAnew();
}

void presence::missingObserved(std::uint64_t revision)
{
    if (m_registeredAsOf != base::time_point {} && m_lease.id() != 0 && revision >= m_registeredRevision)
        registerAnew();
}

void presence::registerAnew()
{
    m_registeredAsOf = {};
    m_mayExist = true;
    const auto spacing = static_cast<std::uint64_t>(m_options.spacing.count());
    schedule(base::duration(m_turn * spacing + m_random.below(spacing)), &presence::announce);
}

void presence::forgetLease()
{
    m_lease.forget();
    m_registeredAsOf = {};
}

base::duration presence::renewalInterval() const
{
    constexpr int renewalsPerLease = 3;
    return m_options.timeToLive / renewalsPerLease;
}

bool presence::isKnownToOthers(base::duration maxAge) const
{
    const base::time_point now = m_clock.now();
    return m_lease.id() != 0 && m_registeredAsOf != base::time_point {} && now - m_registeredAsOf < maxAge
        && now - m_registeredSince >= m_options.changeLimit;
}

void presence::withdraw()
{
    m_withdrawn = true;
    if (const std::uint64_t lease = m_lease.id(); lease != 0)
        m_store.revokeLease(lease, [](base::result<void>) {});
}

} // namespace marigold::relay
