#pragma once

#include "order_lease_holder.h"
#include "target_control.h"
#include "weights_changeover.h"
#include <relay/targets/target_registry.h>

#include <base/base.h>

#include <map>
#include <set>
#include <string>

namespace marigold::relay {

/// Brings the targets to the newest wanted weights while this process holds the lease on orders.
///
/// Each order is preceded by a report. The order contains the report's count of accepted orders, which makes
/// it invalid if another order was accepted in between. Orders state the wanted weights, so repeating one
/// is harmless.
class weights_rollout {
public:
    struct options {
        std::string process;
        weights_changeover::options changeover = {};
        base::duration pollInterval = std::chrono::milliseconds(150);
        /// An order without effect is repeated after this time.
        base::duration orderTimeout = std::chrono::milliseconds(1500);
    };

    weights_rollout(target_registry& targets, order_lease_holder& lease, target_control& control,
        base::scheduler& timers, const base::clock& time, const base::event_log& log, options opts);

    /// Records that \a version is the wanted version of \a model.
    void setWantedVersion(std::string_view model, int version);

    /// Starts or continues the loading of outdated targets. Repeats itself while there is work.
    void step();

private:
    enum class load_phase {
        AwaitingReport, ///< The report has been requested.
        Ordering,
        Loading,
    };
    struct load_progress {
        load_phase at = load_phase::AwaitingReport;
        base::time_point orderedAt {};
        bool ordered = false;
    };

    void scheduleStep();
    target_control::notice_handler noticeHandler(const std::shared_ptr<target_record>& target);
    void dropTarget(const std::string& id);
    bool isOutdated(const target_record& target, std::string* model) const;
    /// Returns the ids of the outdated targets that get the next orders.
    std::set<std::string, std::less<>> loadingSoon() const;
    std::size_t maxLoading(std::string_view service) const;
    void requestReport(const std::shared_ptr<target_record>& target, const std::string& model);
    void reportReceived(
        const std::shared_ptr<target_record>& target, const std::string& model, const target_report& report);
    void sendOrder(
        const std::shared_ptr<target_record>& target, const std::string& model, std::uint64_t ordersBefore);

    target_registry& m_targets;
    order_lease_holder& m_lease;
    target_control& m_control;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    const base::event_log& m_log;
    options m_options;
    weights_changeover m_changeover;
    std::map<std::string, int, std::less<>> m_wantedVersions;
    std::map<std::string, load_progress, std::less<>> m_progress; ///< By target.
    bool m_stepScheduled = false;
};

} // namespace marigold::relay
