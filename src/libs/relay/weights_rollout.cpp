#include "weights_rollout.h"

#include "events.h"

#include <algorithm>
#include <array>

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
{
}

void weights_rollout::setNamed(std::string_view model, int version)
{
    int& named = m_named[std::string(model)];
    if (version <= named)
        return;
    named = version;
    step();
}

bool weights_rollout::isOutdated(const target_record& target, std::string* model) const
{
    if (target.registration.draining || target.gone)
        return false;
    for (const auto& [name, version] : target.registration.weightVersions) {
        const auto named = m_named.find(name);
        if (named == m_named.end() || version >= named->second)
            continue;
        *model = name;
        return true;
    }
    return false;
}

std::size_t weights_rollout::mayLoad(std::string_view service) const
{
    std::size_t members = 0;
    for (const auto& [id, target] : m_targets.targets())
        members += target->registration.service == service ? 1 : 0;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(m_options.loadingShare * static_cast<double>(members)));
}

void weights_rollout::stepLater()
{
    if (std::exchange(m_waiting, true))
        return;
    m_timers.runAfter(m_options.pollInterval, [this] {
        m_waiting = false;
        step();
    });
}

void weights_rollout::step()
{
    if (!m_lease.mayOrder()) {
        while (!m_work.empty())
            forget(m_work.begin()->first);
        if (!m_named.empty())
            stepLater();
        return;
    }
    std::erase_if(m_work, [&](const auto& entry) { return !m_targets.targets().contains(entry.first); });
    std::vector<std::shared_ptr<target_record>> byLoad;
    for (const auto& [id, target] : m_targets.targets())
        byLoad.push_back(target);
    // A target with few requests is done soon, and the requests that it would begin go to new weights sooner.
    std::ranges::stable_sort(
        byLoad, {}, [](const auto& target) { return target->own.requests + target->peers.requests; });
    std::map<std::string, std::size_t, std::less<>> loading;
    for (const auto& [id, item] : m_work)
        ++loading[m_targets.targets().find(id)->second->registration.service];
    for (const auto& target : byLoad) {
        const std::string& id = target->registration.id;
        std::string model;
        if (!isOutdated(*target, &model)) {
            forget(id);
            continue;
        }
        const auto known = m_work.find(id);
        if (known != m_work.end()) {
            if (known->second.at == phase::Loading)
                ask(target, model);
            continue;
        }
        std::size_t& busy = loading[target->registration.service];
        if (busy >= mayLoad(target->registration.service))
            continue;
        ++busy;
        m_work[id] = {};
        ask(target, model);
    }
    stepLater();
}

void weights_rollout::forget(const std::string& id)
{
    if (const auto target = m_targets.targets().find(id);
        target != m_targets.targets().end() && m_work.contains(id))
        m_targets.setLoading(*target->second, false);
    m_work.erase(id);
}

void weights_rollout::ask(const std::shared_ptr<target_record>& target, const std::string& model)
{
    m_work[target->registration.id].at = phase::Asking;
    m_control.report(target->registration, [this, target, model](base::result<target_report> report) {
        const auto found = m_work.find(target->registration.id);
        if (found == m_work.end())
            return;
        if (!report) {
            // Its place is for a target that answers; this one is tried again in its turn.
            forget(target->registration.id);
            return;
        }
        reported(target, model, *report);
    });
}

void weights_rollout::reported(
    const std::shared_ptr<target_record>& target, const std::string& model, const target_report& report)
{
    work& item = m_work[target->registration.id];
    item.at = phase::Loading;
    for (const auto& [name, version] : report.weightVersions)
        m_targets.versionSeen(*target, name, version);
    std::string outdated;
    if (!isOutdated(*target, &outdated)) {
        forget(target->registration.id);
        return step();
    }
    const bool pending = item.ordered && m_clock.now() - item.orderedAt < m_options.orderTimeout;
    if (!report.busy && !pending)
        order(target, model, report.ordersAccepted);
}

void weights_rollout::order(
    const std::shared_ptr<target_record>& target, const std::string& model, std::uint64_t ordersBefore)
{
    if (!m_lease.mayOrder())
        return;
    work& item = m_work[target->registration.id];
    item.at = phase::Ordering;
    item.ordered = true;
    item.orderedAt = m_clock.now();
    m_targets.setLoading(*target, true);
    const weights_order wanted { .model = model,
        .version = m_named.at(model),
        .holder = m_options.process,
        .token = m_lease.token(),
        .ordersBefore = ordersBefore };
    m_control.order(target->registration, wanted, [this, target, wanted](base::result<order_answer> answer) {
        m_log.write(events::orderSent,
            { { "target", target->registration.id }, { "model", wanted.model },
                { "version", std::to_string(wanted.version) }, { "token", std::to_string(wanted.token) },
                { "outcome", answer ? std::string(nameOf(*answer)) : answer.error().message } });
        const auto found = m_work.find(target->registration.id);
        if (found != m_work.end())
            found->second.at = phase::Loading;
        if (answer && *answer == order_answer::StaleToken)
            return m_lease.refused();
        if (answer && *answer == order_answer::AlreadyHolds)
            m_targets.versionSeen(*target, wanted.model, wanted.version);
    });
}

} // namespace marigold::relay
