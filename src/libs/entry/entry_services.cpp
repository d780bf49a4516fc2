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

entry_services::entry_services(node::fleet_node& owner, const entry_settings& given)
    : node(owner)
    , settings(given)
    , targets(owner)
    , contexts(owner, targets, given)
    , router(targets.table(), owner.random(), {}, &targets.detector())
    , resumeTokens(tokenSecrets(given.node.cluster))
    , explain(owner.clock())
    , gate(owner.clock(), owner.loop(), { .capacity = static_cast<std::size_t>(given.queueCapacity) })
    , limiter(owner.clock())
{
}

} // namespace marigold::entry
