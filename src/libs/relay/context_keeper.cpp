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
    return found != m_complete.end() && scope.weightVersion < found->second.version
        && m_clock.now() - found->second.since >= m_options.settle;
}

void context_keeper::sweep()
{
    for (const auto& [model, version] : m_targets.oldestVersions()) {
        complete_version& complete = m_complete[model];
        if (complete.version != version)
            complete = { .version = version, .since = m_clock.now() };
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
