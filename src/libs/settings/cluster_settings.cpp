#include "cluster_settings.h"

#include "settings_reader.h"

namespace marigold::settings {

void cluster_settings::registerSettings(settings_reader& reader)
{
    reader.add("cluster.seed_peers", &seedPeers,
        { .description = "Membership addresses of a few processes to contact at startup.",
            .maximum = 32,
            .format = setting_format::Endpoint });
    reader.add("cluster.vm_list", &vmList,
        { .description = "Address of the platform's VM list; not read if empty.",
            .format = setting_format::HttpUrl });
    reader.add("cluster.message_key", &messageKey,
        { .description = "Shared key that signs messages between processes.",
            .format = setting_format::MessageKey,
            .required = true,
            .secret = true });
    reader.add("cluster.previous_message_key", &previousMessageKey,
        { .description = "Additional key that is accepted while the shared key is rotated.",
            .format = setting_format::MessageKey,
            .secret = true });
    reader.addCheck([this]() -> std::string {
        const auto idOf = [](const std::string& key) { return key.substr(0, key.find(':')); };
        if (!previousMessageKey.empty() && idOf(previousMessageKey) == idOf(messageKey))
            return "cluster.previous_message_key: has the same ID as cluster.message_key";
        return {};
    });
}

} // namespace marigold::settings
