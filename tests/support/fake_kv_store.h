#pragma once

#include <platform/platform.h>

#include <deque>
#include <map>
#include <vector>

namespace marigold::testing {

/// Faults that a fake service injects into a call.
enum class kv_fault {
    None,
    Unavailable, ///< The call has no effect and fails at once.
    LostRequest, ///< The call has no effect and fails with an unknown outcome.
    LostAnswer, ///< The call takes effect, but fails with an unknown outcome.
    LateEffect, ///< The call fails with an unknown outcome and takes effect `lateBy` afterwards.
};

/// In-memory key-value service with a queue of faults. Responses are delivered after `delay` by the
/// scheduler.
class fake_kv_store final : public platform::kv_store {
public:
    fake_kv_store(base::clock& time, base::scheduler& timers)
        : m_clock(time)
        , m_scheduler(timers)
    {
    }

    std::deque<kv_fault> faults; ///< One is consumed by each call; `None` if empty.
    bool down = false; ///< All calls fail with `Unavailable`.
    /// Number of watches that time out without a response, as on an unresponsive connection.
    int unansweredWatches = 0;
    bool historyLost = false; ///< Watches fail with `NotFound` until the next snapshot.
    base::duration delay { 2000 };
    base::duration lateBy = std::chrono::seconds(3); ///< Time until a late call is carried out.
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t snapshots = 0; ///< Of the reads.
    /// A watch from a revision that the service does not have fails. Otherwise it is answered with the
    /// service's own.
    bool knowsHistory = true;
    std::size_t renewals = 0; ///< Of the writes.
    std::map<std::string, platform::kv_entry, std::less<>> entries;

    std::uint64_t era() const override { return m_era; }

    std::uint64_t revision() const { return m_revision; }

    /// Lets the replies state eras, from \a first on.
    void stateEras(std::uint64_t first = 1) { m_era = first; }

    /// Restores the service from \a earlier, a copy of `state()`: what was written since is lost, and
    /// revisions and numbers of leases are given out again.
    struct state_copy;
    state_copy state() const;
    void restore(const state_copy& earlier);

    /// Counts \a changes of other clients.
    void advanceRevision(std::uint64_t changes) { m_revision += changes; }

    /// Lets a call end without a reply, which is known after `delay`.
    template <typename T> void failLater(callback<T> done)
    {
        m_scheduler.runAfter(delay, [done = std::move(done)] {
            done(base::mayHaveRun(base::error_reason::Unavailable, "response lost"));
        });
    }

    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override
    {
        ++reads;
        call<std::optional<platform::kv_entry>>(std::move(done),
            [this, key = std::string(key)]() -> base::result<std::optional<platform::kv_entry>> {
                const auto found = entries.find(key);
                if (found == entries.end())
                    return std::optional<platform::kv_entry>();
                return std::optional(found->second);
            });
    }

    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        ++writes;
        call<std::uint64_t>(
            std::move(done), [this, write = std::move(write)]() -> base::result<std::uint64_t> {
                const auto found = entries.find(write.key);
                const std::uint64_t current = found == entries.end() ? 0 : found->second.revision;
                if (write.expectedRevision && *write.expectedRevision != current)
                    return base::notRun(base::error_reason::Conflict, "revision does not match");
                if (write.lease && !m_leases.contains(write.lease))
                    return base::notRun(base::error_reason::NotFound, "lease has expired or was revoked");
                const std::uint64_t created = found == entries.end() ? 0 : found->second.createdRevision;
                ++m_revision;
                entries[write.key] = { .key = write.key,
                    .value = write.value,
                    .revision = m_revision,
                    .createdRevision = created == 0 ? m_revision : created,
                    .lease = write.lease };
                // The end of a lease deletes only keys whose last write named it.
                for (auto& [id, record] : m_leases)
                    std::erase(record.keys, write.key);
                if (write.lease)
                    m_leases[write.lease].keys.push_back(write.key);
                return m_revision;
            });
    }

    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override
    {
        ++writes;
        call<void>(std::move(done), [this, key = std::string(key), expectedRevision]() -> base::result<void> {
            const auto found = entries.find(key);
            if (found == entries.end() || found->second.revision != expectedRevision)
                return base::notRun(base::error_reason::Conflict, "revision does not match");
            erase(found->first);
            return {};
        });
    }

    void snapshot(std::string_view prefix, callback<platform::kv_snapshot> done) override
    {
        ++reads;
        ++snapshots;
        call<platform::kv_snapshot>(
            std::move(done), [this, prefix = std::string(prefix)]() -> base::result<platform::kv_snapshot> {
                historyLost = false;
                platform::kv_snapshot found { .entries = {}, .revision = m_revision };
                for (const auto& [key, entry] : entries)
                    if (key.starts_with(prefix))
                        found.entries.push_back(entry);
                return found;
            });
    }

    /// Deletes \a key on behalf of another client of the service.
    void erase(const std::string& key)
    {
        entries.erase(key);
        m_removed[key] = ++m_revision;
    }

    /// Ends the leases whose time is over. Any call does so as well.
    void endExpiredLeases()
    {
        std::vector<std::uint64_t> expired;
        for (const auto& [id, record] : m_leases)
            if (record.end <= m_clock.now())
                expired.push_back(id);
        for (const auto id : expired)
            endLease(id);
    }

    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override
    {
        ++reads;
        call<std::vector<platform::kv_entry>>(std::move(done),
            [this, prefix = std::string(prefix), after = std::string(after),
                limit]() -> base::result<std::vector<platform::kv_entry>> {
                std::vector<platform::kv_entry> found;
                for (auto it = entries.lower_bound(prefix);
                     it != entries.end() && it->first.starts_with(prefix) && found.size() < limit; ++it)
                    if (it->first > after)
                        found.push_back(it->second);
                return found;
            });
    }

    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override
    {
        ++writes;
        call<std::uint64_t>(std::move(done), [this, timeToLive]() -> base::result<std::uint64_t> {
            m_leases[++m_lastLease]
                = { .timeToLive = timeToLive, .end = m_clock.now() + timeToLive, .keys = {} };
            return m_lastLease;
        });
    }

    void keepAlive(std::uint64_t lease, callback<void> done) override
    {
        ++writes;
        ++renewals;
        call<void>(std::move(done), [this, lease]() -> base::result<void> {
            const auto found = m_leases.find(lease);
            if (found == m_leases.end())
                return base::notRun(base::error_reason::NotFound, "lease has expired or was revoked");
            found->second.end = m_clock.now() + found->second.timeToLive;
            return {};
        });
    }

    void revokeLease(std::uint64_t lease, callback<void> done) override
    {
        ++writes;
        call<void>(std::move(done), [this, lease]() -> base::result<void> {
            endLease(lease);
            return {};
        });
    }

    void watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
        callback<platform::kv_watch_batch> done) override
    {
        ++reads;
        if (unansweredWatches > 0) {
            --unansweredWatches;
            m_scheduler.runAfter(waitLimit + watchTimeoutMargin, [done = std::move(done)] {
                done(base::mayHaveRun(
                    base::error_reason::DeadlineExceeded, "timed out without a complete response"));
            });
            return;
        }
        m_scheduler.runAfter(delay,
            [this, prefix = std::string(prefix), afterRevision, end = m_clock.now() + waitLimit,
                done = std::move(done)] { pollWatch(prefix, afterRevision, end, done); });
    }

    /// Time beyond the wait limit of a watch after which a client gives up.
    static constexpr base::duration watchTimeoutMargin { 400'000 };

private:
    struct lease_record {
        base::duration timeToLive;
        base::time_point end;
        std::vector<std::string> keys;
    };

    void pollWatch(const std::string& prefix, std::uint64_t afterRevision, base::time_point end,
        const callback<platform::kv_watch_batch>& done)
    {
        if (down)
            return done(base::notRun(base::error_reason::Unavailable, "service is down"));
        if (historyLost || (knowsHistory && afterRevision > m_revision))
            return done(base::notRun(base::error_reason::NotFound, "history is no longer available"));
        platform::kv_watch_batch batch { .changes = {}, .revision = std::min(afterRevision, m_revision) };
        std::map<std::uint64_t, platform::kv_entry> ordered;
        for (const auto& [key, entry] : entries)
            if (key.starts_with(prefix) && entry.revision > afterRevision)
                ordered.emplace(entry.revision, entry);
        for (auto& [revision, entry] : ordered) {
            batch.changes.push_back(entry);
            batch.revision = revision;
        }
        for (const auto& [key, revision] : m_removed) {
            if (!key.starts_with(prefix) || revision <= afterRevision || entries.contains(key))
                continue;
            batch.removals.push_back(key);
            batch.revision = std::max(batch.revision, revision);
        }
        if (!batch.changes.empty() || !batch.removals.empty() || m_clock.now() >= end)
            return done(batch);
        constexpr base::duration pollInterval { 10000 };
        m_scheduler.runAfter(pollInterval, [=, this] { pollWatch(prefix, afterRevision, end, done); });
    }

    void endLease(std::uint64_t lease)
    {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return;
        for (const auto& key : found->second.keys)
            erase(key);
        m_leases.erase(found);
    }

    template <typename T> void call(callback<T> done, std::function<base::result<T>()> effect)
    {
        kv_fault fault = down ? kv_fault::Unavailable : kv_fault::None;
        if (!faults.empty()) {
            fault = down ? kv_fault::Unavailable : faults.front();
            faults.pop_front();
        }
        m_scheduler.runAfter(delay, [this, fault, done = std::move(done), effect = std::move(effect)] {
            endExpiredLeases();
            if (fault == kv_fault::Unavailable)
                return done(base::notRun(base::error_reason::Unavailable, "service is down"));
            if (fault == kv_fault::LostRequest)
                return done(base::mayHaveRun(base::error_reason::Unavailable, "response lost"));
            if (fault == kv_fault::LateEffect) {
                m_scheduler.runAfter(lateBy, [this, effect] {
                    endExpiredLeases();
                    effect();
                });
                return done(base::mayHaveRun(base::error_reason::Unavailable, "response lost"));
            }
            base::result<T> outcome = effect();
            if (fault == kv_fault::LostAnswer)
                return done(base::mayHaveRun(base::error_reason::Unavailable, "response lost"));
            done(std::move(outcome));
        });
    }

    base::clock& m_clock;
    base::scheduler& m_scheduler;
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, std::uint64_t> m_removed; ///< Revision of the last deletion by key.
    std::map<std::uint64_t, lease_record> m_leases;
};

struct fake_kv_store::state_copy {
    std::map<std::string, platform::kv_entry, std::less<>> entries;
    std::uint64_t revision;
    std::uint64_t lastLease;
    std::map<std::string, std::uint64_t> removed;
    std::map<std::uint64_t, lease_record> leases;
};

inline fake_kv_store::state_copy fake_kv_store::state() const
{
    return { .entries = entries,
        .revision = m_revision,
        .lastLease = m_lastLease,
        .removed = m_removed,
        .leases = m_leases };
}

inline void fake_kv_store::restore(const state_copy& earlier)
{
    m_era += m_era > 0 ? 1 : 0;
    entries = earlier.entries;
    m_revision = earlier.revision;
    m_lastLease = earlier.lastLease;
    m_removed = earlier.removed;
    m_leases = earlier.leases;
    for (auto& [id, record] : m_leases)
        record.end = m_clock.now() + record.timeToLive;
}

} // namespace marigold::testing
