#include "entry_settings.h"

namespace marigold::entry {

void entry_settings::registerSettings(settings::settings_reader& reader)
{
    node.registerSettings(reader);
    registerOwnSettings(reader);
}

void entry_settings::registerOwnSettings(settings::settings_reader& reader)
{
    reader.add("entry.public_address", &publicAddress,
        { .description = "Address for callers and operators.",
            .format = settings::setting_format::IpAddress });
    reader.add("entry.public_port", &publicPort, { .description = "TCP port for callers and operators." });
    reader.add("entry.first_config_file", &firstConfigFile,
        { .description = "JSON document that becomes version 1 when the configuration log is empty; ignored "
                         "otherwise." });
    reader.add("entry.max_body_bytes", &maxBodyBytes,
        { .description = "Maximum size of a request body.",
            .unit = "B",
            .minimum = 1024,
            .maximum = 1 << 30 });
    reader.add("entry.block_bytes", &blockBytes,
        { .description = "Prompt bytes of one cached block; must be equal in the whole fleet.",
            .unit = "B",
            .minimum = 16,
            .maximum = 1 << 20 });
    reader.add("entry.hint_bytes", &hintBytes,
        { .description = "Memory for hints about the caches of engines.", .unit = "B", .minimum = 1 << 16 });
    reader.add("entry.default_deadline_ms", &defaultDeadline,
        { .description = "Deadline of a request without X-Deadline-Ms.", .minimum = 1 });
    reader.add("entry.queue_capacity", &queueCapacity,
        { .description = "Maximum number of requests in the fair queue over teams.",
            .minimum = 1,
            .maximum = 1'000'000 });
    reader.add("entry.link_bytes_per_second", &linkBytesPerSecond,
        { .description = "Assumed bandwidth of the link of a store, used to estimate the transfer time if "
                         "the lookup reply of the store contains none.",
            .unit = "B/s",
            .minimum = 1 });
    reader.add("entry.block_content_bytes", &blockContentBytes,
        { .description = "Assumed size of a cached block, for the same estimate.",
            .unit = "B",
            .minimum = 1 });
}

} // namespace marigold::entry
