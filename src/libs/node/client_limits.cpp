#include "client_limits.h"

#include "events.h"

namespace marigold::node {

namespace {

constexpr base::duration relieveInterval = std::chrono::milliseconds(50);
constexpr base::duration exportInterval = std::chrono::seconds(1);
constexpr base::duration reportInterval = std::chrono::minutes(1);

} // namespace

client_limits::client_limits(const settings::memory_settings& settings, const base::clock& time,
    base::event_log& log, operate::metrics& metrics)
    : m_settings(settings)
    , m_clock(time)
    , m_log(log)
    , m_metrics(metrics)
    , m_memory(time, { .budget = settings.budgetBytes(), .stallTime = settings.stallTime })
{
}

void client_limits::start(net::event_loop& loop)
{
    loop.runEvery(relieveInterval, [this] { m_memory.relieve(); });
    loop.runEvery(exportInterval, [this] { exportHeldBytes(); });
}

net::http_server::options client_limits::applyTo(net::http_server::options options)
{
    options.account = &m_memory;
    options.onLimited = [this](std::string_view reason) { limited(reason); };
    return options;
}

std::size_t client_limits::maxClients() const
{
    return m_settings.sockets(m_settings.openableDescriptors()) / 2;
}

void client_limits::limited(std::string_view reason)
{
    m_metrics.limited(reason);
    const base::time_point now = m_clock.now();
    const auto [found, isNew] = m_reported.try_emplace(std::string(reason), now);
    if (!isNew && now - found->second < reportInterval)
        return;
    found->second = now;
    m_log.write(events::clientsLimited,
        { { "reason", std::string(reason) }, { "held_mb", std::to_string(m_memory.held() >> 20) },
            { "budget_mb", std::to_string(m_memory.limits().budget >> 20) } });
}

void client_limits::exportHeldBytes()
{
    for (std::size_t index = 0; index < net::heldKinds; ++index) {
        const auto kind = static_cast<net::held_kind>(index);
        m_metrics.heldBytes(net::nameOf(kind), m_memory.held(kind));
    }
}

} // namespace marigold::node
