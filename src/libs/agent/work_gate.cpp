#include "work_gate.h"

namespace marigold::agent {

const control::target* work_gate::target() const
{
    const control::config_state* state = m_node.config().current();
    if (!state)
        return nullptr;
    const auto found = state->document.content().targets.find(m_node.settings().process.id);
    return found == state->document.content().targets.end() ? nullptr : &found->second;
}

base::result<outcome::drain::work_id> work_gate::enter(const std::string& description)
{
    if (!m_node.config().mayServe())
        return base::notRun(base::error_reason::Unavailable, "the agent has no configuration yet");
    const control::target* self = target();
    if (!self)
        return base::notRun(base::error_reason::Unavailable, "the target is not in the configuration");
    if (!m_node.config().current()->document.content().isInService(*self, m_node.settings().process.id))
        return base::notRun(
            base::error_reason::Unavailable, "the target or its failure domain is out of service");
    return m_node.drain().enter(description);
}

} // namespace marigold::agent
