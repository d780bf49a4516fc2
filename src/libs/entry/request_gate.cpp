#include "request_gate.h"

#include <algorithm>

namespace marigold::entry {

namespace {

/// Expired requests are refused at least this often, even when nothing ends.
constexpr auto expiryInterval = std::chrono::milliseconds(50);

/// One place in so many is kept for teams within their burst.
constexpr int reservedShare = 16;

} // namespace

request_gate::request_gate(const base::clock& time, base::scheduler& timers, options opts)
    : m_clock(time)
    , m_timers(timers)
    , m_bound(opts.bound)
    , m_queue({ .capacity = opts.capacity,
          .teamCapacity = std::max<std::size_t>(1, opts.capacity / 4),
          .refuse = [this](routing::request_id id, const base::error& problem) {
              const auto ready = m_ready.extract(id);
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
    m_ready[id] = std::move(ready);
    if (const auto queued = m_queue.push(team, { .id = id, .cost = cost, .deadline = deadline }); !queued) {
        const auto refused = m_ready.extract(id);
        if (!refused.empty())
            refused.mapped()(tl::unexpected(queued.error()));
        return;
    }
    if (m_dispatchPlanned)
        return;
    m_dispatchPlanned = true;
    m_timers.runAfter(expiryInterval, [this] {
        m_dispatchPlanned = false;
        dispatch();
    });
}

void request_gate::leave()
{
    m_running = std::max(0, m_running - 1);
    dispatch();
}

routing::pop_scope request_gate::scopeNow() const
{
    // Running requests are not interrupted, so that the last free places are kept for teams within their
    // burst: a team with a long queue cannot make the others wait for the end of one of its own.
    const int kept = std::max(1, m_bound / reservedShare);
    return m_running >= m_bound - kept ? routing::pop_scope::WithinBurst : routing::pop_scope::AnyTeam;
}

void request_gate::dispatch()
{
    while (m_running < m_bound) {
        const auto next = m_queue.pop(m_clock.now(), scopeNow());
        if (!next)
            break;
        const auto ready = m_ready.extract(next->id);
        if (ready.empty())
            continue;
        ++m_running;
        ready.mapped()({});
    }
    if (m_queue.size() == 0 || m_dispatchPlanned)
        return;
    m_dispatchPlanned = true;
    m_timers.runAfter(expiryInterval, [this] {
        m_dispatchPlanned = false;
        dispatch();
    });
}

} // namespace marigold::entry
