#include "return_schedule.h"

#include <algorithm>

namespace marigold::relay {

namespace {

base::duration scaled(base::duration value, double factor)
{
    return base::duration(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

} // namespace

return_schedule::return_schedule(base::random_source& random, options opts)
    : m_random(random)
    , m_options(opts)
{
}

base::duration return_schedule::limitOf(base::duration remaining) const
{
    return scaled(std::max(remaining, base::duration::zero()), m_options.remainingShare);
}

base::duration return_schedule::book(const refused_request& request, base::time_point now)
{
    const base::duration limit = limitOf(request.remaining);
    const base::duration earliest = std::max(request.wait, m_options.shortest);
    base::time_point& next = m_nextReturn[request.classId];
    const base::time_point start = std::max(next, now + earliest);
    const base::duration spread = scaled(start - now, m_options.spread * m_random.uniform());
    if (start - now + spread > limit)
        return scaled(limit, 0.5 + m_random.uniform() / 2); // Nothing is booked beyond the limit.
    if (request.drain > 0)
        next = start
            + base::duration(
                static_cast<std::int64_t>(request.cost / (request.drain * m_options.drainShare) * 1e6));
    return start - now + spread;
}

base::duration return_schedule::bookedFor(std::uint32_t classId, base::time_point now) const
{
    const auto next = m_nextReturn.find(classId);
    return next == m_nextReturn.end() ? base::duration::zero()
                                      : std::max(next->second - now, base::duration::zero());
}

base::duration return_schedule::spread(base::duration usual, base::duration remaining)
{
    const base::duration value = scaled(usual, 1 + m_random.uniform() / 2);
    const base::duration limit = limitOf(remaining);
    return value <= limit ? value : scaled(limit, 0.5 + m_random.uniform() / 2);
}

void return_schedule::promised(std::uint32_t fingerprint, base::duration dueAfter, base::time_point now)
{
    promisedByPeer({ .fingerprint = fingerprint, .dueAfter = dueAfter }, now);
    if (m_untold.size() < m_options.capacity)
        m_untold.push_back(fingerprint);
}

void return_schedule::promisedByPeer(const promise& item, base::time_point now)
{
    if (m_due.size() < m_options.capacity || m_due.contains(item.fingerprint))
        m_due[item.fingerprint] = now + item.dueAfter;
}

return_kind return_schedule::recognise(std::uint32_t fingerprint, base::time_point now) const
{
    const auto found = m_due.find(fingerprint);
    if (found == m_due.end() || now > found->second + m_options.lateTolerance)
        return return_kind::None;
    return now + m_options.earlyTolerance < found->second ? return_kind::Early : return_kind::OnTime;
}

std::vector<return_schedule::promise> return_schedule::takeUntold(std::size_t count, base::time_point now)
{
    std::vector<promise> list;
    for (; list.size() < count && !m_untold.empty(); m_untold.pop_front())
        if (const auto found = m_due.find(m_untold.front()); found != m_due.end() && found->second > now)
            list.push_back({ .fingerprint = found->first, .dueAfter = found->second - now });
    return list;
}

void return_schedule::removeExpired(base::time_point now)
{
    std::erase_if(m_due, [&](const auto& entry) { return now > entry.second + m_options.lateTolerance; });
    std::erase_if(m_nextReturn, [&](const auto& entry) { return entry.second < now; });
}

} // namespace marigold::relay
