#include "entry_services.h"

namespace marigold::entry {

namespace {

std::vector<std::string> tokenSecrets(const settings::cluster_settings& cluster)
{
    std::vector<std::string> secrets;
    for (const auto* text : { &cluster.messageKey, &cluster.previousMessageKey })
        if (const auto key = operate::parseMessageKey(*text))
            secrets.push_back(key->secret);
    return secrets;
}

} // namespace

entry_services::entry_services(node::fleet_node& fleetNode, const entry_settings& entrySettings)
    : node(fleetNode)
    , settings(entrySettings)
    , targets(fleetNode)
    , contexts(fleetNode, targets, entrySettings)
    , router(targets.table(), fleetNode.random(), {}, &targets.detector())
    , resumeTokens(tokenSecrets(entrySettings.node.cluster))
    , explain(fleetNode.clock())
    , gate(fleetNode.clock(), fleetNode.loop(),
          { .capacity = static_cast<std::size_t>(entrySettings.queueCapacity) })
    , limiter(fleetNode.clock())
{
}

} // namespace marigold::entry
