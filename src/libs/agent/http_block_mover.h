#pragma once

#include "block_mover.h"

#include <node/node.h>
#include <platform/platform.h>

#include <deque>
#include <memory>

namespace marigold::agent {

/// Moves cached blocks between the engine of this agent and the agents of stores over HTTP.
class http_block_mover final : public block_mover {
public:
    struct options {
        double prefillTokensPerSecond = 100'000; ///< Assumed throughput of recomputation.
        std::size_t blockTokens = 1024;
        /// Lower bound of the time limit of a load.
        base::duration minimumLoadTime = std::chrono::milliseconds(30);
        /// Further saves are dropped; their context is recomputed when needed.
        std::size_t maxQueuedSaves = 64;
    };

    http_block_mover(node::fleet_node& node, platform::completion_engine& engine, options opts);
    ~http_block_mover() override;

    void load(const protocol::run_request& request, std::function<void(int blocks)> done) override;
    void save(const protocol::run_request& request) override;

    /// Calls \a done when no save is queued or running.
    void flush(std::function<void()> done);

    std::size_t queuedSaves() const;
    std::uint64_t bytesLoaded() const;
    std::uint64_t bytesSaved() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::agent
