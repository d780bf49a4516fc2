#include "state_follower.h"

#include <relay/events.h>
#include <relay/log_fields.h>

#include <algorithm>

#include <fmt/ranges.h>

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
    , m_backoff(random, { .first = m_options.minRetryDelay, .longest = m_options.maxRetryDelay })
    , m_schedule(time,
          { .process = m_options.process,
              .shortWait = shareOfLimit(m_options.watchDurationShare),
              .sentinelWait = shareOfLimit(m_options.sentinelWaitShare),
              .shortInterval = shareOfLimit(m_options.watchIntervalShare),
              .longInterval = shareOfLimit(m_options.longIntervalShare) })
{
}

void state_follower::start()
{
    readSnapshot();
}

void state_follower::readSnapshot()
{
    m_store.snapshot(m_options.prefix, [this](base::result<platform::kv_snapshot> snapshot) {
        if (!snapshot)
            return callFailed(snapshot.error());
        callSucceeded();
        apply(*snapshot);
        watch();
    });
}

state_item state_follower::decode(const platform::kv_entry& entry)
{
    auto item = m_decoder.decode(entry);
    if (item)
        return std::move(*item);
    m_log.write(events::stateRejected, { { "key", entry.key }, { "message", item.error().message } });
    // A target with an invalid entry must not be used. The configuration is not removed by this.
    m_observer.removed(m_decoder.removed(entry.key));
    return {};
}

void state_follower::reportLateChange()
{
    constexpr double reportedShare = 0.25;
    const auto since = m_schedule.urgentSince();
    const int unanswered = std::exchange(m_unanswered, 0);
    if (!since || m_clock.now() - *since <= shareOfLimit(reportedShare))
        return;
    m_log.write(events::changeReadLate,
        { { "revision", std::to_string(m_revision) }, { "behind_ms", milliseconds(m_clock.now() - *since) },
            { "unanswered", std::to_string(unanswered) } });
}

void state_follower::setProcesses(std::span<const std::string_view> processes)
{
    const auto list = [this] { return fmt::format("{}", fmt::join(m_schedule.sentinels(), ",")); };
    const std::string before = list();
    m_schedule.setProcesses(processes);
    const std::string now = list();
    if (now != before)
        m_log.write(events::sentinelsChanged,
            { { "sentinels", now }, { "self", m_schedule.isSentinel() ? "yes" : "no" },
                { "processes", std::to_string(processes.size()) } });
}

void state_follower::apply(const platform::kv_snapshot& snapshot)
{
    m_revision = snapshot.revision;
    reportLateChange();
    m_schedule.replyReceived(m_revision);
    m_schedule.urgentChangeRead();
    m_hasState = true;
    m_snapshotRequired = false;
    std::vector<state_item> present;
    for (const platform::kv_entry& entry : snapshot.entries)
        present.push_back(decode(entry));
    m_observer.replaced(present);
}

base::duration state_follower::shareOfLimit(double share) const
{
    return base::duration(
        static_cast<std::int64_t>(share * static_cast<double>(m_options.changeLimit.count())));
}

void state_follower::watch()
{
    m_isWatching = true;
    m_isWaiting = true;
    ++m_unanswered;
    m_watchBegan = m_clock.now();
    m_store.watch(m_options.prefix, m_revision, m_schedule.waitLimit(),
        [this, number = ++m_watch](base::result<platform::kv_watch_batch> batch) {
            if (number != m_watch)
                return;
            m_isWaiting = false;
            if (!batch) {
                m_isWatching = false;
                // The store has discarded the changes since the last known revision.
                m_snapshotRequired
                    = m_snapshotRequired || batch.error().reason == base::error_reason::NotFound;
                return callFailed(batch.error());
            }
            callSucceeded();
            apply(*batch);
            m_timers.runAfter(m_schedule.interval(), [this, number] {
                if (number == m_watch)
                    watch();
            });
        });
}

void state_follower::checkWatch()
{
    using read_reason = watch_schedule::read_reason;
    const read_reason reason = m_isWatching ? m_schedule.mustRead(m_watchBegan) : read_reason::None;
    if (reason == read_reason::None)
        return;
    if (m_isWaiting)
        m_log.write(events::watchOverdue,
            { { "reason", std::string(nameOf(reason)) },
                { "waited_ms", milliseconds(m_clock.now() - m_watchBegan) },
                { "unanswered", std::to_string(m_unanswered) } });
    watch();
}

void state_follower::apply(const platform::kv_watch_batch& batch)
{
    m_revision = std::max(m_revision, batch.revision);
    reportLateChange();
    m_schedule.replyReceived(m_revision);
    bool isUrgent = !batch.removals.empty();
    for (const std::string& key : batch.removals)
        m_observer.removed(m_decoder.removed(key));
    for (const platform::kv_entry& entry : batch.changes) {
        const state_item item = decode(entry);
        if (std::holds_alternative<std::monostate>(item))
            continue;
        isUrgent = isUrgent || m_observer.isUrgent(item);
        m_observer.changed(item);
    }
    if (isUrgent)
        m_schedule.urgentChangeRead();
}

void state_follower::callSucceeded()
{
    m_backoff.succeeded();
    if (!m_reachable)
        m_log.write(events::storeRegained, { { "revision", std::to_string(m_revision) } });
    m_reachable = true;
}

void state_follower::callFailed(const base::error& failure)
{
    if (std::exchange(m_reachable, false))
        m_log.write(events::storeLost, { { "message", failure.message } });
    const base::time_point now = m_clock.now();
    m_backoff.failed(now);
    m_timers.runAfter(m_backoff.nextCallAt() - now, [this] {
        if (m_snapshotRequired)
            readSnapshot();
        else
            watch();
    });
}

} // namespace marigold::relay
