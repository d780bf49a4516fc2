#include "target_registry.h"

#include <algorithm>

namespace marigold::relay {

void target_registry::noticeReceived(const target_registration& target, const target_notice& notice)
{
    if (notice.leaving && m_standing.announceLeaving(target)) {
        if (const auto held = m_targets.find(target.id); held != m_targets.end())
            applyStanding(*held->second);
        if (m_noticeObserver.leaves)
            m_noticeObserver.leaves(target);
    }
}

void target_registry::applyStanding(target_record& target)
{
    target.leaving = target.registration.draining || m_standing.isLeaving(target.registration);
    m_table.setState(
        target.index, target.leaving ? routing::target_state::Draining : routing::target_state::Serving);
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
    for (const auto& [id, target] : m_targets) {
        if (target->registration.service != service || !target->assigned)
            continue;
        if (!target->leaving)
            return std::nullopt;
        anyNotice = anyNotice || m_standing.isLeaving(target->registration);
    }
    return anyNotice ? std::optional(base::time_point::max()) : std::nullopt;
}

} // namespace marigold::relay
