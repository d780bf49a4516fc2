#pragma once

#include "config_log.h"

#include <deque>
#include <span>

namespace marigold::control {

/// What a process answers to another that asks for configuration.
struct pull_answer {
    std::uint64_t version = 0; ///< Version of the answering process.
    std::vector<config_patch> patches; ///< Those after the asked version, oldest first.
    std::optional<config_document> document = {}; ///< The whole document, when the asker is far behind.

    /// Returns the JSON text sent between processes.
    std::string encode() const;
    static base::result<pull_answer> decode(std::string_view text);
};

/// Port to the other processes for configuration.
class config_peers {
public:
    virtual ~config_peers() = default;

    /// Asks the process at \a address for what follows \a haveVersion, or for the whole document when
    /// \a whole is set. \a done runs exactly once, with an error after a timeout.
    virtual void pull(const std::string& address, std::uint64_t haveVersion, bool whole,
        std::function<void(base::result<pull_answer>)> done)
        = 0;
};

/// Replica of the configuration document in this process (design page, 4.4).
///
/// Versions only go up, one at a time with a digest check or by a whole document. The object must outlive its
/// pending calls.
class config_replica {
public:
    struct options {
        std::size_t recentPatches = 64; ///< Kept for processes that are a little behind.
        base::duration watchPatience = std::chrono::seconds(30);
        base::duration backOffLow = std::chrono::milliseconds(500);
        base::duration backOffHigh = std::chrono::seconds(30);
        base::duration pullRetry = std::chrono::milliseconds(200);
        std::size_t startPeers = 3; ///< Processes that are asked at the start.
    };

    /// Called after each change of the version in use.
    using listener = std::function<void(const config_state&)>;

    config_replica(config_log& log, platform::kv_store& store, config_peers& peers, base::scheduler& timers,
        base::random_source& random, const base::event_log& events, options opts);

    void setListener(listener changed) { m_changed = std::move(changed); }

    /// Reads the service and some of \a peers, and takes the highest version. Repeated with back-off until a
    /// version is known.
    void start(std::vector<std::string> peers);

    /// Reads again before anything else is served: this process was paused or removed.
    void refresh(std::vector<std::string> peers);

    /// Says whether requests may be served: a version is known and no start or refresh is under way.
    bool mayServe() const { return m_state.has_value() && !m_reading; }

    /// Returns the document in use; null when none is known.
    const config_state* current() const { return m_state ? &*m_state : nullptr; }

    std::uint64_t version() const { return m_state ? m_state->version : 0; }

    /// Takes \a patch if it is the next version. `Conflict`: it leaves a gap. An old version has no effect.
    base::result<void> apply(const config_patch& patch);

    /// Takes a whole document if its \a state is newer than the current one; says whether it was.
    bool adopt(config_state state);

    /// Notes that the process at \a address has \a version, and pulls what is missing here.
    void noteVersion(std::uint64_t version, const std::string& address);

    /// Answers another process that has \a haveVersion.
    pull_answer answerPull(std::uint64_t haveVersion, bool whole) const;

    /// Says whether \a self is one of the two processes of \a entries that watch for \a failureDomain.
    static bool isWatcher(
        const std::string& self, std::span<const std::string> entries, const std::string& failureDomain);

    /// Starts or ends the watch on the key-value service.
    void setWatcher(bool watcher);

private:
    void read();
    void readDone(bool fromService, bool ok);
    void pullNext();
    void pulled(const base::result<pull_answer>& answer);
    base::result<void> take(const pull_answer& answer);
    void watch(std::uint64_t generation);
    void watched(std::uint64_t generation, const base::result<platform::kv_watch_batch>& batch);
    void loadForWatch(std::uint64_t generation);
    void watchLater(std::uint64_t generation, bool load);
    base::duration backOff(int failures);

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
    bool m_reading = false; ///< A start or refresh is under way.
    std::size_t m_readsPending = 0;
    bool m_readOk = false;
    int m_readFailures = 0;
    std::uint64_t m_readRound = 0;

    std::uint64_t m_highestSeen = 0;
    std::deque<std::string> m_sources; ///< Processes that have the highest version seen, newest last.
    bool m_pulling = false;
    bool m_wantWhole = false;

    bool m_watcher = false;
    std::uint64_t m_watchGeneration = 0; ///< Answers to an older watch are ignored.
    std::uint64_t m_watchRevision = 0;
    int m_watchFailures = 0;
};

} // namespace marigold::control
