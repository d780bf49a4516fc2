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
    /// Refused if the expected wait is longer, since another target known to the entry is then faster.
    base::duration waitLimit = base::duration::max();
    int prefillTokens = 0;
};

enum class admission_outcome {
    Started,
    Queued,
};

/// Admits work to the target of this agent and makes the final decision on its load (design 4.1).
///
/// An admission never raises the amount of running work above the bound; this includes work that the engine
/// still runs from before a restart of the agent. When the bound falls below the running work, nothing starts
/// until enough work has ended.
class admission {
public:
    struct options {
        int bound = 1; ///< Concurrent runs; set from `cold_ramp` afterwards.
        /// Slots reserved for interactive work, as long as the bound leaves one slot for other work.
        int interactiveReserve = 1;
        int longPrefillTokens = 8'000; ///< A prefill above this is long.
        int longPrefills = 1; ///< Maximum number of concurrent long prefills of non-interactive work.
        std::size_t queueCapacity = 64;
        double prefillTokensPerSecond = 4'000; ///< Of the engine; updated by `setPrefillSpeed`.
        /// A run that started this long before an engine report is included in it.
        base::duration startLag { 100'000 };
        std::function<void(const work&)> start = {}; ///< Called when queued work starts.
        /// Called when queued work is shed; it never ran.
        std::function<void(const work&, const base::error&)> refuse = {};
    };

    /// \a adopted is the number of runs that the engine has from before the start of this agent.
    admission(const base::clock& time, options opts, int adopted = 0);

    /// Starts or queues \a item. Fails with `NotRun` and either `Overloaded` or `DeadlineExceeded`; the error
    /// contains the time after which the queue is expected to have drained.
    base::result<admission_outcome> submit(const work& item);

    /// Records that the prefill of running work is complete.
    void prefillDone(work_id id);

    /// Records that a running work ended or was cancelled.
    void finish(work_id id);

    /// Removes queued work whose caller has disconnected; returns false if it is not queued.
    bool cancelQueued(work_id id);

    /// Sets the bound, which is at least one.
    void setBound(int bound);

    /// Updates the number of adopted runs from the number of runs that the engine reported for \a measuredAt.
    void engineReported(int running, base::time_point measuredAt);

    /// Sheds queued work that can no longer meet its deadline; to be called at `nextDeadline`.
    void expire();

    /// Returns the earliest time at which queued work can no longer meet its deadline.
    base::time_point nextDeadline() const;

    /// Sets the current prefill speed of the engine.
    void setPrefillSpeed(double tokensPerSecond) { m_options.prefillTokensPerSecond = tokensPerSecond; }

    /// Returns the expected time until work that is submitted now and has to queue would start.
    base::duration expectedWait(routing::priority urgency) const;

    /// Returns the expected time until the prefill of work that starts now would begin.
    base::duration prefillBacklog() const;

    int bound() const { return m_options.bound; }
    int running() const { return static_cast<int>(m_running.size()) + m_adopted; }
    int queued() const;

    /// Returns the estimated tokens of started work that are still to be prefilled, from the elapsed time.
    std::int64_t pendingPrefillTokens() const;

    /// Returns the smoothed time for which a run occupies a slot; zero before the first run has ended.
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
    bool shedLessUrgent(routing::priority urgency);

    const base::clock& m_clock;
    options m_options;
    int m_adopted;
    int m_nonInteractive = 0; ///< Running, without adopted work.
    int m_longPrefills = 0;
    std::int64_t m_pendingTokens = 0; ///< Of running work whose prefill is not complete.
    base::time_point m_prefillBacklogEnd {}; ///< Expected end of the prefills of running work.
    base::duration m_serviceTime { 0 };
    bool m_starting = false;
    std::unordered_map<work_id, run> m_running;
    std::array<std::deque<work>, 3> m_queues;
};

} // namespace marigold::routing
