#include "first_config.h"

#include "events.h"

#include <fstream>
#include <sstream>

namespace marigold::entry {

void proposeFirstConfig(node::fleet_node& node, const std::string& file)
{
    const control::config_state* current = node.config().current();
    if (file.empty() || !current || current->version != 0)
        return;
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const control::config_change change { .baseVersion = 0,
        .changeId = control::config_log::makeChangeId(0, node.random()),
        .author = node.settings().process.id,
        .kind = control::patch_kind::MergePatch,
        .body = text.str() };
    node.configLog().propose(*current, change, [&node](const control::proposal_outcome& outcome) {
        node.log().write(events::firstConfig,
            { { "outcome", std::string(control::nameOf(outcome.status)) },
                { "message", outcome.problem.message }, { "field", outcome.problem.field } });
        if (outcome.accepted)
            node.config().apply(*outcome.accepted);
    });
}

} // namespace marigold::entry
