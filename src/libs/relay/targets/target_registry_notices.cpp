#include "target_registry.h"

#include <algorithm>
#include <utility>

namespace marigold::relay {

void target_registry::noticeReceived(const target_registration& target, const target_notice& notice)
{
    if (notice.empty())
        return;
    const bool isLeaving = notice.leaving && m_standing.announceLeaving(target);
    const bool isPaused = notice.pause && m_standing.requestPause(target, *notice.pause);
    if (const auto held = m_targets.find(target.id); held != m_targets.end()) {
        applyStanding(*held->second);
        publishLoad(*held->second);
    }
    if (isLeaving && m_noticeObserver.leaves)
        m_noticeObserver.leaves(target);
    if (isPaused && m_noticeObserver.pauses)
        m_noticeObserver.pauses(target, m_standing.pausedUntil(target) - m_clock.now());
}

void target_registry::applyStanding(target_record& target)
{
    target.leaving = target.registration.draining || m_standing.isLeaving(target.registration);
    m_table.setState(
        target.index, target.leaving ? routing::target_state::Draining : routing::target_state::Serving);
    target.requestedPauseUntil = m_standing.pausedUntil(target.registration);
    if (isPaused(target))
        m_nextPauseEnd = std::min(m_nextPauseEnd, target.requestedPauseUntil);
}

bool target_registry::isExcluded(const target_record& target) const
{
    return std::ranges::find(m_excludedDomains, target.registration.failureDomain) != m_excludedDomains.end();
}

void target_registry::endPauses()
{
    if (m_clock.now() < m_nextPauseEnd)
        return;
    m_nextPauseEnd = base::time_point::max();
    for (const auto& [id, target] : m_targets) {
        if (isPaused(*target))
            m_nextPauseEnd = std::min(m_nextPauseEnd, target->requestedPauseUntil);
        else if (std::exchange(target->requestedPauseUntil, {}) != base::time_point {})
            publishLoad(*target);
    }
}

base::time_point target_registry::nextPauseEnd(
    std::string_view service, std::span<const routing::target_index> tried) const
{
    base::time_point next = base::time_point::max();
    if (m_nextPauseEnd == next)
        return next;
    for (const auto& [id, target] : m_targets)
        if (target->registration.service == service && target->assigned && !target->leaving
            && !isExcluded(*target) && isPaused(*target)
            && std::ranges::find(tried, target->index) == tried.end())
            next = std::min(next, target->requestedPauseUntil);
    return next;
}

void target_registry::removeExpiredStanding()
{
    if (m_standing.empty())
        return;
    for (const auto& [id, target] : m_targets)
        m_standing.confirmRegistered(target->registration);
    m_standing.removeExpired();
}

std::optional<base::time_point> target_registry::nextWanted(std::string_view service) const
{
    if (m_standing.empty())
        return std::nullopt;
    bool anyNotice = false;
    base::time_point earliest = base::time_point::max();
    for (const auto& [id, target] : m_targets) {
        if (target->registration.service != service || !target->assigned)
            continue;
        if (target->leaving) {
            anyNotice = anyNotice || m_standing.isLeaving(target->registration);
            continue;
        }
        if (isExcluded(*target))
            continue;
        if (!isPaused(*target))
            return std::nullopt;
        anyNotice = true;
        earliest = std::min(earliest, target->requestedPauseUntil);
    }
    return anyNotice ? std::optional(earliest) : std::nullopt;
}

} // namespace marigold::relay
