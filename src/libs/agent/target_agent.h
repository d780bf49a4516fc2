#pragma once

#include "agent_settings.h"
#include "target_role.h"
#include "work_gate.h"

#include <memory>
#include <string>

namespace marigold::agent {

/// The process beside a target: a member of the fleet with the role for the kind of the target.
class target_agent {
public:
    target_agent(agent_settings settings, std::string version);

    /// Binds the port and joins the fleet.
    base::result<void> start();

    /// Runs until the shutdown is complete; returns the exit code.
    int run() { return m_node.run(); }

private:
    std::unique_ptr<target_role> makeRole();
    void publishLoad();

    agent_settings m_settings;
    node::fleet_node m_node;
    work_gate m_gate { m_node };
    std::unique_ptr<target_role> m_role;
};

} // namespace marigold::agent
