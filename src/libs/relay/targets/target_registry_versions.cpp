#include "target_registry.h"

namespace marigold::relay {

std::size_t target_registry::groupCountOf(std::string_view service) const
{
    const auto count = m_counts.find(service);
    std::size_t targets = count == m_counts.end() ? 0 : static_cast<std::size_t>(count->second);
    // Each group needs targets of both versions.
    if (m_versionPolicy && m_versionPolicy->isShifting(service))
        targets /= 2;
    return m_groups.groupCount(targets);
}

version_lane target_registry::laneOf(const target_registration& registration) const
{
    return m_versionPolicy ? m_versionPolicy->laneOf(registration.service, registration.softwareVersion)
                           : version_lane::Usual;
}

std::string target_registry::groupName(std::string_view service, version_lane lane)
{
    // No name of a service in the configuration contains a line feed that a request could carry.
    return lane == version_lane::Candidate ? std::string(service) + "\ncandidate" : std::string(service);
}

void target_registry::applyVersionPolicy(std::string_view service)
{
    for (const auto& [id, target] : m_targets) {
        if (target->registration.service != service)
            continue;
        m_table.put(infoOf(target->registration));
        assign(*target);
        publishLoad(*target);
    }
}

} // namespace marigold::relay
