#pragma once

#include "state_decoder.h"
#include "watch_schedule.h"

#include <base/base.h>
#include <outcome/outcome.h>

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Receives changes of the platform's store.
class state_observer {
public:
    virtual ~state_observer() = default;

    virtual void changed(const state_item& item) = 0;
    virtual void removed(const state_item& item) = 0;

    /// Returns whether \a item, which is not applied yet, must be known at once.
    virtual bool isUrgent(const state_item&) const { return true; }

    /// The complete state was read again; entries that are not in \a present have been removed.
    virtual void replaced(const std::vector<state_item>& present) = 0;
};

/// Follows the state in the platform's store: reads a snapshot, then watches it, and reads another snapshot
/// if the store has discarded the changes in between. While the store is unreachable, the last known state
/// stays in force.
class state_follower {
public:
    struct options {
        /// Time within which a change must be in force.
        base::duration changeLimit = std::chrono::seconds(2);
        /// Share of that time between two watches, which batches changes: each watch is a billed call, and
        /// with many targets there is always a change.
        double watchIntervalShare = 0.15;
        /// The same while other processes tell which changes must not wait.
        double longIntervalShare = 0.6;
        /// A watch may stop delivering changes without an error, for example on a dead connection. It is
        /// therefore renewed after this share of the time, so that the next one delivers the change in time,
        /// unless other processes tell which changes there are.
        double watchDurationShare = 0.65;
        double sentinelWaitShare = 0.25; ///< The same for a process that watches for the others.
        /// Share of that time for which the state is trusted without a reply of the store, be it to this
        /// process or to a sentinel. The rest is for the polls that follow.
        double trustedShare = 0.55;
        std::string process = {};
        base::duration minRetryDelay = std::chrono::milliseconds(100);
        base::duration maxRetryDelay = std::chrono::milliseconds(400);
        /// Share of the time limit over which the processes of a fleet spread their reads of the complete
        /// state after the store has begun a new era, since one read takes several calls.
        double rereadSpreadShare = 0.1;
        std::string prefix = {}; ///< Prefix of the keys to follow; empty for all.
    };

    state_follower(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, base::random_source& random, const base::event_log& log,
        state_observer& observer, options opts);

    void start();

    /// Reads the complete state again, since the store has begun a higher era: it may lack what was read, and
    /// gives out the same revisions again. Calls that have had no reply are replaced.
    void eraRaised();

    /// Decides which processes watch for the others.
    watch_schedule& schedule() { return m_schedule; }

    /// Sets the ids of the registered processes.
    void setProcesses(std::span<const std::string_view> processes);

    /// Polls the store beside the watch if the schedule requires it. To be called periodically.
    void checkWatch();

    /// Returns true if a snapshot has been read.
    bool hasState() const { return m_hasState; }

    /// Returns the revision of the store up to which this process has read; 0 if it has not read the present
    /// era.
    std::uint64_t revision() const { return m_revision; }

    /// Returns true if the store has begun a higher era, or gone back, and the complete state has not been
    /// delivered since.
    bool hasStoreLostChanges() const { return m_hasStoreLostChanges; }

    /// Returns true if the latest call succeeded.
    bool isReachable() const { return m_reachable; }

private:
    /// What the follower waits for.
    enum class phase {
        Snapshot, ///< The reply to a snapshot.
        Watching, ///< The reply to a watch.
        Gathering, ///< The end of the time in which changes gather before the next watch.
        Retrying, ///< The end of the pause after a failed call, or before the state is read again.
    };

    base::duration shareOfLimit(double share) const;
    void readSnapshot();
    void apply(const platform::kv_snapshot& snapshot);
    void watch();
    void poll();
    /// Applies \a batch unless a later one has been applied. It states what the store had at \a asOf.
    void apply(const platform::kv_watch_batch& batch, base::time_point asOf);
    void reportLateChange();
    /// Logs a reply with a lower revision than \a named, that of its call, and discards what was read.
    void reportOlderState(std::uint64_t named, std::uint64_t replied);
    /// Reads the complete state again if the store has \a replied with a lower revision than \a named, that
    /// of the call. Returns whether it has.
    bool rereadIfOlder(std::uint64_t named, std::uint64_t replied);
    /// Gives up what is known of the store's revisions and of calls that have had no reply.
    void discardRevision();
    /// Makes the next call at \a time.
    void callAt(base::time_point time);
    void callFailed(const base::error& failure);
    void noteFailure(const base::error& failure);
    void callSucceeded();
    state_item decode(const platform::kv_entry& entry);

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    state_observer& m_observer;
    options m_options;
    outcome::call_backoff m_backoff;
    watch_schedule m_schedule;
    phase m_phase = phase::Snapshot;
    /// Number of the latest snapshot, watch or pause; those before it have been replaced.
    std::uint64_t m_step = 0;
    std::uint64_t m_snapshot = 0; ///< Number of the latest snapshot.
    base::time_point m_watchBegan {};
    base::duration m_watchWait { 0 };
    base::time_point m_readBegan {}; ///< Of the latest watch or poll.
    base::time_point m_repliedAt {};
    int m_polls = 0; ///< Polls since the last reply.
    std::uint64_t m_revision = 0;
    bool m_hasState = false;
    bool m_reachable = true;
    bool m_snapshotRequired = true;
    bool m_hasStoreLostChanges = false;
};

} // namespace marigold::relay
