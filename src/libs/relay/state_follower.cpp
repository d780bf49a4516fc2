#include "state_follower.h"

#include "events.h"

#include <algorithm>

namespace marigold::relay {

state_follower::state_follower(platform::kv_store& store, const state_decoder& decoder,
    base::scheduler& timers, const base::clock& time, base::random_source& random, const base::event_log& log,
    state_observer& observer, options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_log(log)
    , m_observer(observer)
    , m_options(std::move(opts))
    , m_backoff(random, { .first = m_options.firstRetry, .longest = m_options.longestRetry })
{
}

void state_follower::start()
{
    readAll();
}

void state_follower::readAll()
{
    m_store.snapshot(m_options.prefix, [this](base::result<platform::kv_snapshot> snapshot) {
        if (!snapshot)
            return failed(snapshot.error());
        answered();
        take(*snapshot);
        watch();
    });
}

state_item state_follower::decode(const platform::kv_entry& entry)
{
    auto item = m_decoder.decode(entry);
    if (item)
        return std::move(*item);
    m_log.write(events::stateRejected, { { "key", entry.key }, { "message", item.error().message } });
    // A target whose entry cannot be read is not to be used; a configuration is not removed by this.
    m_observer.removed(m_decoder.removed(entry.key));
    return {};
}

void state_follower::take(const platform::kv_snapshot& snapshot)
{
    m_revision = snapshot.revision;
    m_known = true;
    m_mustReadAll = false;
    std::vector<state_item> present;
    for (const platform::kv_entry& entry : snapshot.entries)
        present.push_back(decode(entry));
    m_observer.replaced(present);
}

void state_follower::watch()
{
    m_store.watch(m_options.prefix, m_revision, m_options.watchPatience,
        [this](base::result<platform::kv_watch_batch> batch) {
            if (!batch) {
                // The store has forgotten the changes since.
                m_mustReadAll = m_mustReadAll || batch.error().reason == base::error_reason::NotFound;
                return failed(batch.error());
            }
            answered();
            take(*batch);
            m_timers.runAfter(m_options.watchPause, [this] { watch(); });
        });
}

void state_follower::take(const platform::kv_watch_batch& batch)
{
    m_revision = std::max(m_revision, batch.revision);
    for (const std::string& key : batch.removals)
        m_observer.removed(m_decoder.removed(key));
    for (const platform::kv_entry& entry : batch.changes) {
        const state_item item = decode(entry);
        if (!std::holds_alternative<std::monostate>(item))
            m_observer.changed(item);
    }
}

void state_follower::answered()
{
    m_backoff.succeeded();
    if (!m_reachable)
        m_log.write(events::storeRegained, { { "revision", std::to_string(m_revision) } });
    m_reachable = true;
}

void state_follower::failed(const base::error& failure)
{
    if (std::exchange(m_reachable, false))
        m_log.write(events::storeLost, { { "message", failure.message } });
    const base::time_point now = m_clock.now();
    m_backoff.failed(now);
    m_timers.runAfter(m_backoff.openAt() - now, [this] {
        if (m_mustReadAll)
            readAll();
        else
            watch();
    });
}

} // namespace marigold::relay
