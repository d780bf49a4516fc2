#pragma once

#include "return_schedule.h"

#include <base/base.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::relay {

/// Result of an attempt to dispatch a request.
enum class dispatch_result {
    Dispatched,
    NoCapacity, ///< No target has capacity for the request, nor for a larger one.
    NotReady, ///< The request waits for a resource of its own, such as its context.
};

/// Properties of a request that decide on its place when capacity is short.
struct admission_terms {
    std::string_view team = {};
    std::string_view key = {}; ///< Key of the team with which the request came.
    double weight = 1; ///< Of the team's share; above 0.
    double cost = 1; ///< Capacity time in ms: the time for which the request occupies a whole target.
    std::uint32_t fingerprint = 0; ///< Equal for the attempts of one caller at one request; 0 if unknown.
    return_kind returned = return_kind::None;
    base::time_point deadline = base::time_point::max(); ///< End of the request's time limit.
    bool mayRefuse = true; ///< No target may have run it, and no answer has begun.
};

/// Why and how a queued request is refused before the end of its wait.
struct early_refusal {
    std::string_view reason = {};
    std::size_t position = 0; ///< Requests of its class before it.
    double ahead = 0; ///< Capacity time of these requests in ms.
    double drain = 0; ///< Capacity time that is started per second, in ms.
    base::duration expectedWait { 0 }; ///< Maximum if no end is expected.
    base::duration retryAfter { 0 };
};

/// A request that waits for a target with capacity.
class waiting_request {
public:
    virtual ~waiting_request() = default;

    /// Tries to send the request to a target.
    virtual dispatch_result tryDispatch() = 0;

    /// Called when no target was found until `waitDeadline`; ends the request.
    virtual void waitTimedOut() = 0;
    virtual base::time_point waitDeadline() const = 0;

    /// Service whose targets can run the request.
    virtual std::string_view service() const = 0;

    /// 0 is the most urgent.
    virtual int urgency() const = 0;

    /// Size of the work in any unit that is the same for all requests of a service.
    virtual int size() const = 0;

    virtual base::time_point arrivedAt() const = 0;

    /// Latest time at which the request can be sent to a target and still be answered in time.
    virtual base::time_point dispatchDeadline() const = 0;

    /// Properties that only a `queue_policy` uses.
    virtual admission_terms terms() const { return {}; }

    /// Ends the request because it cannot be served in time; called only if its terms allow it.
    virtual void refuse(const early_refusal&) { }
};

/// Order and early refusals of a `wait_queue`.
class queue_policy {
public:
    virtual ~queue_policy() = default;

    /// Sorts \a queued such that the first is tried first.
    virtual void order(std::vector<waiting_request*>& queued, base::time_point now) = 0;

    /// Returns true if \a arriving, which is of the same service, must not be tried before \a queued.
    virtual bool goesBefore(
        const waiting_request& queued, const waiting_request& arriving, base::time_point now) const = 0;

    /// Returns true if no other request of its service may be tried until \a request has been dispatched.
    virtual bool isHeldFor(const waiting_request& request, base::time_point now) const = 0;

    /// Returns the requests of \a remaining, which are in order and found no capacity, that cannot be served
    /// in time.
    virtual std::vector<std::pair<waiting_request*, early_refusal>> review(
        std::span<waiting_request* const> remaining, base::time_point now)
        = 0;

    /// Called before the refusal of \a request, which was tried once more, to choose when it may return.
    virtual void refused(const waiting_request& request, early_refusal& refusal, base::time_point now) = 0;
};

/// Queue of the requests that cannot be dispatched yet, mostly because no target has capacity. Requests wait
/// here instead of in the queues of single targets, so that a request is bound to a target only when that
/// target can start it. Requests that can still be answered in time go first, then urgent ones, then by
/// arrival, unless a `queue_policy` decides otherwise.
class wait_queue {
public:
    struct options {
        base::duration interval = std::chrono::milliseconds(10);
    };

    wait_queue(base::scheduler& timers, const base::clock& time, options opts);

    /// Sets the policy; null for the default order without early refusals.
    void setPolicy(queue_policy* policy) { m_policy = policy; }

    void add(waiting_request& request);
    void remove(waiting_request& request);

    /// Returns true if \a request must not be dispatched yet, since a queued request of its service precedes
    /// it.
    bool mustWaitBehind(const waiting_request& request) const;

    /// Returns true if a request of \a service is queued.
    bool hasWaiting(std::string_view service) const;

    /// Dispatches the queued requests for which there is capacity, in order. Called periodically while the
    /// queue is not empty.
    void dispatchWaiting();

    /// Calls `dispatchWaiting` after the current callback, for an event that may have freed capacity.
    void scheduleDispatch();

    std::size_t size() const { return m_waiting.size(); }

private:
    static bool precedes(const waiting_request& a, const waiting_request& b, base::time_point now);
    void refuseHopeless(std::vector<waiting_request*>& remaining);
    void scheduleNext();

    base::scheduler& m_timers;
    const base::clock& m_clock;
    options m_options;
    queue_policy* m_policy = nullptr;
    std::vector<waiting_request*> m_waiting;
    bool m_timerScheduled = false;
    bool m_dispatchScheduled = false;
};

} // namespace marigold::relay
