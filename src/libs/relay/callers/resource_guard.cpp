#include "resource_guard.h"

namespace marigold::relay {

namespace {

constexpr base::duration relieveInterval = std::chrono::milliseconds(50);
constexpr base::duration reportInterval = std::chrono::minutes(1);

/// Shares of the sockets. The rest is for the platform store, context sources, probes and listeners.
constexpr double callerShare = 0.55;
constexpr double targetShare = 0.35;

std::size_t shareOf(std::size_t sockets, double share)
{
    return static_cast<std::size_t>(static_cast<double>(sockets) * share);
}

} // namespace

std::string_view nameOf(limit_action action)
{
    constexpr std::array<std::string_view, limitActions> names { "request_refused", "connection_closed",
        "connection_refused", "idle_connection_closed", "target_connection_refused" };
    return names[static_cast<std::size_t>(action)];
}

resource_guard::resource_guard(net::event_loop& loop, const base::clock& time, options opts)
    : m_loop(loop)
    , m_clock(time)
    , m_options(std::move(opts))
    , m_memory(time, m_options.memory)
{
}

void resource_guard::start()
{
    m_loop.runEvery(relieveInterval, [this] { m_memory.relieve(); });
}

std::size_t resource_guard::maxCallers() const
{
    return shareOf(m_options.sockets, callerShare);
}

std::size_t resource_guard::maxTargets() const
{
    return shareOf(m_options.sockets, targetShare);
}

net::http_headers resource_guard::refusalFields(const message_head& head)
{
    constexpr unsigned steps = 8;
    constexpr base::duration shortest = std::chrono::milliseconds(300);
    constexpr base::duration step = std::chrono::milliseconds(100);
    const base::duration retryAfter = shortest + step * (m_refusals++ % steps);
    return m_options.refusalFields ? m_options.refusalFields(head, retryAfter) : net::http_headers();
}

void resource_guard::count(limit_action action)
{
    const auto index = static_cast<std::size_t>(action);
    const base::time_point now = m_clock.now();
    if (m_options.report && (m_counts[index] == 0 || now - m_reported[index] >= reportInterval)) {
        m_reported[index] = now;
        m_options.report(action);
    }
    ++m_counts[index];
}

} // namespace marigold::relay
