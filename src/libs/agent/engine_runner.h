#pragma once

#include "block_mover.h"
#include "run_reader.h"

#include <outcome/outcome.h>
#include <platform/platform.h>
#include <routing/routing.h>

#include <map>
#include <memory>
#include <string>

namespace marigold::agent {

/// Runs prompts on the engine of this agent. Handles admission, loading of cached context, resumption of
/// interrupted engine streams, and the grace period after a reader has disconnected.
class engine_runner {
public:
    struct options {
        int slots = 8; ///< Concurrent runs of a warm engine.
        int firstSlots = 2; ///< Concurrent runs of a cold engine.
        int queueCapacity = 64;
        double prefillTokensPerSecond = 100'000;
        base::duration tokenTime = std::chrono::milliseconds(10);
        int resumeAttempts = 3; ///< Resumptions of interrupted streams before the run fails.
        base::duration resumeDelay = std::chrono::milliseconds(50);
        int adoptedRuns = 0; ///< Runs of the engine that were started before this process.
        std::string target = {}; ///< Target id for the event log.
        const base::event_log* log = nullptr;
    };

    engine_runner(platform::completion_engine& engine, block_mover& blocks, const base::clock& time,
        base::scheduler& timers, options opts);
    ~engine_runner();
    engine_runner(const engine_runner&) = delete;
    engine_runner& operator=(const engine_runner&) = delete;

    /// Records the state that the engine reported at \a measuredAt.
    void engineReported(const platform::engine_state& state, base::time_point measuredAt);

    /// Records that the engine does not reply. It may be cold when it returns.
    void engineLost();

    /// Refuses new runs while weights are swapped. This must start before the order is sent, since a run that
    /// reaches the engine during the load would start with the other version.
    void setSwapping(bool swapping);

    /// Starts a run, or refuses it with a verdict. All further events of the run are passed to \a reader.
    void submit(const protocol::run_request& request, std::shared_ptr<run_reader> reader);

    /// Continues the stream of a run for another reader of the same team. A run that is unknown to this
    /// process is looked up at the engine, since the process may have been replaced.
    void resume(const protocol::resume_message& request, std::shared_ptr<run_reader> reader);

    /// Called when the connection over which \a owner reads \a run was closed.
    void readerDisconnected(const std::string& run, const std::string& owner);

    /// Cancels a run of \a team at the request of its caller.
    void cancel(const std::string& run, const std::string& team);

    /// Called when the process of \a owner has left the fleet or is dead.
    void ownerLost(const std::string& owner);

    protocol::agent_load load() const;
    std::size_t activeRuns() const;
    int rampBound() const;

    /// Calls \a handler with the identifier of each run that has ended.
    void onEnded(std::function<void(const std::string& run)> handler);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::agent
