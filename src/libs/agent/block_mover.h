#pragma once

#include <base/base.h>
#include <protocol/protocol.h>

#include <functional>

namespace marigold::agent {

/// Interface for moving cached blocks between the engine of this agent and the stores.
class block_mover {
public:
    virtual ~block_mover() = default;

    /// Loads the leading blocks named in \a request into the engine. Calls \a done once with the number of
    /// loaded blocks, which may be zero; the engine computes the rest.
    virtual void load(const protocol::run_request& request, std::function<void(int blocks)> done) = 0;

    /// Saves the blocks of a run whose prefill is complete to the store named in \a request, in the
    /// background.
    virtual void save(const protocol::run_request& request) = 0;
};

} // namespace marigold::agent
