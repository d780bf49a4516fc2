#include "waiting_room.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace marigold::relay {

waiting_room::waiting_room(base::scheduler& timers, const base::clock& time, options opts)
    : m_timers(timers)
    , m_clock(time)
    , m_options(opts)
{
}

void waiting_room::add(waiting_request& request)
{
    m_waiting.push_back(&request);
    if (std::exchange(m_planned, true))
        return;
    m_timers.runAfter(m_options.interval, [this] {
        m_planned = false;
        pump();
    });
}

void waiting_room::remove(waiting_request& request)
{
    std::erase(m_waiting, &request);
}

bool waiting_room::goesBefore(const waiting_request& a, const waiting_request& b, base::time_point now)
{
    const auto rank = [now](const waiting_request& item) {
        return std::tuple(item.latestPlaceAt() < now, item.urgency(), item.arrivedAt());
    };
    return rank(a) < rank(b);
}

bool waiting_room::mustWaitBehind(const waiting_request& request) const
{
    const base::time_point now = m_clock.now();
    return std::ranges::any_of(m_waiting, [&](const waiting_request* other) {
        return other->service() == request.service() && other->size() <= request.size()
            && goesBefore(*other, request, now);
    });
}

void waiting_room::pumpSoon()
{
    if (m_waiting.empty() || std::exchange(m_soon, true))
        return;
    m_timers.runAfter(base::duration::zero(), [this] {
        m_soon = false;
        pump();
    });
}

void waiting_room::pump()
{
    std::vector<waiting_request*> order = std::exchange(m_waiting, {});
    // One time for all comparisons: an order that changes while it is sorted by makes the sort read outside.
    const base::time_point now = m_clock.now();
    std::ranges::stable_sort(order, [now](auto* a, auto* b) { return goesBefore(*a, *b, now); });
    // A request for which there was no room tells that a larger one of its service finds none either.
    std::map<std::string, int, std::less<>> smallestRefused;
    std::vector<waiting_request*> left;
    for (waiting_request* request : order) {
        const auto refused = smallestRefused.find(request->service());
        if (refused == smallestRefused.end() || request->size() < refused->second) {
            const std::string service(request->service());
            const int size = request->size();
            const place_attempt attempt = request->tryPlace();
            if (attempt == place_attempt::Placed)
                continue;
            if (attempt == place_attempt::NoRoom)
                smallestRefused.emplace(service, size).first->second = size;
        }
        if (request->waitsUntil() <= m_clock.now())
            request->giveUp();
        else
            left.push_back(request);
    }
    // Placing a request may have ended others, but not those that wait here: they end by their own timers.
    left.insert(left.end(), m_waiting.begin(), m_waiting.end());
    m_waiting = std::move(left);
    if (m_waiting.empty() || std::exchange(m_planned, true))
        return;
    m_timers.runAfter(m_options.interval, [this] {
        m_planned = false;
        pump();
    });
}

} // namespace marigold::relay
