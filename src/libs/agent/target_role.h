#pragma once

#include <node/node.h>
#include <protocol/protocol.h>

#include <functional>
#include <string>

namespace marigold::agent {

/// The behavior of an agent that depends on the kind of its target.
class target_role {
public:
    virtual ~target_role() = default;

    /// Starts communication with the target and adds handlers for requests of entries.
    virtual void start() = 0;

    virtual void configChanged(const control::config_content& content) = 0;

    /// Called when a member of the fleet is added or changes its state.
    virtual void memberChanged(const control::member& changed) = 0;

    virtual protocol::agent_load load() const = 0;

    /// Returns the step of the cold ramp; `fullRampStep` if the target is warm.
    virtual int rampStep() const = 0;

    /// Returns the state for the dump as a JSON object.
    virtual std::string describe() const = 0;

    static constexpr int fullRampStep = 4;
};

} // namespace marigold::agent
