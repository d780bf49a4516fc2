#pragma once

#include <node/node.h>

#include <string>

namespace marigold::agent {

/// Decides whether this agent accepts new work at all, before any limit of its target applies.
class work_gate {
public:
    explicit work_gate(node::fleet_node& node)
        : m_node(node)
    {
    }

    /// Registers a request that shutdown waits for. Fails as `not_run` while the process is not ready or is
    /// shutting down, or its target or failure domain is out of service.
    base::result<outcome::drain::work_id> enter(const std::string& description);

    void leave(outcome::drain::work_id work) { m_node.drain().leave(work); }

    /// Returns the target of this agent in the configuration; null if there is none.
    const control::target* target() const;

private:
    node::fleet_node& m_node;
};

} // namespace marigold::agent
