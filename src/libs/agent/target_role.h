#pragma once

#include <node/node.h>
#include <protocol/protocol.h>

#include <functional>
#include <string>

namespace marigold::agent {

/// What an agent does for the kind of target beside it.
class target_role {
public:
    virtual ~target_role() = default;

    /// Begins to talk to the target and adds handlers for entries.
    virtual void start() = 0;

    virtual void configChanged(const control::config_content& content) = 0;

    /// A member of the fleet is new or changed its state.
    virtual void memberChanged(const control::member& changed) = 0;

    virtual protocol::agent_load load() const = 0;

    /// Step of the cold ramp, `fullRampStep` when the target is warm.
    virtual int rampStep() const = 0;

    /// State for the dump, as a JSON object.
    virtual std::string describe() const = 0;

    static constexpr int fullRampStep = 4;
};

} // namespace marigold::agent
