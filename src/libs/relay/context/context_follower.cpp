#include "context_follower.h"

#include <algorithm>

namespace marigold::relay {

context_follower::context_follower(context_catalog& catalog, context_source& source,
    context_event_distributor& distributor, base::scheduler& timers, const base::clock& time, options opts)
    : m_catalog(catalog)
    , m_source(source)
    , m_distributor(distributor)
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
        if (m_stores.emplace(key, followed_store { .address = address, .lastUpdateAt = m_clock.now() })
                .second)
            poll(key);
    }
}

context_follower::followed_store* context_follower::find(const std::string& key)
{
    const auto found = m_stores.find(key);
    return found == m_stores.end() ? nullptr : &found->second;
}

std::uint64_t context_follower::epochOf(const net::endpoint& store) const
{
    const auto found = m_stores.find(store.text());
    return found == m_stores.end() ? 0 : found->second.epoch;
}

void context_follower::schedulePoll(const std::string& key, base::duration delay)
{
    followed_store* store = find(key);
    if (!store)
        return;
    // Replaces a poll that was scheduled before, so that each store has only one.
    m_timers.runAfter(delay, [this, key, pollGeneration = ++store->pollGeneration] {
        const followed_store* scheduled = find(key);
        if (scheduled && scheduled->pollGeneration == pollGeneration)
            poll(key);
    });
}

void context_follower::poll(const std::string& key)
{
    const followed_store* store = find(key);
    if (!store)
        return;
    if (m_distributor.isReader(store->address, m_catalog.maxConcurrentQueries(store->address)))
        return queryEvents(key, m_options.longPollWait);
    const base::duration timeSinceUpdate = m_clock.now() - store->lastUpdateAt;
    if (timeSinceUpdate >= m_options.digestTimeout)
        return queryEvents(key, m_options.shortPollWait);
    schedulePoll(key, std::min(m_options.digestTimeout - timeSinceUpdate, m_options.retryDelay));
}

std::uint64_t context_follower::beginQuery(followed_store& store)
{
    store.queryInFlight = true;
    return ++store.query;
}

context_follower::followed_store* context_follower::endQuery(const std::string& key, std::uint64_t number)
{
    followed_store* store = find(key);
    if (!store || !store->queryInFlight || store->query != number)
        return nullptr;
    abandonQuery(*store);
    return store;
}

void context_follower::abandonQuery(followed_store& store)
{
    store.queryInFlight = false;
    store.suspectedEpoch = 0;
}

void context_follower::checkOverdue(const std::string& key, std::uint64_t number)
{
    followed_store* store = find(key);
    if (store && store->queryInFlight && store->query == number)
        m_catalog.suspend(store->address);
}

void context_follower::verifyEpoch(followed_store& store, std::uint64_t epoch)
{
    m_catalog.suspend(store.address);
    if (store.queryInFlight && store.suspectedEpoch == epoch)
        return;
    abandonQuery(store);
    store.suspectedEpoch = epoch;
    queryEvents(store.address.text(), m_options.shortPollWait);
}

void context_follower::setEpoch(followed_store& store, std::uint64_t epoch)
{
    if (store.epoch == epoch)
        return;
    store.epoch = epoch;
    // Other processes may still fetch parts that were held before the restart, until they learn of it or
    // their information expires. A part that is being saved again is incomplete.
    m_catalog.delaySaves(store.address, m_catalog.maxAge() + m_options.maxFetchTime);
}

void context_follower::epochReceived(followed_store& store, std::uint64_t epoch)
{
    if (store.epoch == epoch)
        return;
    constexpr std::size_t formerEpochs = 8;
    std::erase(store.formerEpochs, epoch);
    if (store.epoch != 0)
        store.formerEpochs.push_back(store.epoch);
    if (store.formerEpochs.size() > formerEpochs)
        store.formerEpochs.erase(store.formerEpochs.begin());
    setEpoch(store, epoch);
    m_distributor.announceEpoch(store.address, m_catalog.maxConcurrentQueries(store.address), epoch);
}

void context_follower::digestReceived(const context_digest& digest)
{
    followed_store* store = find(digest.store);
    if (!store || !m_distributor.isKnownProcess(digest.process))
        return;
    const bool isSameIncarnation = store->epoch == digest.batch.epoch || store->epoch == 0;
    const bool isFormerIncarnation
        = std::ranges::find(store->formerEpochs, digest.batch.epoch) != store->formerEpochs.end();
    if (isFormerIncarnation || (isSameIncarnation && store->queryInFlight))
        return;
    const bool isReader
        = m_distributor.isReader(store->address, m_catalog.maxConcurrentQueries(store->address));
    if (!isSameIncarnation && (isReader || digest.chunkNumber != 0))
        return verifyEpoch(*store, digest.batch.epoch);
    if (digest.chunkNumber == 0) {
        if (store->queryInFlight) {
            abandonQuery(*store);
            schedulePoll(digest.store, m_options.retryDelay);
        }
        m_catalog.replaceParts(store->address, digest.batch);
    } else {
        const bool continues
            = digest.chunkNumber ? digest.chunkNumber == store->nextListChunk : digest.since <= store->since;
        if (!continues)
            return queryEvents(digest.store, m_options.shortPollWait);
        if (!digest.chunkNumber && digest.batch.next < store->since)
            return; // Overtaken by a newer digest.
        // Applying known events again in order changes nothing.
        m_catalog.applyEvents(store->address, digest.batch);
    }
    setEpoch(*store, digest.batch.epoch);
    // A list is complete only with its last chunk; until then, events cannot be applied after it.
    store->since = digest.isLastChunk ? digest.batch.next : 0;
    store->nextListChunk = digest.isLastChunk ? 0 : *digest.chunkNumber + 1;
    store->lastUpdateAt = m_clock.now();
}

void context_follower::queryList(const std::string& key)
{
    followed_store* store = find(key);
    if (!store)
        return;
    const std::uint64_t number = beginQuery(*store);
    m_source.list(store->address,
        [this, key, number, queriedAt = m_clock.now()](base::result<context_event_batch> held) {
            followed_store* store = endQuery(key, number);
            if (!store)
                return;
            if (!held || m_clock.now() - queriedAt > m_options.replyGrace)
                return schedulePoll(key, m_options.retryDelay);
            m_catalog.replaceParts(store->address, *held);
            epochReceived(*store, held->epoch);
            store->since = held->next;
            store->lastUpdateAt = m_clock.now();
            m_distributor.distribute(
                store->address, m_catalog.maxConcurrentQueries(store->address), 0, true, *held);
            schedulePoll(key, m_options.pollInterval);
        });
}

void context_follower::queryEvents(const std::string& key, base::duration waitLimit)
{
    followed_store* store = find(key);
    if (!store || store->queryInFlight)
        return;
    const std::uint64_t number = beginQuery(*store);
    m_timers.runAfter(waitLimit + m_options.overdueAfter, [this, key, number] { checkOverdue(key, number); });
    m_source.events(store->address, store->since, waitLimit,
        [this, key, number, waitLimit, queriedAt = m_clock.now()](base::result<context_event_batch> batch) {
            followed_store* store = endQuery(key, number);
            if (!store)
                return;
            // After a pause of this process the reply may be old and the store may have restarted since, so
            // the reply must not count as current information, neither here nor at other processes.
            if (m_clock.now() - queriedAt > waitLimit + m_options.replyGrace)
                return schedulePoll(key, base::duration::zero());
            if (!batch && batch.error().reason == base::error_reason::Overloaded)
                return schedulePoll(key, m_options.retryDelay);
            if (!batch) {
                // An unreachable store may have restarted, which empties it.
                m_catalog.invalidate(store->address);
                store->since = 0;
                return schedulePoll(key, m_options.retryDelay);
            }
            if (batch->lost) {
                if (store->epoch != batch->epoch)
                    m_catalog.invalidate(store->address);
                epochReceived(*store, batch->epoch);
                return queryList(key);
            }
            m_catalog.applyEvents(store->address, *batch);
            // A restarted store numbers its events from the start.
            const bool restarted = store->epoch != 0 && store->epoch != batch->epoch;
            const std::uint64_t since = store->since;
            store->since = restarted ? 0 : batch->next;
            epochReceived(*store, batch->epoch);
            store->lastUpdateAt = m_clock.now();
            const int calls = m_catalog.maxConcurrentQueries(store->address);
            if (restarted)
                m_distributor.distribute(store->address, calls, 0, true, { .epoch = batch->epoch });
            else
                m_distributor.distribute(store->address, calls, since, false, *batch);
            schedulePoll(key, m_options.pollInterval);
        });
}

} // namespace marigold::relay
