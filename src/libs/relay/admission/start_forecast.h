#pragma once

#include "decayed_sum.h"

#include <base/base.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Estimates when a queued request can start, from the capacity time (see docs/design/admission.md) of the
/// queue and from the rate at which requests were started while others waited. Requests are counted by
/// class, which is a service and an urgency.
class start_forecast {
public:
    using class_id = std::uint32_t;

    struct options {
        base::duration window = std::chrono::seconds(1);
        /// Shorter times with a queue give no estimate.
        base::duration minQueued = std::chrono::milliseconds(300);
        /// The same for the statement that more arrives than starts. While a queue exists, arrivals outnumber
        /// starts by chance, too.
        base::duration minOverload = std::chrono::milliseconds(600);
        double minStarts = 8; ///< Fewer starts of the service within the window give no estimate.
        /// Mean requests that are added to the measured starts, so that little evidence is taken
        /// optimistically.
        double addedStarts = 2;
        base::duration peerTimeout = std::chrono::milliseconds(1500);
    };

    /// Figures of one class, as exchanged between relays.
    struct class_load {
        class_id id = 0;
        double queued = 0; ///< Capacity time of the queue, in ms.
        double drain = 0; ///< Capacity time started per second while there is a queue, in ms.
    };

    explicit start_forecast(options opts);

    /// Returns the id of a class.
    class_id classOf(std::string_view service, int urgency);

    void requestArrived(class_id id, double cost, base::time_point now);
    void requestStarted(class_id id, double cost, base::time_point now);

    /// Sets the capacity time of the queue by class; a class that is absent has no queue.
    void setQueued(const std::unordered_map<class_id, double>& queued, base::time_point now);

    /// Replaces the figures of the peer \a process.
    void setPeer(std::string_view process, const std::vector<class_load>& loads, base::time_point now);

    /// Returns the expected wait of a request of class \a id with \a ahead ms of capacity time before it;
    /// none without enough measurements.
    std::optional<base::duration> waitInTurn(class_id id, double ahead, base::time_point now) const;

    /// Returns the expected wait until a queue of \a queued ms of capacity time is empty although requests
    /// continue to arrive; `base::duration::max()` if it is not going to be empty, none without enough
    /// measurements.
    std::optional<base::duration> waitForLeftover(class_id id, double queued, base::time_point now) const;

    /// Returns the capacity time that this process starts per second for class \a id, in ms; 0 if unknown.
    double drain(class_id id, base::time_point now) const;

    /// Returns the classes of this process that have a queue or had one within the window.
    std::vector<class_load> shortClasses(base::time_point now) const;

    /// Returns the service and the urgency of a class as text, for operators.
    std::string nameOf(class_id id) const;

    /// Returns true if a class of \a service has had a queue within the window.
    bool isShort(std::string_view service, base::time_point now) const;

private:
    struct class_state {
        std::string service;
        int urgency = 0;
        double queued = 0;
        base::time_point updatedAt {};
        decayed_sum started;
        decayed_sum arrived;
        decayed_sum queuedSeconds;
        double meanCost = 0;
    };
    struct peer_state {
        base::time_point at {};
        std::vector<class_load> loads;
    };

    class_state* find(class_id id);
    const class_state* find(class_id id) const;
    double drainOf(const class_state& state, base::time_point now) const;
    bool isKnown(const class_state& state, base::duration minimum, base::time_point now) const;

    options m_options;
    std::map<std::string, std::map<int, class_id>, std::less<>> m_ids;
    std::unordered_map<class_id, class_state> m_classes;
    std::map<std::string, decayed_sum, std::less<>> m_starts; ///< By service.
    std::map<std::string, peer_state, std::less<>> m_peers;
};

} // namespace marigold::relay
