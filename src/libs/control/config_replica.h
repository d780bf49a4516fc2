#pragma once

#include "config_log.h"

#include <deque>
#include <span>

namespace marigold::control {

/// Reply of a process to a configuration request of a peer.
struct pull_answer {
    std::uint64_t version = 0; ///< Version of the replying process.
    std::vector<config_patch> patches; ///< Patches after the requester's version, oldest first.
    /// Complete document; set if it was requested, or if the requester lacks too many versions.
    std::optional<config_document> document = {};

    /// Returns the JSON text sent between processes.
    std::string encode() const;
    static base::result<pull_answer> decode(std::string_view text);
};

/// Port for fetching configuration from other processes.
class config_peers {
public:
    virtual ~config_peers() = default;

    /// Requests the changes after \a haveVersion from the process at \a address, or the complete document if
    /// \a wantsFullDocument is set. Calls \a done exactly once, with an error after a timeout.
    virtual void pull(const std::string& address, std::uint64_t haveVersion, bool wantsFullDocument,
        std::function<void(base::result<pull_answer>)> done)
        = 0;
};

/// Replica of the configuration document in this process (design page, 4.4).
///
/// The version only increases: by one change at a time with a digest check, or by a complete document. The
/// object must outlive its pending calls.
class config_replica {
public:
    struct options {
        std::size_t recentPatches = 64; ///< Cached for peers that lack only a few versions.
        base::duration watchDuration = std::chrono::seconds(30);
        base::duration minBackoff = std::chrono::milliseconds(500);
        base::duration maxBackoff = std::chrono::seconds(30);
        base::duration pullRetryDelay = std::chrono::milliseconds(200);
        std::size_t maxStartPeers = 3; ///< Peers queried at the start.
    };

    /// Called after each change of the current version.
    using listener = std::function<void(const config_state&)>;

    config_replica(config_log& log, platform::kv_store& store, config_peers& peers, base::scheduler& timers,
        base::random_source& random, const base::event_log& events, options opts);

    void setListener(listener changed) { m_changed = std::move(changed); }

    /// Reads the key-value service and queries some of \a peers, then adopts the highest version. Repeats
    /// with backoff until a version is known.
    void start(std::vector<std::string> peers);

    /// Reads the configuration again before requests are served, after this process was paused or removed.
    void refresh(std::vector<std::string> peers);

    /// Returns true if requests may be served: a version is known and no start or refresh is in progress.
    bool mayServe() const { return m_state.has_value() && !m_reading; }

    /// Returns the current document; null if none is known.
    const config_state* current() const { return m_state ? &*m_state : nullptr; }

    std::uint64_t version() const { return m_state ? m_state->version : 0; }

    /// Applies \a patch if it is the next version. Fails with `Conflict` if versions in between are missing;
    /// an old version has no effect.
    base::result<void> apply(const config_patch& patch);

    /// Adopts \a state if it is newer than the current one. Returns true if it was adopted.
    bool adopt(config_state state);

    /// Records that the process at \a address has \a version, and fetches the missing versions.
    void recordVersion(std::uint64_t version, const std::string& address);

    /// Returns the reply to a process that has \a haveVersion.
    pull_answer answerPull(std::uint64_t haveVersion, bool wantsFullDocument) const;

    /// Returns true if \a self is one of the two processes of \a entries that watch the key-value service for
    /// \a failureDomain, which are those with the lowest rendezvous scores.
    static bool isWatcher(
        const std::string& self, std::span<const std::string> entries, const std::string& failureDomain);

    /// Starts or stops the watch on the key-value service.
    void setWatcher(bool watcher);

private:
    void read();
    void readDone(bool fromService, bool succeeded);
    void pullNext();
    void handlePullAnswer(const base::result<pull_answer>& answer);
    base::result<void> applyAnswer(const pull_answer& answer);
    void watch(std::uint64_t generation);
    void handleWatchBatch(std::uint64_t generation, const base::result<platform::kv_watch_batch>& batch);
    void loadForWatch(std::uint64_t generation);
    void retryWatch(std::uint64_t generation, bool load);
    base::duration backoffDelay(int failures);

    config_log& m_log;
    platform::kv_store& m_store;
    config_peers& m_peers;
    base::scheduler& m_timers;
    base::random_source& m_random;
    const base::event_log& m_events;
    options m_options;
    listener m_changed;

    std::optional<config_state> m_state;
    std::deque<config_patch> m_recent;

    std::vector<std::string> m_startPeers;
    bool m_reading = false; ///< A start or refresh is in progress.
    std::size_t m_readsPending = 0;
    bool m_readSucceeded = false;
    int m_readFailures = 0;
    std::uint64_t m_readRound = 0;

    std::uint64_t m_highestSeen = 0;
    std::deque<std::string> m_sources; ///< Peers that have the highest version seen, most recent last.
    bool m_pulling = false;
    bool m_needsFullDocument = false;

    bool m_watcher = false;
    std::uint64_t m_watchGeneration = 0; ///< Replies to an earlier watch are ignored.
    std::uint64_t m_watchRevision = 0;
    int m_watchFailures = 0;
};

} // namespace marigold::control
