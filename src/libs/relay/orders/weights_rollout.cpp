#include "weights_rollout.h"

#include <relay/events.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace marigold::relay {

std::string_view nameOf(order_answer answer)
{
    constexpr std::array<std::string_view, 6> names { "accepted", "already_holds", "conflict", "stale_token",
        "other_target", "invalid" };
    return names[static_cast<std::size_t>(answer)];
}

weights_rollout::weights_rollout(target_registry& targets, order_lease_holder& lease, target_control& control,
    base::scheduler& timers, const base::clock& time, const base::event_log& log, options opts)
    : m_targets(targets)
    , m_lease(lease)
    , m_control(control)
    , m_timers(timers)
    , m_clock(time)
    , m_log(log)
    , m_options(std::move(opts))
    , m_changeover(m_options.changeover)
{
}

void weights_rollout::setWantedVersion(std::string_view model, int version)
{
    int& wanted = m_wantedVersions[std::string(model)];
    if (version <= wanted)
        return;
    wanted = version;
    step();
}

bool weights_rollout::isOutdated(const target_record& target, std::string* model) const
{
    if (target.leaving || target.removed)
        return false;
    for (const auto& [name, version] : target.registration.weightVersions) {
        const auto wanted = m_wantedVersions.find(name);
        if (wanted == m_wantedVersions.end() || version >= wanted->second)
            continue;
        *model = name;
        return true;
    }
    return false;
}

std::size_t weights_rollout::maxLoading(std::string_view service) const
{
    std::size_t members = 0;
    for (const auto& [id, target] : m_targets.targets())
        members += target->registration.service == service ? 1 : 0;
    return m_changeover.maxLoading(members);
}

std::set<std::string, std::less<>> weights_rollout::loadingSoon() const
{
    struct service_targets {
        std::size_t all = 0;
        int wanted = 0;
        std::vector<weights_changeover::outdated_target> outdated;
    };
    std::map<std::string_view, service_targets> services;
    for (const auto& [id, target] : m_targets.targets()) {
        service_targets& service = services[target->registration.service];
        ++service.all;
        std::string model;
        if (!isOutdated(*target, &model))
            continue;
        service.wanted = std::max(service.wanted, m_wantedVersions.at(model));
        service.outdated.push_back(
            { .id = target->hash, .version = target->registration.weightVersions.at(model) });
    }
    std::vector<std::uint64_t> next;
    for (const auto& [name, service] : services)
        std::ranges::copy(m_changeover.loadingSoon(service.outdated, service.all, service.wanted),
            std::back_inserter(next));
    std::ranges::sort(next);
    std::set<std::string, std::less<>> soon;
    for (const auto& [id, target] : m_targets.targets())
        if (std::ranges::binary_search(next, target->hash))
            soon.insert(id);
    return soon;
}

void weights_rollout::scheduleStep()
{
    if (std::exchange(m_stepScheduled, true))
        return;
    m_timers.runAfter(m_options.pollInterval, [this] {
        m_stepScheduled = false;
        step();
    });
}

void weights_rollout::step()
{
    if (!m_lease.mayOrder()) {
        while (!m_progress.empty())
            dropTarget(m_progress.begin()->first);
        if (!m_wantedVersions.empty())
            scheduleStep();
        return;
    }
    std::erase_if(m_progress, [&](const auto& entry) { return !m_targets.targets().contains(entry.first); });
    std::vector<std::shared_ptr<target_record>> byLoad;
    for (const auto& [id, target] : m_targets.targets())
        byLoad.push_back(target);
    // Of the targets that load soon, one with few requests can begin first. One that has asked for a pause
    // comes last; orders to it don't wait for its end, since other processes still use it.
    std::ranges::stable_sort(byLoad, {}, [this](const auto& target) {
        return std::pair(m_targets.isPaused(*target), target->own.requests + target->peers.requests);
    });
    const std::set<std::string, std::less<>> soon = loadingSoon();
    std::map<std::string, std::size_t, std::less<>> loading;
    for (const auto& [id, item] : m_progress)
        ++loading[m_targets.targets().find(id)->second->registration.service];
    for (const auto& target : byLoad) {
        const std::string& id = target->registration.id;
        std::string model;
        if (!isOutdated(*target, &model)) {
            dropTarget(id);
            continue;
        }
        const auto known = m_progress.find(id);
        if (known != m_progress.end()) {
            if (known->second.at == load_phase::Loading)
                requestReport(target, model);
            continue;
        }
        std::size_t& busy = loading[target->registration.service];
        if (busy >= maxLoading(target->registration.service)
            || (m_changeover.isGradual() && !soon.contains(id)))
            continue;
        ++busy;
        m_progress[id] = {};
        requestReport(target, model);
    }
    scheduleStep();
}

void weights_rollout::dropTarget(const std::string& id)
{
    if (const auto target = m_targets.targets().find(id);
        target != m_targets.targets().end() && m_progress.contains(id))
        m_targets.setLoading(*target->second, false);
    m_progress.erase(id);
}

void weights_rollout::requestReport(const std::shared_ptr<target_record>& target, const std::string& model)
{
    m_progress[target->registration.id].at = load_phase::AwaitingReport;
    const auto reported = [this, target, model](base::result<target_report> report) {
        const auto found = m_progress.find(target->registration.id);
        if (found == m_progress.end())
            return;
        if (!report) {
            // Frees the slot for a target that replies; this target is retried in a later step.
            dropTarget(target->registration.id);
            return;
        }
        reportReceived(target, model, *report);
    };
    m_control.report(target->registration, noticeHandler(target), reported);
}

target_control::notice_handler weights_rollout::noticeHandler(const std::shared_ptr<target_record>& target)
{
    return [this, target](
               const target_notice& notice) { m_targets.noticeReceived(target->registration, notice); };
}

void weights_rollout::reportReceived(
    const std::shared_ptr<target_record>& target, const std::string& model, const target_report& report)
{
    load_progress& item = m_progress[target->registration.id];
    item.at = load_phase::Loading;
    for (const auto& [name, version] : report.weightVersions)
        m_targets.observeVersion(*target, name, version);
    std::string outdated;
    if (!isOutdated(*target, &outdated)) {
        dropTarget(target->registration.id);
        return step();
    }
    const bool pending = item.ordered && m_clock.now() - item.orderedAt < m_options.orderTimeout;
    if (!report.busy && !pending)
        sendOrder(target, model, report.ordersAccepted);
}

void weights_rollout::sendOrder(
    const std::shared_ptr<target_record>& target, const std::string& model, std::uint64_t ordersBefore)
{
    if (!m_lease.mayOrder())
        return;
    load_progress& item = m_progress[target->registration.id];
    item.at = load_phase::Ordering;
    item.ordered = true;
    item.orderedAt = m_clock.now();
    m_targets.setLoading(*target, true);
    const weights_order newOrder { .model = model,
        .version = m_wantedVersions.at(model),
        .holder = m_options.process,
        .token = m_lease.token(),
        .ordersBefore = ordersBefore };
    m_control.order(target->registration, newOrder, noticeHandler(target),
        [this, target, newOrder](base::result<order_answer> answer) {
            m_log.write(events::orderSent,
                { { "target", target->registration.id }, { "model", newOrder.model },
                    { "version", std::to_string(newOrder.version) },
                    { "token", std::to_string(newOrder.token) },
                    { "outcome", answer ? std::string(nameOf(*answer)) : answer.error().message } });
            const auto found = m_progress.find(target->registration.id);
            if (found != m_progress.end())
                found->second.at = load_phase::Loading;
            if (answer && *answer == order_answer::StaleToken)
                return m_lease.tokenRejected();
            if (answer && *answer == order_answer::AlreadyHolds)
                m_targets.observeVersion(*target, newOrder.model, newOrder.version);
        });
}

} // namespace marigold::relay
