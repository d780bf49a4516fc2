#include "context_catalog.h"

#include <algorithm>
#include <cmath>

namespace marigold::relay {

namespace {

/// Returns the score of a store for a part by weighted rendezvous hashing (Schindelhain and Schomaker 2005).
double weightedScore(std::string_view partId, std::string_view store, double weight)
{
    const auto hash = static_cast<double>(base::rendezvousScore(partId, store));
    const double uniform = (hash + 1.0) / 18446744073709551617.0;
    return -weight / std::log(std::min(uniform, 1.0 - 1e-16));
}

} // namespace

context_catalog::context_catalog(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
{
}

void context_catalog::setConfig(const relay_config& config)
{
    std::map<std::string, store_record, std::less<>> stores;
    for (const auto& [name, service] : config.services()) {
        if (service.engine && service.engine->tokenBytes > 0)
            m_tokenBytes = service.engine->tokenBytes;
        if (!service.store)
            continue;
        const std::string address = service.store->address.text();
        auto known = m_stores.find(address);
        store_record record = known == m_stores.end() ? store_record {} : std::move(known->second);
        record.name = name;
        record.info = *service.store;
        stores.emplace(address, std::move(record));
    }
    m_stores = std::move(stores);
}

std::array<context_catalog::store_record*, 2> context_catalog::ownersOf(std::string_view partId)
{
    std::array<store_record*, 2> owners {};
    std::array<double, 2> scores {};
    for (auto& [address, store] : m_stores) {
        const double score = weightedScore(partId, address, static_cast<double>(store.info.capacityTokens));
        if (!owners[0] || score > scores[0]) {
            owners[1] = std::exchange(owners[0], &store);
            scores[1] = std::exchange(scores[0], score);
        } else if (!owners[1] || score > scores[1]) {
            owners[1] = &store;
            scores[1] = score;
        }
    }
    return owners;
}

context_catalog::cached_part* context_catalog::findComplete(
    store_record& store, const context_key& key, int tokens)
{
    const auto found = store.parts.find(key);
    return found != store.parts.end() && found->second.tokens >= tokens ? &found->second : nullptr;
}

bool context_catalog::hasCapacity(const store_record& store, int tokens) const
{
    const auto limit
        = static_cast<std::int64_t>(m_options.maxFillShare * static_cast<double>(store.info.capacityTokens));
    return store.tokens + tokens <= limit;
}

void context_catalog::applyEvent(store_record& store, const context_event& event)
{
    context_key key { .scope = event.scope, .partId = event.partId };
    m_pendingSaves.erase(key);
    const auto held = store.parts.find(key);
    if (held != store.parts.end()) {
        store.tokens -= held->second.tokens;
        if (!event.stored) {
            store.parts.erase(held);
            return;
        }
    } else if (!event.stored) {
        return;
    }
    store.tokens += event.tokens;
    store.parts[std::move(key)] = { .tokens = event.tokens, .lastUse = m_clock.now() };
}

void context_catalog::applyEvents(const net::endpoint& address, const context_event_batch& batch)
{
    const auto found = m_stores.find(address.text());
    if (found == m_stores.end())
        return;
    store_record& store = found->second;
    if (batch.clockMs)
        m_platformClock.observe(*batch.clockMs, m_clock.now());
    // A missed event may have reported a freed part, which must not be fetched.
    if (batch.epoch != store.epoch || batch.lost)
        clear(store, address.text(), batch.epoch);
    store.lastReceivedAt = m_clock.now();
    store.suspended = false;
    for (const context_event& event : batch.events)
        applyEvent(store, event);
}

void context_catalog::invalidate(const net::endpoint& address)
{
    const auto found = m_stores.find(address.text());
    if (found == m_stores.end())
        return;
    clear(found->second, address.text(), found->second.epoch);
    found->second.suspended = true;
}

void context_catalog::suspend(const net::endpoint& address)
{
    if (const auto found = m_stores.find(address.text()); found != m_stores.end())
        found->second.suspended = true;
}

void context_catalog::delaySaves(const net::endpoint& address, base::duration delay)
{
    if (const auto found = m_stores.find(address.text()); found != m_stores.end())
        found->second.savesFrom = m_clock.now() + delay;
}

bool context_catalog::isUsable(const store_record& store) const
{
    return !store.suspended && m_clock.now() - store.lastReceivedAt <= m_options.maxAge;
}

void context_catalog::replaceParts(const net::endpoint& address, const context_event_batch& held)
{
    const auto found = m_stores.find(address.text());
    if (found == m_stores.end())
        return;
    clear(found->second, address.text(), held.epoch);
    found->second.lastReceivedAt = m_clock.now();
    found->second.suspended = false;
    for (const context_event& part : held.events)
        applyEvent(found->second, part);
}

void context_catalog::clear(store_record& store, const std::string& address, std::uint64_t epoch)
{
    store.parts.clear();
    store.tokens = 0;
    store.epoch = epoch;
    std::erase_if(m_pendingSaves, [&](const auto& entry) { return entry.second.store == address; });
}

base::duration context_catalog::transferTime(const store_record& store, int tokens) const
{
    constexpr double bitsPerByte = 8;
    const double microseconds = tokens * m_tokenBytes * bitsPerByte / std::max(store.info.linkMbps, 1.0);
    return store.info.firstByteLatency + base::duration(static_cast<std::int64_t>(microseconds));
}

context_catalog::transfer_plan context_catalog::plan(
    std::string_view scope, std::span<const prompt_part> parts)
{
    transfer_plan out;
    out.plan.fetchFrom.resize(parts.size());
    out.plan.saveTo.resize(parts.size());
    if (m_stores.empty() || parts.size() < 2)
        return out;
    const base::time_point now = m_clock.now();
    const bool mayFetch = !m_options.mayFetch || m_options.mayFetch();
    bool inPrefix = true;
    base::duration longest { 0 };
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const std::array<store_record*, 2> owners = ownersOf(parts[i].id);
        const context_key key { .scope = std::string(scope), .partId = parts[i].id };
        cached_part* held = nullptr;
        store_record* holder = nullptr;
        for (store_record* owner : owners) {
            if (held || !owner || !isUsable(*owner))
                continue;
            held = findComplete(*owner, key, parts[i].tokens);
            holder = held ? owner : nullptr;
        }
        if (holder && (!mayFetch || !holder->throttle.admits(parts[i].id, now))) {
            inPrefix = false;
            continue;
        }
        if (holder && !holder->window.hasCapacity()) {
            out.sourceBusy = true;
            inPrefix = false;
            continue;
        }
        if (holder) {
            held->lastUse = now;
            out.plan.fetchFrom[i] = holder->info.address;
            if (inPrefix)
                out.cachedTokens += parts[i].tokens;
            const base::duration transfer = transferTime(*holder, parts[i].tokens);
            out.transferTime += transfer;
            if (transfer >= longest) {
                longest = transfer;
                out.mainSource = holder->info.address.text();
            }
            continue;
        }
        inPrefix = false;
        const auto pendingSave = m_pendingSaves.find(key);
        if (pendingSave != m_pendingSaves.end() && pendingSave->second.at + m_options.saveTimeout > now)
            continue;
        const auto saveTarget = std::ranges::find_if(owners, [&](const store_record* owner) {
            return owner && isUsable(*owner) && now >= owner->savesFrom
                && hasCapacity(*owner, parts[i].tokens);
        });
        if (saveTarget != owners.end())
            out.plan.saveTo[i] = (*saveTarget)->info.address;
    }
    return out;
}

void context_catalog::planStarted(
    std::string_view scope, std::span<const prompt_part> parts, const transfer_plan& plan)
{
    const auto& saveTo = plan.plan.saveTo;
    for (std::size_t i = 0; i < saveTo.size(); ++i)
        if (saveTo[i])
            m_pendingSaves[{ .scope = std::string(scope), .partId = parts[i].id }]
                = { .at = m_clock.now(), .store = saveTo[i]->text(), .tokens = parts[i].tokens };
    if (const auto source = m_stores.find(plan.mainSource); source != m_stores.end())
        source->second.window.transferStarted();
}

void context_catalog::planFinished(
    const transfer_plan& plan, std::optional<base::duration> excess, bool wasInTime)
{
    const auto source = m_stores.find(plan.mainSource);
    if (source == m_stores.end())
        return;
    store_record& store = source->second;
    if (!excess)
        return store.window.transferAbandoned();
    const base::time_point now = m_clock.now();
    store.window.transferFinished(*excess, now);
    ++(wasInTime ? store.unreported.inTime : store.unreported.late);
    store.throttle.record(wasInTime ? 1 : 0, wasInTime ? 0 : 1, now);
}

std::vector<fetch_outcomes> context_catalog::takeFetchOutcomes()
{
    std::vector<fetch_outcomes> outcomes;
    for (auto& [address, store] : m_stores) {
        if (store.unreported.inTime + store.unreported.late == 0)
            continue;
        store.unreported.store = base::hash64(address);
        outcomes.push_back(std::exchange(store.unreported, {}));
    }
    return outcomes;
}

void context_catalog::recordFetchOutcomes(std::span<const fetch_outcomes> outcomes)
{
    for (const fetch_outcomes& item : outcomes)
        for (auto& [address, store] : m_stores)
            if (base::hash64(address) == item.store)
                store.throttle.record(std::max(item.inTime, 0), std::max(item.late, 0), m_clock.now());
}

std::vector<context_key> context_catalog::selectParts(const net::endpoint& address, std::size_t limit,
    const std::function<bool(const context_key&)>& wanted) const
{
    std::vector<context_key> keys;
    const auto found = m_stores.find(address.text());
    if (found == m_stores.end())
        return keys;
    for (const auto& [key, part] : found->second.parts) {
        if (keys.size() == limit)
            break;
        if (wanted(key))
            keys.push_back(key);
    }
    return keys;
}

void context_catalog::removeParts(const net::endpoint& address, std::span<const context_key> keys)
{
    const auto found = m_stores.find(address.text());
    if (found == m_stores.end())
        return;
    for (const context_key& key : keys)
        applyEvent(found->second, { .stored = false, .scope = key.scope, .partId = key.partId });
}

std::vector<net::endpoint> context_catalog::addresses() const
{
    std::vector<net::endpoint> out;
    for (const auto& [address, store] : m_stores)
        out.push_back(store.info.address);
    return out;
}

std::int64_t context_catalog::storedTokens(const net::endpoint& address) const
{
    const auto found = m_stores.find(address.text());
    return found == m_stores.end() ? 0 : found->second.tokens;
}

std::int64_t context_catalog::capacityTokens(const net::endpoint& address) const
{
    const auto found = m_stores.find(address.text());
    return found == m_stores.end() ? 0 : found->second.info.capacityTokens;
}

int context_catalog::maxConcurrentQueries(const net::endpoint& address) const
{
    const auto found = m_stores.find(address.text());
    return found == m_stores.end() ? 0 : found->second.info.maxConcurrentQueries;
}

} // namespace marigold::relay
