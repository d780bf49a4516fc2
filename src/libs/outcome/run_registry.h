#pragma once

#include "attempt.h"

#include <base/base.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

enum class run_state {
    Running,
    Ended, ///< The final chunk was produced.
    Cancelled,
};

/// Returns the name of \a state, in snake case.
std::string_view nameOf(run_state state);

/// Identifies a run and the entry that reads it.
struct run_start {
    base::digest128 run = {};
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::string team = {}; ///< Only this team may resume the run.
    std::string owner = {}; ///< Entry that reads the answer.
};

/// Remainder of a run, returned to a reader that resumes it.
struct run_tail {
    run_state state = run_state::Running;
    std::vector<answer_chunk> chunks = {};
};

/// Stores the recent chunks of running and recently ended runs, so that an entry can resume a stream that
/// another entry started. Memory is limited for each run and in total.
class run_registry {
public:
    struct options {
        /// A run without an owner is cancelled after this time.
        base::duration ownerGrace = std::chrono::seconds(5);
        /// Ended runs can be resumed for this time.
        base::duration endedRetention = std::chrono::seconds(60);
        std::size_t maxRuns = 4096; ///< Running and ended runs together.
        std::size_t maxRunBytes = 256UL * 1024; ///< The oldest chunks of a run are dropped above this.
        /// Ended runs, then the oldest chunks, are dropped above this.
        std::size_t maxTotalBytes = 16UL * 1024 * 1024;
        /// Called when the grace period of a run has expired.
        std::function<void(const base::digest128& run)> cancel = {};
    };

    run_registry(base::scheduler& timers, options opts);
    ~run_registry();
    run_registry(const run_registry&) = delete;
    run_registry& operator=(const run_registry&) = delete;

    /// Registers a run. Fails with `not_run`: `Conflict` if the run exists, `Overloaded` if there are
    /// `maxRuns` runs and none has ended.
    base::result<void> begin(run_start start);

    /// Appends the next chunk; the final chunk ends the run. Returns false if the run is not running or
    /// \a chunk is not its next chunk.
    bool append(const base::digest128& run, answer_chunk chunk);

    /// Ends the run as cancelled, without a final chunk.
    void cancelled(const base::digest128& run);

    /// Returns the chunks after \a sequence and makes \a owner the reader. Fails with `may_have_run`:
    /// `NotFound` for an unknown run and for a run of another team, `StreamBroken` if the chunks are no
    /// longer stored or the run was cancelled.
    base::result<run_tail> resume(const base::digest128& run, const attempt_id& attempt, std::uint32_t epoch,
        std::string_view team, std::uint64_t sequence, std::string owner);

    /// Starts the grace period of every run of \a owner.
    void ownerLost(std::string_view owner);

    /// Starts the grace period of one run whose connection to \a owner was lost; ignored if another owner has
    /// resumed it.
    void connectionLost(const base::digest128& run, std::string_view owner);

    std::size_t runs() const { return m_runs.size(); }

    /// Size of the stored chunks in bytes, including a fixed overhead for each chunk.
    std::size_t bytes() const { return m_bytes; }

    /// Number of runs that have not ended.
    std::size_t running() const { return m_running; }

private:
    struct run_record;
    using run_map = std::map<base::digest128, std::unique_ptr<run_record>>;

    void finish(run_record& record, run_state state);
    void startGrace(run_record& record);
    void graceExpired(const base::digest128& run);
    void erase(run_map::iterator it);
    void dropOldestChunk(run_record& record);
    void enforceMemoryLimits(run_record& current);
    bool eraseOldestEnded();
    run_record* longestRun();

    base::scheduler& m_scheduler;
    options m_options;
    run_map m_runs;
    std::list<base::digest128> m_ended; ///< Ordered by end time.
    std::size_t m_bytes = 0;
    std::size_t m_running = 0;
};

} // namespace marigold::outcome
