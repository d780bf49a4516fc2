#pragma once

#include <base/base.h>
#include <protocol/protocol.h>

#include <functional>

namespace marigold::agent {

/// Port that moves cached blocks between the engine of this agent and the stores.
class block_mover {
public:
    virtual ~block_mover() = default;

    /// Loads the leading blocks that \a request names into the engine; \a done runs once with the number of
    /// loaded blocks, which may be zero: the engine computes the rest.
    virtual void load(const protocol::run_request& request, std::function<void(int blocks)> done) = 0;

    /// Saves the blocks of a run whose prefill is done to the store that it names, in the background.
    virtual void save(const protocol::run_request& request) = 0;
};

} // namespace marigold::agent
