#include "node_settings.h"

#include <fmt/format.h>

namespace marigold::node {

void node_settings::registerSettings(settings::settings_reader& reader)
{
    process.registerSettings(reader);
    cluster.registerSettings(reader);
    kv.registerSettings(reader);
    tls.registerSettings(reader);
    memory.registerSettings(reader);
}

std::string node_settings::memberId() const
{
    return fmt::format("{}:{}", process.peerAddress(), process.listenPort);
}

} // namespace marigold::node
