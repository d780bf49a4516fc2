#pragma once

#include <base/clock.h>
#include <base/error.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace marigold::routing {

using work_id = std::uint64_t;

/// Priority class of a request, most urgent first.
enum class priority {
    Interactive,
    Normal,
    Batch,
};

/// Returns the wire name of \a value.
std::string_view nameOf(priority value);

/// One request at the agent.
struct work {
    work_id id = 0; ///< Unique among the queued and running work of this agent.
    routing::priority priority = routing::priority::Normal;
    base::time_point deadline = base::time_point::max(); ///< For the first token.
    /// Refuse when the expected wait is longer, because the entry knows a target that is then sooner.
    base::duration waitLimit = base::duration::max();
    int prefillTokens = 0;
};

enum class admission_outcome {
    Started,
    Queued,
};

/// Admits work to the one target of this agent; the final authority on its load (design 4.1).
///
/// Running work, including work that the engine still runs from before a restart of the agent, never exceeds
/// the bound through an admission. When the bound falls below the running work, nothing starts until enough
/// ended.
class admission {
public:
    struct options {
        int bound = 1; ///< Concurrent runs; set from `cold_ramp` afterwards.
        /// Slots that only interactive work may take, as far as the bound leaves one for the rest.
        int interactiveReserve = 1;
        int longPrefillTokens = 8'000; ///< A prefill above this is long.
        int longPrefills = 1; ///< Long prefills of non-interactive work at a time.
        std::size_t queueCapacity = 64;
        double prefillTokensPerSecond = 4'000; ///< Of the engine; corrected by `setPrefillSpeed`.
        base::duration startLag { 100'000 }; ///< A start this long ago is contained in an engine's report.
        std::function<void(const work&)> start = {}; ///< Queued work starts now.
        std::function<void(const work&, const base::error&)> refuse
            = {}; ///< Queued work is shed; it never ran.
    };

    /// \a adopted is the number of runs that the engine still has from before this agent started.
    admission(const base::clock& time, options opts, int adopted = 0);

    /// Starts or queues \a item. The error is `NotRun` with `Overloaded` or `DeadlineExceeded`, and with
    /// the time after which the queue should have drained.
    base::result<admission_outcome> submit(const work& item);

    /// Records that the prefill of a running work is done.
    void prefillDone(work_id id);

    /// Records that a running work ended or was cancelled.
    void finish(work_id id);

    /// Removes queued work, whose caller is gone; false when it is not queued.
    bool cancelQueued(work_id id);

    /// Sets the bound; at least one.
    void setBound(int bound);

    /// Takes the number of runs that the engine reported for \a measuredAt, to learn which adopted runs
    /// ended.
    void engineReported(int running, base::time_point measuredAt);

    /// Sheds queued work that cannot meet its deadline any more; to be called at `nextDeadline`.
    void expire();

    /// Returns the earliest time at which queued work surely misses its deadline.
    base::time_point nextDeadline() const;

    /// Sets the prefill speed that the engine shows at present.
    void setPrefillSpeed(double tokensPerSecond) { m_options.prefillTokensPerSecond = tokensPerSecond; }

    /// Returns the expected time until work that is submitted now and has to queue would start.
    base::duration expectedWait(routing::priority urgency) const;

    /// Returns the expected time until the prefill of work that starts now would begin.
    base::duration prefillBacklog() const;

    int bound() const { return m_options.bound; }
    int running() const { return static_cast<int>(m_running.size()) + m_adopted; }
    int queued() const;

    /// Returns the tokens of started work that are still to be prefilled, by the time that passed.
    std::int64_t pendingPrefillTokens() const;

    /// Returns the smoothed time that a run holds a slot; zero before the first end.
    base::duration serviceTime() const { return m_serviceTime; }

private:
    struct run {
        work item;
        base::time_point startedAt;
        bool prefilling = true;
    };

    base::duration prefillTime(std::int64_t tokens) const;
    base::time_point firstTokenAt(const work& item) const;
    bool isLong(const work& item) const;
    bool canStart(const work& item) const;
    void begin(const work& item);
    void startQueued();
    bool startOne();
    void shed(const work& item, base::error_reason reason, const char* message) const;
    bool makeRoom(routing::priority urgency);

    const base::clock& m_clock;
    options m_options;
    int m_adopted;
    int m_nonInteractive = 0; ///< Running, without adopted work.
    int m_longPrefills = 0;
    std::int64_t m_pendingTokens = 0; ///< Of running work whose prefill is not done.
    base::time_point m_prefillsEnd {}; ///< When they should be done.
    base::duration m_serviceTime { 0 };
    bool m_starting = false;
    std::unordered_map<work_id, run> m_running;
    std::array<std::deque<work>, 3> m_queues;
};

} // namespace marigold::routing
