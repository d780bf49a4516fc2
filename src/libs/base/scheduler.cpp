#include "scheduler.h"

#include <algorithm>

namespace marigold::base {

timer_id manual_scheduler::runAfter(duration delay, std::function<void()> task)
{
    const timer_id id = m_next++;
    m_timers.emplace(std::pair(m_clock.now() + std::max(delay, duration::zero()), id), std::move(task));
    return id;
}

void manual_scheduler::cancel(timer_id id)
{
    const auto found = std::find_if(
        m_timers.begin(), m_timers.end(), [&](const auto& entry) { return entry.first.second == id; });
    if (found != m_timers.end())
        m_timers.erase(found);
}

void manual_scheduler::advance(duration step)
{
    const time_point end = m_clock.now() + step;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
        auto node = m_timers.extract(m_timers.begin());
        m_clock.advance(std::max(node.key().first - m_clock.now(), duration::zero()));
        node.mapped()();
    }
    m_clock.advance(end - m_clock.now());
}

} // namespace marigold::base
