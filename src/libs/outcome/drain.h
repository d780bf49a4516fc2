#pragma once

#include <base/base.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

enum class drain_state {
    Serving,
    Draining, ///< Not ready; rejects new work and lets running requests finish.
    Done,
};

/// Returns the name of \a state, in snake case.
std::string_view nameOf(drain_state state);

/// When a shutdown hook runs.
enum class drain_phase {
    OnStart, ///< Immediately, for example to announce the shutdown.
    AfterWork, ///< After the last request has ended, for example to write the last claims.
};

/// Result of a graceful shutdown.
struct drain_report {
    bool forced = false; ///< Ended by the limit or a second signal.
    std::vector<std::string> interruptedRequests = {}; ///< Requests that were still running.
    std::vector<std::string> unfinishedHooks = {}; ///< Hooks that had not completed.
    base::duration took {};
};

/// Graceful shutdown of a process (invariant I10).
class drain {
public:
    using work_id = std::uint64_t;
    /// Starts a shutdown task and calls its argument on completion.
    using hook = std::function<void(std::function<void()> done)>;

    struct options {
        base::duration limit = std::chrono::seconds(30); ///< Time from the first signal to a forced end.
        std::function<void(const drain_report&)> finished = {}; ///< Called once, when the state becomes Done.
        base::event_log* log = nullptr;
    };

    drain(base::clock& time, base::scheduler& timers, options opts);
    ~drain();
    drain(const drain&) = delete;
    drain& operator=(const drain&) = delete;

    /// Adds a shutdown hook; hooks of the same phase run concurrently.
    void addHook(drain_phase phase, std::string name, hook run);

    /// Registers a request. Fails with `not_run` and `Unavailable` unless the state is Serving.
    base::result<work_id> enter(std::string description);

    /// Ends a registered request; an unknown \a id is ignored.
    void leave(work_id id);

    /// Starts the shutdown on the first call and forces its end on the second one.
    void signal();

    /// Result of the readiness probe.
    bool isReady() const { return m_state == drain_state::Serving; }

    drain_state state() const { return m_state; }
    std::size_t running() const { return m_running.size(); }

private:
    struct named_hook {
        drain_phase phase;
        std::string name;
        hook run;
        bool pending = false;
    };

    void startHooks(drain_phase phase);
    void hookDone(std::size_t index);
    bool hasPendingHooks() const;
    void advance();
    void force();
    void finish(bool forced);

    base::clock& m_clock;
    base::scheduler& m_scheduler;
    options m_options;
    drain_state m_state = drain_state::Serving;
    bool m_afterWorkStarted = false;
    base::time_point m_started {};
    base::timer_id m_limitTimer = 0;
    work_id m_next = 1;
    std::map<work_id, std::string> m_running;
    std::vector<named_hook> m_hooks;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Hooks may complete after destruction.
};

} // namespace marigold::outcome
