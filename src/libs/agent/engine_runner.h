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

/// Runs prompts at the engine of this agent: admission, loading of cached context, the stream with its
/// resumption after a break, and the grace period after a reader has gone.
class engine_runner {
public:
    struct options {
        int slots = 8; ///< Concurrent runs of the warm engine.
        int firstSlots = 2; ///< Concurrent runs of the cold engine.
        int queueCapacity = 64;
        double prefillTokensPerSecond = 100'000;
        base::duration tokenTime = std::chrono::milliseconds(10);
        int resumeAttempts = 3; ///< After a broken stream, before the run is given up.
        base::duration resumeDelay = std::chrono::milliseconds(50);
        int adoptedRuns = 0; ///< Runs that the engine still has from before this process started.
        std::string target = {}; ///< For the log.
        const base::event_log* log = nullptr;
    };

    engine_runner(platform::completion_engine& engine, block_mover& blocks, const base::clock& time,
        base::scheduler& timers, options opts);
    ~engine_runner();
    engine_runner(const engine_runner&) = delete;
    engine_runner& operator=(const engine_runner&) = delete;

    /// Takes what the engine said of itself at \a measuredAt.
    void engineReported(const platform::engine_state& state, base::time_point measuredAt);

    /// The engine did not answer; it may be cold when it comes back.
    void engineLost();

    /// Refuses new runs while weights are swapped. It starts before the order is sent: a run that reaches the
    /// engine during the load would start under the other version.
    void setSwapping(bool swapping);

    /// Starts a run, or refuses it with a verdict; \a reader hears everything that follows.
    void submit(const protocol::run_request& request, std::shared_ptr<run_reader> reader);

    /// Continues the stream of a run for another reader of the same team. A run that this process does not
    /// know is looked for at the engine, since the process may have been replaced.
    void resume(const protocol::resume_message& request, std::shared_ptr<run_reader> reader);

    /// The connection of \a owner to \a run has closed.
    void readerGone(const std::string& run, const std::string& owner);

    /// Ends a run of \a team on request of its caller.
    void cancel(const std::string& run, const std::string& team);

    /// The process of \a owner has left or died.
    void ownerGone(const std::string& owner);

    protocol::agent_load load() const;
    std::size_t activeRuns() const;
    int rampBound() const;

    /// Calls \a handler whenever a run has ended, by its identifier.
    void onEnded(std::function<void(const std::string& run)> handler);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::agent
