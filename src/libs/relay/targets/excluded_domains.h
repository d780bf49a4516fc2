#pragma once

#include <base/base.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// The failure domains that the operator has taken out of service.
class excluded_domains {
public:
    /// Time for which a domain stays out of service after the platform's store has lost its entry. What the
    /// operator wrote is written again then.
    static constexpr base::duration missingGrace = std::chrono::milliseconds(2300);

    explicit excluded_domains(const base::clock& time)
        : m_clock(time)
    {
    }

    void insert(std::string_view domain) { m_until.insert_or_assign(std::string(domain), listed); }
    void remove(const std::string& domain) { m_until.erase(domain); }

    /// Replaces all domains by \a present. If the store \a hasLostChanges, those that are missing stay out of
    /// service for the grace period.
    void replace(const std::vector<std::string>& present, bool hasLostChanges)
    {
        for (auto& [domain, until] : m_until)
            if (std::ranges::find(present, domain) == present.end() && (hasLostChanges || until == listed))
                until = hasLostChanges ? m_clock.now() + missingGrace : m_clock.now();
        for (const std::string& domain : present)
            insert(domain);
        removeExpired();
    }

    /// Removes the domains whose grace period is over. Returns whether there were any.
    bool removeExpired()
    {
        return std::erase_if(m_until, [now = m_clock.now()](const auto& entry) {
            return entry.second <= now;
        }) > 0;
    }

    std::vector<std::string> list() const
    {
        std::vector<std::string> domains;
        for (const auto& [domain, until] : m_until)
            domains.push_back(domain);
        return domains;
    }

private:
    static constexpr base::time_point listed = base::time_point::max(); ///< The store has an entry.

    const base::clock& m_clock;
    std::map<std::string, base::time_point> m_until;
};

} // namespace marigold::relay
