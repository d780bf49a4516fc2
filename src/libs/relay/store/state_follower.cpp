#include "state_follower.h"

#include <relay/events.h>
#include <relay/log_fields.h>

#include <algorithm>

#include <fmt/ranges.h>

namespace marigold::relay {

namespace {

/// Wait of a poll. The store replies at once, which shows that the path to it works.
constexpr base::duration pollWait = std::chrono::milliseconds(1);

} // namespace

state_follower::state_follower(platform::kv_store& store, const state_decoder& decoder,
    base::scheduler& timers, const base::clock& time, base::random_source& random, const base::event_log& log,
    state_observer& observer, options opts)
    : m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_log(log)
    , m_observer(observer)
    , m_options(std::move(opts))
    , m_backoff(random, { .first = m_options.minRetryDelay, .longest = m_options.maxRetryDelay })
    , m_schedule(time,
          { .process = m_options.process,
              .shortWait = shareOfLimit(m_options.watchDurationShare),
              .sentinelWait = shareOfLimit(m_options.sentinelWaitShare),
              .shortInterval = shareOfLimit(m_options.watchIntervalShare),
              .longInterval = shareOfLimit(m_options.longIntervalShare),
              .trustedFor = shareOfLimit(m_options.trustedShare) })
{
}

void state_follower::start()
{
    readSnapshot();
}

void state_follower::readSnapshot()
{
    m_phase = phase::Snapshot;
    ++m_snapshot;
    m_store.snapshot(
        m_options.prefix, [this, number = ++m_step](base::result<platform::kv_snapshot> snapshot) {
            if (number != m_step)
                return;
            if (!snapshot)
                return callFailed(snapshot.error());
            callSucceeded();
            if (snapshot->revision < m_revision)
                reportOlderState(m_revision, snapshot->revision);
            apply(*snapshot);
            watch();
        });
}

void state_follower::eraRaised()
{
    if (!m_hasState)
        return;
    discardRevision();
    const auto spread = static_cast<std::uint64_t>(shareOfLimit(m_options.rereadSpreadShare).count());
    // A store that refuses calls is not asked sooner for its new era.
    callAt(std::max(m_clock.now() + base::duration(m_random.below(spread + 1)), m_backoff.nextCallAt()));
}

void state_follower::discardRevision()
{
    m_revision = 0;
    m_snapshotRequired = true;
    m_hasStoreLostChanges = true;
    m_polls = 0;
    ++m_snapshot;
    m_schedule.discardPositions();
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
    if (!since || m_clock.now() - *since <= shareOfLimit(reportedShare))
        return;
    m_log.write(events::changeReadLate,
        { { "revision", std::to_string(m_revision) }, { "behind_ms", milliseconds(m_clock.now() - *since) },
            { "polls", std::to_string(m_polls) } });
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
    m_polls = 0;
    m_schedule.replyReceived(platform::positionOf(m_store.era(), m_revision));
    m_schedule.urgentChangeRead();
    m_hasState = true;
    m_snapshotRequired = false;
    std::vector<state_item> present;
    for (const platform::kv_entry& entry : snapshot.entries)
        present.push_back(decode(entry));
    m_observer.replaced(present);
    m_hasStoreLostChanges = false;
}

base::duration state_follower::shareOfLimit(double share) const
{
    return base::duration(
        static_cast<std::int64_t>(share * static_cast<double>(m_options.changeLimit.count())));
}

void state_follower::watch()
{
    m_phase = phase::Watching;
    m_watchBegan = m_clock.now();
    m_readBegan = m_watchBegan;
    m_watchWait = m_schedule.waitLimit();
    m_store.watch(m_options.prefix, m_revision, m_watchWait,
        [this, number = ++m_step, named = m_revision](base::result<platform::kv_watch_batch> batch) {
            if (number != m_step)
                return;
            if (!batch)
                return callFailed(batch.error());
            if (rereadIfOlder(named, batch->revision))
                return;
            callSucceeded();
            apply(*batch, m_clock.now());
            m_phase = phase::Gathering;
            m_timers.runAfter(m_schedule.interval(), [this, number] {
                if (number == m_step)
                    watch();
            });
        });
}

void state_follower::poll()
{
    ++m_polls;
    m_readBegan = m_clock.now();
    m_store.watch(m_options.prefix, m_revision, pollWait,
        [this, began = m_readBegan, number = m_snapshot, named = m_revision](
            base::result<platform::kv_watch_batch> batch) {
            const bool isRetrying = m_phase == phase::Retrying;
            if (number != m_snapshot || (!batch && (m_repliedAt >= began || isRetrying)))
                return;
            if (batch) {
                if (rereadIfOlder(named, batch->revision))
                    return;
                callSucceeded();
                return apply(*batch, began);
            }
            if (batch.error().reason != base::error_reason::NotFound)
                return noteFailure(batch.error());
            callFailed(batch.error());
        });
}

void state_follower::checkWatch()
{
    if (m_phase != phase::Watching && m_phase != phase::Gathering)
        return;
    const bool isWatching = m_phase == phase::Watching;
    const watch_schedule::read_reason reason = m_schedule.mustRead({ .watchBegan = m_watchBegan,
        .watchWait = isWatching ? m_watchWait : base::duration::zero(),
        .lastBegan = m_readBegan,
        .polls = m_polls });
    if (reason == watch_schedule::read_reason::None)
        return;
    if (!isWatching)
        return watch();
    m_log.write(events::watchOverdue,
        { { "reason", std::string(nameOf(reason)) },
            { "waited_ms", milliseconds(m_clock.now() - m_watchBegan) },
            { "polls", std::to_string(m_polls) } });
    poll();
}

void state_follower::apply(const platform::kv_watch_batch& batch, base::time_point asOf)
{
    if (batch.revision < m_revision)
        return;
    // A batch ends with the state at its revision: those of several calls may overlap.
    const bool isNew = batch.revision > m_revision;
    m_revision = batch.revision;
    reportLateChange();
    m_polls = 0;
    m_schedule.replyReceived(platform::positionOf(m_store.era(), m_revision), asOf);
    if (!isNew)
        return;
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

void state_follower::reportOlderState(std::uint64_t named, std::uint64_t replied)
{
    const std::string era = std::to_string(m_store.era());
    m_log.write(events::storeOlder,
        { { "era_before", era }, { "era", era }, { "revision_before", std::to_string(named) },
            { "revision", std::to_string(replied) } });
    discardRevision();
}

bool state_follower::rereadIfOlder(std::uint64_t named, std::uint64_t replied)
{
    if (replied >= named)
        return false;
    reportOlderState(named, replied);
    m_backoff.failed(m_clock.now());
    callAt(m_backoff.nextCallAt());
    return true;
}

void state_follower::callSucceeded()
{
    m_repliedAt = m_clock.now();
    m_backoff.succeeded();
    if (!m_reachable)
        m_log.write(events::storeRegained, { { "revision", std::to_string(m_revision) } });
    m_reachable = true;
}

void state_follower::noteFailure(const base::error& failure)
{
    if (std::exchange(m_reachable, false))
        m_log.write(events::storeLost, { { "message", failure.message } });
}

void state_follower::callFailed(const base::error& failure)
{
    noteFailure(failure);
    // The store has discarded the changes since the last known revision.
    m_snapshotRequired = m_snapshotRequired || failure.reason == base::error_reason::NotFound;
    m_backoff.failed(m_clock.now());
    callAt(m_backoff.nextCallAt());
}

void state_follower::callAt(base::time_point time)
{
    m_phase = phase::Retrying;
    m_timers.runAfter(time - m_clock.now(), [this, number = ++m_step] {
        if (number != m_step)
            return;
        if (m_snapshotRequired)
            readSnapshot();
        else
            watch();
    });
}

} // namespace marigold::relay
