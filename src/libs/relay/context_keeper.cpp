#include "context_keeper.h"

#include "events.h"

#include <algorithm>

namespace marigold::relay {

context_keeper::context_keeper(context_catalog& catalog, const context_follower& follower,
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

bool context_keeper::isReplaced(const context_scope& scope)
{
    const auto found = m_complete.find(scope.model);
    if (found == m_complete.end())
        return false;
    const auto newer = found->second.upper_bound(scope.weightVersion);
    return newer != found->second.end() && m_clock.now() - newer->second >= m_options.settle;
}

void context_keeper::sweep()
{
    for (const auto& [model, version] : m_targets.oldestVersions()) {
        auto& complete = m_complete[model];
        complete.emplace(version, m_clock.now());
        // A target that joined with older weights makes the newer ones incomplete.
        complete.erase(complete.upper_bound(version), complete.end());
    }
    if (!m_lease.mayOrder())
        return;
    for (const net::endpoint& store : m_catalog.addresses()) {
        const std::vector<context_key> keys
            = m_catalog.select(store, m_options.partsPerCall, [this](const context_key& key) {
                  const auto scope = context_scope::parse(key.scope);
                  return scope && isReplaced(*scope);
              });
        if (keys.empty())
            continue;
        m_catalog.forget(store, keys);
        m_source.free(store, m_follower.epochOf(store), keys,
            [this, store, parts = keys.size()](base::result<void> freed) {
                m_log.write(events::contextFreed,
                    { { "store", store.text() }, { "parts", std::to_string(parts) },
                        { "outcome", freed ? "freed" : freed.error().message } });
            });
    }
}

} // namespace marigold::relay
