#pragma once

#include "agent_settings.h"
#include "target_role.h"
#include "work_gate.h"

#include <memory>

namespace marigold::agent {

/// The role of an agent beside a model engine.
class engine_role final : public target_role {
public:
    engine_role(node::fleet_node& node, work_gate& gate, const agent_settings& settings);
    ~engine_role() override;

    void start() override;
    void configChanged(const control::config_content& content) override;
    void memberChanged(const control::member& changed) override;
    protocol::agent_load load() const override;
    int rampStep() const override;
    std::string describe() const override;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::agent
