#include "target_registry.h"

#include <algorithm>
#include <utility>

namespace marigold::relay {

void target_registry::loadReported(target_record& target, const target_load_report& report)
{
    const bool isUsed = m_options.loadReports == load_report_use::All
        || (m_options.loadReports == load_report_use::WithPace && report.pace);
    if (!isUsed || target.removed)
        return;
    const base::time_point now = m_clock.now();
    // The answer that carries the report counts on both sides.
    target.unseen.report(report.running + report.waiting, target.own.requests, target.peers.requests, now);
    if (report.pace) {
        target.pace.report(*report.pace, now);
        servicePaced(target);
        if (m_paceObserver)
            m_paceObserver(target, *report.pace);
    }
    paceChanged(target);
}

void target_registry::paceReported(std::uint32_t highHash, int pace, base::time_point at)
{
    constexpr unsigned halfBits = 32;
    if (m_options.loadReports == load_report_use::None)
        return;
    const auto isNamed
        = [&](const auto& entry) { return entry != m_byHash.end() && entry->first >> halfBits == highHash; };
    const auto found = m_byHash.lower_bound(static_cast<std::uint64_t>(highHash) << halfBits);
    if (!isNamed(found) || isNamed(std::next(found)))
        return;
    target_record& target = *found->second;
    target.pace.report(pace, at);
    servicePaced(target);
    paceChanged(target);
}

void target_registry::servicePaced(const target_record& target)
{
    if (m_pacedServices.insert(target.registration.service).second && m_firstPaceObserver)
        m_firstPaceObserver(target.registration);
}

void target_registry::paceChanged(target_record& target)
{
    target.isPacePublished = true;
    m_hasPaces = true;
    publishLoad(target);
}

double target_registry::prefillTokensPerSecondOf(const target_record& target) const
{
    const double pace = target.pace.factor(m_clock.now());
    const double own = target.prefillSpeed.expected(pace);
    const auto known = m_prefillSpeed.find(target.registration.service);
    const double common = known == m_prefillSpeed.end() ? 0.0 : known->second.expected(pace);
    if (own <= 0 || common <= 0)
        return std::max(own, common);
    if (!isSpread(target.registration.service))
        return own;
    // The average of few prompts scatters by more than the targets differ.
    const double weight = target.prefillSpeed.weight();
    return weight * own + (1 - weight) * common;
}

void target_registry::refreshPaces()
{
    const base::time_point now = m_clock.now();
    if (!m_hasPaces || now < m_nextPaceRefresh)
        return;
    m_nextPaceRefresh = now + m_options.paceRefresh;
    m_hasPaces = false;
    for (const auto& [id, target] : m_targets) {
        if (!target->isPacePublished)
            continue;
        // Published once more after the last report has expired, at the usual pace.
        target->isPacePublished = target->pace.isKnown(now) || target->unseen.isKnown(now);
        m_hasPaces = m_hasPaces || target->isPacePublished;
        publishLoad(*target);
    }
}

target_load target_registry::knownLoad(const target_record& target) const
{
    target_load all = target.own;
    all += target.peers;
    const int unseen = target.unseen.count(target.peers.requests, m_clock.now());
    if (unseen == 0)
        return all;
    const auto meanOf = [&](const auto& means) {
        const auto known = means.find(target.registration.service);
        return known == means.end() ? std::int64_t { 0 } : static_cast<std::int64_t>(known->second);
    };
    // They have been sent so recently that most wait for their first token.
    all += { .requests = unseen,
        .prefillTokens = unseen * meanOf(m_meanPrefillTokens),
        .tokens = unseen * meanOf(m_meanTokens) };
    return all;
}

double target_registry::plainLimit(const target_record& target) const
{
    // What waits at a slow target waits longer. Its slots are used at any pace.
    const double slots = std::max(target.registration.slots, 1);
    const double pace = std::max(target.pace.factor(m_clock.now()), 1.0);
    return slots * (1 + (m_options.plainOverbooking - 1) / pace);
}

} // namespace marigold::relay
