#pragma once

#include <base/base.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// How an attempt to find a place for a request went.
enum class place_attempt {
    Placed,
    NoRoom, ///< No target has room for the request; a larger one finds none either.
    NotReady, ///< The request waits for something of its own.
};

/// A request that waits for a place at a target.
class waiting_request {
public:
    virtual ~waiting_request() = default;

    /// Tries to find a place.
    virtual place_attempt tryPlace() = 0;

    /// Ends the request, which has waited until `waitsUntil` in vain.
    virtual void giveUp() = 0;
    virtual base::time_point waitsUntil() const = 0;

    /// Service whose targets it waits for.
    virtual std::string_view service() const = 0;

    /// 0 is the most urgent.
    virtual int urgency() const = 0;

    /// Size of the work in any unit that is the same for all requests of a service.
    virtual int size() const = 0;

    virtual base::time_point arrivedAt() const = 0;

    /// When it must have a target to be answered in time.
    virtual base::time_point latestPlaceAt() const = 0;
};

/// Requests that wait until a target has room, instead of in the queues of single targets: a request binds to
/// a target only when that target can begin it, urgent ones go first, and in a burst those that can still be
/// answered in time go before those that cannot.
class waiting_room {
public:
    struct options {
        base::duration interval = std::chrono::milliseconds(10);
    };

    waiting_room(base::scheduler& timers, const base::clock& time, options opts);

    void add(waiting_request& request);
    void remove(waiting_request& request);

    /// Returns true if \a request must not be placed yet, since another one of its service goes first.
    bool mustWaitBehind(const waiting_request& request) const;

    /// Places the requests that find room, in their order; runs by itself while any wait.
    void pump();

    /// As `pump`, after the present callback; for an event that may have made room.
    void pumpSoon();

    std::size_t size() const { return m_waiting.size(); }

private:
    static bool goesBefore(const waiting_request& a, const waiting_request& b, base::time_point now);

    base::scheduler& m_timers;
    const base::clock& m_clock;
    options m_options;
    std::vector<waiting_request*> m_waiting;
    bool m_planned = false;
    bool m_soon = false;
};

} // namespace marigold::relay
