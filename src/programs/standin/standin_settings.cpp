#include "standin_settings.h"

namespace marigold {

void standin_settings::registerSettings(settings::settings_reader& reader)
{
    reader.addChoice("standin.role", role,
        { { "kv", standin_role::KeyValue }, { "engine", standin_role::Engine },
            { "weights", standin_role::Weights }, { "vmlist", standin_role::VmList },
            { "service", standin_role::Service } },
        { .description = "System that the process simulates." });
    reader.add("standin.listen_address", &listenAddress,
        { .description = "Address to listen on.", .format = settings::setting_format::IpAddress });
    reader.add("standin.listen_port", &listenPort, { .description = "TCP port; 0 selects a free one." });
    reader.add("standin.seed", &seed, { .description = "Seed of the random faults and gaps." });

    reader.add("kv_service.reads_per_second", &readsPerSecond,
        { .description = "Rate limit; further calls are rejected.", .minimum = 1 });
    reader.add("kv_service.writes_per_second", &writesPerSecond,
        { .description = "Rate limit; further calls are rejected.", .minimum = 1 });
    reader.add(
        "kv_service.answer_time_ms", &answerTime, { .description = "Time until each reply.", .minimum = 0 });

    reader.add("engine.model", &model, { .description = "Served model." });
    reader.add("engine.version", &version, { .description = "Weight version at the start." });
    reader.add("engine.slots", &slots, { .description = "Maximum number of concurrent runs.", .minimum = 1 });
    reader.add("engine.prefill_bytes_per_second", &prefillBytesPerSecond,
        { .description = "Prompt bytes prefilled per second; a token has four bytes.",
            .unit = "B/s",
            .minimum = 1 });
    reader.add(
        "engine.token_time_ms", &tokenTime, { .description = "Duration of one decode step.", .minimum = 1 });
    reader.add("engine.cache_blocks", &cacheBlocks,
        { .description = "Capacity of the prefix cache.", .unit = "blocks", .minimum = 0 });
    reader.add("engine.block_bytes", &blockBytes,
        { .description = "Prompt bytes of one block.", .unit = "B", .minimum = 16 });
    reader.add("engine.content_bytes", &contentBytes,
        { .description = "Size of one exported block.", .unit = "B", .minimum = 64 });
    reader.add("engine.checks_fencing", &checksFencing,
        { .description = "Refuse orders with a stale fencing token." });
    reader.add("engine.warm_up_tokens", &warmUpTokens,
        { .description = "Tokens after which a cold engine is warm.", .minimum = 0 });
    reader.add("engine.cold_bound", &coldBound,
        { .description = "Concurrent runs that a cold engine can serve.", .minimum = 1 });
    reader.add("engine.event_gap_probability", &eventGapProbability,
        { .description = "Share of cache events that are lost.", .minimum = 0, .maximum = 1 });
    reader.add("engine.weight_store", &weightStore,
        { .description = "Address of the weight store; if empty, each load takes a third of a second.",
            .format = settings::setting_format::HttpUrl });

    reader.add("weights.bound", &loadBound,
        { .description = "Number of concurrent loads without slowdown.", .minimum = 1 });
    reader.add("weights.load_time_ms", &loadTime, { .description = "Duration of one load.", .minimum = 0 });
    reader.add("vm_list.lag_ms", &lag,
        { .description = "Time until a change of the list is visible.", .minimum = 0 });
    reader.add(
        "service.service_time_ms", &serviceTime, { .description = "Duration of one call.", .minimum = 0 });
}

} // namespace marigold
