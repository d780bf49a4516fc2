#include "target_agent.h"

#include "engine_role.h"
#include "service_role.h"
#include "store_role.h"

#include <algorithm>
#include <limits>

namespace marigold::agent {

namespace {

constexpr auto loadInterval = std::chrono::milliseconds(250);

std::uint16_t clampCount(int count)
{
    return static_cast<std::uint16_t>(
        std::clamp(count, 0, int { std::numeric_limits<std::uint16_t>::max() }));
}

} // namespace

target_agent::target_agent(agent_settings settings, std::string version)
    : m_settings(std::move(settings))
    , m_node(
          { .settings = m_settings.node, .kind = control::member_kind::Agent, .version = std::move(version) })
    , m_role(makeRole())
{
}

std::unique_ptr<target_role> target_agent::makeRole()
{
    switch (m_settings.kind) {
    case control::target_kind::Engine:
        return std::make_unique<engine_role>(m_node, m_gate, m_settings);
    case control::target_kind::Store:
        return std::make_unique<store_role>(m_node, m_gate, m_settings);
    case control::target_kind::Service:
        break;
    }
    return std::make_unique<service_role>(m_node, m_gate, m_settings);
}

base::result<void> target_agent::start()
{
    m_node.onConfig(
        [this](const control::config_state& state) { m_role->configChanged(state.document.content()); });
    m_node.onMember([this](const control::member& changed) { m_role->memberChanged(changed); });
    m_node.dump().add("target", [this] { return m_role->describe(); });
    if (const auto started = m_node.start(); !started)
        return started;
    m_role->start();
    m_node.loop().runEvery(loadInterval, [this] { publishLoad(); });
    return {};
}

void target_agent::publishLoad()
{
    const auto load = m_role->load();
    m_node.membership().setLoad({ .running = clampCount(load.running),
        .queued = clampCount(load.queued),
        .bound = clampCount(load.bound),
        .rampStep = static_cast<std::uint8_t>(m_role->rampStep()),
        .weightTag = load.version.empty() ? std::uint16_t { 0 } : control::weightTag(load.version) });
    m_node.metrics().rampState(
        { .step = m_role->rampStep(), .steps = target_role::fullRampStep, .limit = load.bound });
}

} // namespace marigold::agent
