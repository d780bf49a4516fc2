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
    Ended, ///< The final piece was produced.
    Cancelled,
};

/// Returns the name of \a state, in snake case.
std::string_view nameOf(run_state state);

/// Names a run and the entry that reads it.
struct run_start {
    base::digest128 run = {};
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::string team = {}; ///< Only this team may resume the run.
    std::string owner = {}; ///< Entry that reads the answer.
};

/// What a resumed reader gets.
struct run_tail {
    run_state state = run_state::Running;
    std::vector<answer_piece> pieces = {};
};

/// Keeps the recent pieces of running and recently ended runs, so that an entry can resume a stream that
/// another entry began. Memory is bounded for each run and in total.
class run_registry {
public:
    struct options {
        base::duration ownerGrace
            = std::chrono::seconds(5); ///< A run without an owner is cancelled after this time.
        base::duration keepEnded = std::chrono::seconds(60); ///< Ended runs can be resumed for this time.
        std::size_t maxRuns = 4096; ///< Running and ended.
        std::size_t maxRunBytes = 256UL * 1024; ///< Oldest pieces of the run are dropped above this.
        std::size_t maxTotalBytes = 16UL * 1024 * 1024; ///< Ended runs, then oldest pieces, are dropped.
        std::function<void(const base::digest128& run)> cancel
            = {}; ///< Called when the grace period of a run has passed.
    };

    run_registry(base::scheduler& timers, options opts);
    ~run_registry();
    run_registry(const run_registry&) = delete;
    run_registry& operator=(const run_registry&) = delete;

    /// Registers a run. Fails with `not_run`: `Conflict` when the run exists, `Overloaded` when there are
    /// `maxRuns` and none has ended.
    base::result<void> begin(run_start start);

    /// Adds the next piece; the final one ends the run. False when the run is not running or \a piece is not
    /// its next one.
    bool append(const base::digest128& run, answer_piece piece);

    /// Ends the run without a final piece.
    void cancelled(const base::digest128& run);

    /// Returns the pieces after \a sequence and makes \a owner the reader. An unknown run and one of another
    /// team fail alike with `NotFound`; `StreamBroken` when the pieces are no longer kept. Both say
    /// `may_have_run`.
    base::result<run_tail> resume(const base::digest128& run, const attempt_id& attempt, std::uint32_t epoch,
        std::string_view team, std::uint64_t sequence, std::string owner);

    /// Starts the grace period of every run of \a owner.
    void ownerGone(std::string_view owner);

    /// Starts the grace period of one run whose connection to \a owner broke; ignored when another owner has
    /// resumed it.
    void connectionLost(const base::digest128& run, std::string_view owner);

    std::size_t runs() const { return m_runs.size(); }

    /// Bytes of kept pieces, with a fixed share for each piece.
    std::size_t bytes() const { return m_bytes; }

    /// Runs that are still running.
    std::size_t running() const { return m_running; }

private:
    struct run_record;
    using run_map = std::map<base::digest128, std::unique_ptr<run_record>>;

    void finish(run_record& record, run_state state);
    void startGrace(run_record& record);
    void graceOver(const base::digest128& run);
    void erase(run_map::iterator it);
    void dropOldest(run_record& record);
    void makeRoom(run_record& current);
    bool eraseOldestEnded();
    run_record* longestRun();

    base::scheduler& m_scheduler;
    options m_options;
    run_map m_runs;
    std::list<base::digest128> m_ended; ///< In order of their end.
    std::size_t m_bytes = 0;
    std::size_t m_running = 0;
};

} // namespace marigold::outcome
