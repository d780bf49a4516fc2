#include "agent_settings.h"

namespace marigold::agent {

void agent_settings::registerSettings(settings::settings_reader& reader)
{
    node.registerSettings(reader);
    registerOwnSettings(reader);
}

void agent_settings::registerOwnSettings(settings::settings_reader& reader)
{
    reader.addChoice("agent.kind", kind,
        { { "engine", control::target_kind::Engine }, { "store", control::target_kind::Store },
            { "service", control::target_kind::Service } },
        { .description = "Kind of the target." });
    reader.add("agent.target", &target,
        { .description = "Address of the engine or plain service; empty for a store.",
            .format = settings::setting_format::HttpUrl });
    reader.add("agent.weight_store", &weightStore,
        { .description = "Weight store of the engine, as named in the configuration; empty for none.",
            .format = settings::setting_format::Name });
    reader.add("agent.slots", &slots,
        { .description = "Maximum number of concurrent requests at a warm target.",
            .minimum = 1,
            .maximum = 10'000 });
    reader.add("agent.first_slots", &firstSlots,
        { .description = "Maximum number of concurrent requests at a cold target.",
            .minimum = 1,
            .maximum = 10'000 });
    reader.add("agent.queue_capacity", &queueCapacity,
        { .description = "Maximum number of requests queued at the agent.",
            .minimum = 0,
            .maximum = 100'000 });
    reader.add("agent.prefill_tokens_per_second", &prefillTokensPerSecond,
        { .description = "Prefill throughput of a warm engine.", .unit = "1/s", .minimum = 1 });
    reader.add("agent.token_time_ms", &tokenTime,
        { .description = "Decode step of a warm engine, or service time of a plain service.", .minimum = 1 });
    reader.add("store.memory_bytes", &memoryBytes,
        { .description = "Capacity of the memory tier.", .unit = "B", .minimum = 0 });
    reader.add("store.disk_bytes", &diskBytes,
        { .description = "Capacity of the disk tier.", .unit = "B", .minimum = 0 });
    reader.add("store.link_bytes_per_second", &linkBytesPerSecond,
        { .description = "Assumed bandwidth of the link until transfers have been measured.",
            .unit = "B/s",
            .minimum = 1 });
    reader.addCheck([this]() -> std::string {
        if (kind != control::target_kind::Store && target.empty())
            return "agent.target: required for an engine or a service";
        if (firstSlots > slots)
            return "agent.first_slots: exceeds agent.slots";
        return {};
    });
}

} // namespace marigold::agent
