#include "context_follower.h"

#include <algorithm>

namespace marigold::relay {

context_follower::context_follower(
    context_catalog& catalog, context_source& source, base::scheduler& timers, options opts)
    : m_catalog(catalog)
    , m_source(source)
    , m_timers(timers)
    , m_options(opts)
{
}

void context_follower::refresh()
{
    const std::vector<net::endpoint> present = m_catalog.addresses();
    std::erase_if(m_stores,
        [&](const auto& entry) { return std::ranges::find(present, entry.second.address) == present.end(); });
    for (const net::endpoint& address : present) {
        const std::string key = address.text();
        if (m_stores.emplace(key, followed { .address = address }).second)
            ask(key);
    }
}

std::uint64_t context_follower::epochOf(const net::endpoint& store) const
{
    const auto found = m_stores.find(store.text());
    return found == m_stores.end() ? 0 : found->second.epoch;
}

void context_follower::askList(const std::string& key)
{
    const auto found = m_stores.find(key);
    if (found == m_stores.end())
        return;
    m_source.list(found->second.address, [this, key](base::result<context_event_batch> held) {
        const auto store = m_stores.find(key);
        if (store == m_stores.end())
            return;
        if (!held)
            return askLater(key, m_options.retryPause);
        m_catalog.replace(store->second.address, *held);
        store->second.epoch = held->epoch;
        store->second.since = held->next;
        askLater(key, m_options.pause);
    });
}

void context_follower::askLater(const std::string& key, base::duration pause)
{
    m_timers.runAfter(pause, [this, key] { ask(key); });
}

void context_follower::ask(const std::string& key)
{
    const auto found = m_stores.find(key);
    if (found == m_stores.end())
        return;
    m_source.events(found->second.address, found->second.since, m_options.patience,
        [this, key](base::result<context_event_batch> batch) {
            const auto store = m_stores.find(key);
            if (store == m_stores.end())
                return;
            if (!batch && batch.error().reason == base::error_reason::Overloaded)
                return askLater(key, m_options.retryPause);
            if (!batch) {
                // A store that does not answer may have restarted, which empties it.
                m_catalog.forgetAll(store->second.address);
                store->second.since = 0;
                return askLater(key, m_options.retryPause);
            }
            if (batch->lost)
                return askList(key);
            m_catalog.take(store->second.address, *batch);
            // Events of a store that has restarted are numbered anew.
            const bool restarted = store->second.epoch != 0 && store->second.epoch != batch->epoch;
            store->second.since = restarted ? 0 : batch->next;
            store->second.epoch = batch->epoch;
            askLater(key, m_options.pause);
        });
}

} // namespace marigold::relay
