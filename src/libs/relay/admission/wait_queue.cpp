#include "wait_queue.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace marigold::relay {

wait_queue::wait_queue(base::scheduler& timers, const base::clock& time, options opts)
    : m_timers(timers)
    , m_clock(time)
    , m_options(opts)
{
}

void wait_queue::add(waiting_request& request)
{
    m_waiting.push_back(&request);
    scheduleNext();
}

void wait_queue::scheduleNext()
{
    if (m_waiting.empty() || std::exchange(m_timerScheduled, true))
        return;
    m_timers.runAfter(m_options.interval, [this] {
        m_timerScheduled = false;
        dispatchWaiting();
    });
}

void wait_queue::remove(waiting_request& request)
{
    std::erase(m_waiting, &request);
}

bool wait_queue::precedes(const waiting_request& a, const waiting_request& b, base::time_point now)
{
    const auto rank = [now](const waiting_request& item) {
        return std::tuple(item.dispatchDeadline() < now, item.urgency(), item.arrivedAt());
    };
    return rank(a) < rank(b);
}

bool wait_queue::mustWaitBehind(const waiting_request& request) const
{
    const base::time_point now = m_clock.now();
    return std::ranges::any_of(m_waiting, [&](const waiting_request* other) {
        if (other->service() != request.service())
            return false;
        if (m_policy && m_policy->isHeldFor(*other, now))
            return true;
        return other->size() <= request.size()
            && (m_policy ? m_policy->goesBefore(*other, request, now) : precedes(*other, request, now));
    });
}

bool wait_queue::hasWaiting(std::string_view service) const
{
    return std::ranges::any_of(
        m_waiting, [&](const waiting_request* request) { return request->service() == service; });
}

void wait_queue::scheduleDispatch()
{
    if (m_waiting.empty() || std::exchange(m_dispatchScheduled, true))
        return;
    m_timers.runAfter(base::duration::zero(), [this] {
        m_dispatchScheduled = false;
        dispatchWaiting();
    });
}

void wait_queue::dispatchWaiting()
{
    std::vector<waiting_request*> order = std::exchange(m_waiting, {});
    // Takes the time once for all comparisons: an order that changes during the sort makes it read out of
    // range.
    const base::time_point now = m_clock.now();
    if (m_policy)
        m_policy->order(order, now);
    else
        std::ranges::stable_sort(order, [now](auto* a, auto* b) { return precedes(*a, *b, now); });
    // If a request found no capacity, a larger request of the same service finds none either.
    std::map<std::string, int, std::less<>> smallestUnplaced;
    std::vector<waiting_request*> remaining;
    for (waiting_request* request : order) {
        const auto unplaced = smallestUnplaced.find(request->service());
        if (unplaced == smallestUnplaced.end() || request->size() < unplaced->second) {
            const std::string service(request->service());
            const int size = request->size();
            const dispatch_result result = request->tryDispatch();
            if (result == dispatch_result::Dispatched)
                continue;
            if (result == dispatch_result::NoCapacity) {
                const bool isHeld = m_policy && m_policy->isHeldFor(*request, now);
                smallestUnplaced.emplace(service, size).first->second = isHeld ? 0 : size;
            }
        }
        if (request->waitDeadline() <= m_clock.now())
            request->waitTimedOut();
        else
            remaining.push_back(request);
    }
    if (m_policy)
        refuseHopeless(remaining);
    // Dispatching a request may have ended other requests, but none of those in this queue: these end by
    // their own timers.
    remaining.insert(remaining.end(), m_waiting.begin(), m_waiting.end());
    m_waiting = std::move(remaining);
    scheduleNext();
}

void wait_queue::refuseHopeless(std::vector<waiting_request*>& remaining)
{
    const base::time_point now = m_clock.now();
    for (auto& [request, refusal] : m_policy->review(remaining, now)) {
        // Some requests were not tried, since a smaller one found no capacity. A request that is refused
        // must have been.
        const dispatch_result result = request->tryDispatch();
        if (result == dispatch_result::NotReady)
            continue;
        std::erase(remaining, request);
        if (result == dispatch_result::Dispatched)
            continue;
        m_policy->refused(*request, refusal, now);
        request->refuse(refusal);
    }
}

} // namespace marigold::relay
