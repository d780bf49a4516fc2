#include "context_follower.h"

#include <algorithm>

namespace marigold::relay {

context_follower::context_follower(context_catalog& catalog, context_source& source, context_sharing& sharing,
    base::scheduler& timers, const base::clock& time, options opts)
    : m_catalog(catalog)
    , m_source(source)
    , m_sharing(sharing)
    , m_timers(timers)
    , m_clock(time)
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
        if (m_stores.emplace(key, followed { .address = address, .heardAt = m_clock.now() }).second)
            turn(key);
    }
}

context_follower::followed* context_follower::find(const std::string& key)
{
    const auto found = m_stores.find(key);
    return found == m_stores.end() ? nullptr : &found->second;
}

std::uint64_t context_follower::epochOf(const net::endpoint& store) const
{
    const auto found = m_stores.find(store.text());
    return found == m_stores.end() ? 0 : found->second.epoch;
}

void context_follower::turnLater(const std::string& key, base::duration pause)
{
    followed* store = find(key);
    if (!store)
        return;
    // Replaces the turn that was planned before, so that each store has one.
    m_timers.runAfter(pause, [this, key, plan = ++store->plan] {
        const followed* planned = find(key);
        if (planned && planned->plan == plan)
            turn(key);
    });
}

void context_follower::turn(const std::string& key)
{
    const followed* store = find(key);
    if (!store)
        return;
    if (m_sharing.isReader(store->address, m_catalog.simultaneousCalls(store->address)))
        return ask(key, m_options.patience);
    const base::duration silence = m_clock.now() - store->heardAt;
    if (silence >= m_options.toldSilence)
        return ask(key, m_options.shortPatience);
    turnLater(key, std::min(m_options.toldSilence - silence, m_options.retryPause));
}

void context_follower::told(const context_digest& digest)
{
    followed* store = find(digest.store);
    if (!store || store->asking || !m_sharing.knows(digest.process))
        return;
    if (digest.listPiece == 0) {
        m_catalog.replace(store->address, digest.batch);
        store->epoch = digest.batch.epoch;
    } else {
        const bool isSameLife = store->epoch == digest.batch.epoch || store->epoch == 0;
        const bool continues
            = digest.listPiece ? digest.listPiece == store->nextListPiece : digest.since <= store->since;
        if (!isSameLife || !continues)
            return ask(digest.store, m_options.shortPatience);
        if (!digest.listPiece && digest.batch.next < store->since)
            return; // Overtaken by a newer one.
        // Events that are known already are taken again, in their order, which changes nothing.
        m_catalog.take(store->address, digest.batch);
        store->epoch = digest.batch.epoch;
    }
    // Until its last piece has come, a list counts for nothing that events could follow.
    store->since = digest.listEnds ? digest.batch.next : 0;
    store->nextListPiece = digest.listEnds ? 0 : *digest.listPiece + 1;
    store->heardAt = m_clock.now();
}

void context_follower::askList(const std::string& key)
{
    followed* store = find(key);
    if (!store)
        return;
    store->asking = true;
    m_source.list(
        store->address, [this, key, askedAt = m_clock.now()](base::result<context_event_batch> held) {
            followed* store = find(key);
            if (!store)
                return;
            store->asking = false;
            if (!held || m_clock.now() - askedAt > m_options.answerSlack)
                return turnLater(key, m_options.retryPause);
            m_catalog.replace(store->address, *held);
            store->epoch = held->epoch;
            store->since = held->next;
            store->heardAt = m_clock.now();
            m_sharing.share(store->address, m_catalog.simultaneousCalls(store->address), 0, true, *held);
            turnLater(key, m_options.pause);
        });
}

void context_follower::ask(const std::string& key, base::duration patience)
{
    followed* store = find(key);
    if (!store || store->asking)
        return;
    store->asking = true;
    m_source.events(store->address, store->since, patience,
        [this, key, patience, askedAt = m_clock.now()](base::result<context_event_batch> batch) {
            followed* store = find(key);
            if (!store)
                return;
            store->asking = false;
            // After a pause of this process the answer may have been waiting for long: the store may have
            // restarted since, and the answer must count neither here nor at others as heard now.
            if (m_clock.now() - askedAt > patience + m_options.answerSlack)
                return turnLater(key, base::duration::zero());
            if (!batch && batch.error().reason == base::error_reason::Overloaded)
                return turnLater(key, m_options.retryPause);
            if (!batch) {
                // A store that does not answer may have restarted, which empties it.
                m_catalog.forgetAll(store->address);
                store->since = 0;
                return turnLater(key, m_options.retryPause);
            }
            if (batch->lost)
                return askList(key);
            m_catalog.take(store->address, *batch);
            // Events of a store that has restarted are numbered anew.
            const bool restarted = store->epoch != 0 && store->epoch != batch->epoch;
            const std::uint64_t since = store->since;
            store->since = restarted ? 0 : batch->next;
            store->epoch = batch->epoch;
            store->heardAt = m_clock.now();
            const int calls = m_catalog.simultaneousCalls(store->address);
            if (restarted)
                m_sharing.share(store->address, calls, 0, true, { .epoch = batch->epoch });
            else
                m_sharing.share(store->address, calls, since, false, *batch);
            turnLater(key, m_options.pause);
        });
}

} // namespace marigold::relay
