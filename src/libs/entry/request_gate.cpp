#include "request_gate.h"

#include <algorithm>

namespace marigold::entry {

namespace {

/// Expired requests are shed at this interval, even if no running request ends.
constexpr auto expiryInterval = std::chrono::milliseconds(50);

/// One slot in this many is reserved for teams within their burst.
constexpr int slotsPerReservedSlot = 16;

} // namespace

request_gate::request_gate(const base::clock& time, base::scheduler& timers, options opts)
    : m_clock(time)
    , m_timers(timers)
    , m_bound(opts.bound)
    , m_queue({ .capacity = opts.capacity,
          .teamCapacity = std::max<std::size_t>(1, opts.capacity / 4),
          .refuse = [this](routing::request_id id, const base::error& problem) {
              const auto ready = m_readyCallbacks.extract(id);
              if (!ready.empty())
                  ready.mapped()(tl::unexpected(problem));
          } })
{
}

void request_gate::setBound(int bound)
{
    m_bound = std::max(1, bound);
    dispatch();
}

void request_gate::enter(std::string_view team, double cost, base::time_point deadline,
    std::function<void(base::result<void>)> ready)
{
    if (m_queue.size() == 0 && m_running < m_bound) {
        ++m_running;
        return ready({});
    }
    const routing::request_id id = m_nextId++;
    m_readyCallbacks[id] = std::move(ready);
    if (const auto queued = m_queue.push(team, { .id = id, .cost = cost, .deadline = deadline }); !queued) {
        const auto refused = m_readyCallbacks.extract(id);
        if (!refused.empty())
            refused.mapped()(tl::unexpected(queued.error()));
        return;
    }
    if (m_isDispatchScheduled)
        return;
    m_isDispatchScheduled = true;
    m_timers.runAfter(expiryInterval, [this] {
        m_isDispatchScheduled = false;
        dispatch();
    });
}

void request_gate::leave()
{
    m_running = std::max(0, m_running - 1);
    dispatch();
}

routing::pop_scope request_gate::currentScope() const
{
    // Running requests are not interrupted, so the last free slots are reserved for teams within their burst.
    // Otherwise a team with a long queue would make the others wait until one of its requests ends.
    const int reserved = std::max(1, m_bound / slotsPerReservedSlot);
    return m_running >= m_bound - reserved ? routing::pop_scope::WithinBurst : routing::pop_scope::AnyTeam;
}

void request_gate::dispatch()
{
    while (m_running < m_bound) {
        const auto next = m_queue.pop(m_clock.now(), currentScope());
        if (!next)
            break;
        const auto ready = m_readyCallbacks.extract(next->id);
        if (ready.empty())
            continue;
        ++m_running;
        ready.mapped()({});
    }
    if (m_queue.size() == 0 || m_isDispatchScheduled)
        return;
    m_isDispatchScheduled = true;
    m_timers.runAfter(expiryInterval, [this] {
        m_isDispatchScheduled = false;
        dispatch();
    });
}

} // namespace marigold::entry
