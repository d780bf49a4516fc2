#pragma once

#include "order_lease_holder.h"
#include "target_control.h"
#include "target_registry.h"

#include <base/base.h>

#include <map>
#include <string>

namespace marigold::relay {

/// Brings the targets to the newest named weights while this process holds the lease on orders.
///
/// Each order is preceded by a report, whose count of accepted orders makes the order void if another one was
/// accepted in between. Orders state the wanted weights, so that repeating one is harmless.
class weights_rollout {
public:
    struct options {
        std::string process;
        /// Share of a service's targets that are ordered at a time; the others carry the requests meanwhile.
        /// Most of them are ending their runs, so that far fewer load at once.
        double loadingShare = 0.34;
        base::duration pollInterval = std::chrono::milliseconds(150);
        /// An order that shows no effect for this long is given again.
        base::duration orderTimeout = std::chrono::milliseconds(1500);
    };

    weights_rollout(target_registry& targets, order_lease_holder& lease, target_control& control,
        base::scheduler& timers, const base::clock& time, const base::event_log& log, options opts);

    /// Records that \a version of \a model was named.
    void setNamed(std::string_view model, int version);

    /// Takes the next steps; runs by itself while there is something to do.
    void step();

private:
    enum class phase {
        Asking, ///< A report is awaited.
        Ordering,
        Loading,
    };
    struct work {
        phase at = phase::Asking;
        base::time_point orderedAt {};
        bool ordered = false;
    };

    void stepLater();
    void forget(const std::string& id);
    bool isOutdated(const target_record& target, std::string* model) const;
    std::size_t mayLoad(std::string_view service) const;
    void ask(const std::shared_ptr<target_record>& target, const std::string& model);
    void reported(
        const std::shared_ptr<target_record>& target, const std::string& model, const target_report& report);
    void order(
        const std::shared_ptr<target_record>& target, const std::string& model, std::uint64_t ordersBefore);

    target_registry& m_targets;
    order_lease_holder& m_lease;
    target_control& m_control;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    const base::event_log& m_log;
    options m_options;
    std::map<std::string, int, std::less<>> m_named;
    std::map<std::string, work, std::less<>> m_work; ///< By target.
    bool m_waiting = false;
};

} // namespace marigold::relay
