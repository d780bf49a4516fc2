#include "context_reclaimer.h"

#include <relay/events.h>

#include <algorithm>

namespace marigold::relay {

context_reclaimer::context_reclaimer(context_catalog& catalog, const context_follower& follower,
    context_source& source, const order_lease_holder& lease, const target_registry& targets,
    const base::clock& time, const base::event_log& log, options opts)
    : m_catalog(catalog)
    , m_follower(follower)
    , m_source(source)
    , m_lease(lease)
    , m_targets(targets)
    , m_clock(time)
    , m_log(log)
    , m_options(opts)
{
}

bool context_reclaimer::isReplaced(const context_scope& scope)
{
    const auto found = m_completeSince.find(scope.model);
    if (found == m_completeSince.end())
        return false;
    const auto newer = found->second.upper_bound(scope.weightVersion);
    return newer != found->second.end() && m_clock.now() - newer->second >= m_options.freeDelay;
}

void context_reclaimer::sweep()
{
    const std::map<std::string, int> oldestVersions = m_targets.oldestVersions();
    if (m_startedAt == base::time_point {} && !oldestVersions.empty())
        m_startedAt = m_clock.now();
    for (const auto& [model, oldestLoaded] : oldestVersions) {
        const int version = std::max(oldestLoaded, m_targets.oldestVersionInUse(model));
        auto& complete = m_completeSince[model];
        complete.emplace(version, m_clock.now());
        // If a target with older weights has joined, newer versions are no longer complete.
        complete.erase(complete.upper_bound(version), complete.end());
    }
    if (!m_lease.mayOrder() || m_clock.now() - m_startedAt < m_options.startDelay)
        return;
    for (const net::endpoint& store : m_catalog.addresses()) {
        const std::vector<context_key> keys
            = m_catalog.selectParts(store, m_options.maxPartsPerCall, [this](const context_key& key) {
                  const auto scope = context_scope::parse(key.scope);
                  return scope && isReplaced(*scope);
              });
        if (keys.empty())
            continue;
        m_catalog.removeParts(store, keys);
        m_source.free(store, m_follower.epochOf(store), keys,
            [this, store, parts = keys.size()](base::result<void> freed) {
                m_log.write(events::contextFreed,
                    { { "store", store.text() }, { "parts", std::to_string(parts) },
                        { "outcome", freed ? "freed" : freed.error().message } });
            });
    }
}

} // namespace marigold::relay
