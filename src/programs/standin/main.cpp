#include "standin_settings.h"

#include <node/command_line.h>
#include <standin/standin.h>

#include <csignal>
#include <memory>

#include <fmt/format.h>

using namespace marigold;

namespace {

/// The service of the selected role; exactly one is set.
struct simulated_service {
    std::unique_ptr<standin::kv_service> keyValue;
    std::unique_ptr<standin::engine_service> engine;
    std::unique_ptr<standin::weight_store> weights;
    std::unique_ptr<standin::vm_list_service> vmList;
    std::unique_ptr<standin::plain_service> service;
};

standin::engine_service::options engineOptions(const standin_settings& settings)
{
    return {
        .model = settings.model,
        .version = settings.version,
        .slots = settings.slots,
        .prefillBytesPerSecond = settings.prefillBytesPerSecond,
        .tokenTime = settings.tokenTime,
        .cache = { .capacityBlocks = static_cast<std::size_t>(settings.cacheBlocks),
            .blockBytes = static_cast<std::size_t>(settings.blockBytes),
            .contentBytes = static_cast<std::size_t>(settings.contentBytes) },
        .checksFencing = settings.checksFencing,
        .warmUpTokens = settings.warmUpTokens,
        .coldBound = settings.coldBound,
        .eventGapProbability = settings.eventGapProbability,
        .weightStore = net::endpoint::parse(settings.weightStore),
        .seed = settings.seed,
    };
}

simulated_service makeService(
    net::event_loop& loop, standin::standin_server& server, const standin_settings& settings)
{
    simulated_service simulated;
    switch (settings.role) {
    case standin_role::KeyValue:
        simulated.keyValue = std::make_unique<standin::kv_service>(loop, server,
            standin::kv_service::options { .readsPerSecond = settings.readsPerSecond,
                .writesPerSecond = settings.writesPerSecond,
                .answerTime = settings.answerTime });
        break;
    case standin_role::Engine:
        simulated.engine = std::make_unique<standin::engine_service>(loop, server, engineOptions(settings));
        break;
    case standin_role::Weights:
        simulated.weights = std::make_unique<standin::weight_store>(loop, server,
            standin::weight_store::options { .bound = settings.loadBound, .loadTime = settings.loadTime });
        break;
    case standin_role::VmList:
        simulated.vmList = std::make_unique<standin::vm_list_service>(
            loop, server, standin::vm_list_service::options { .lag = settings.lag });
        break;
    case standin_role::Service:
        simulated.service = std::make_unique<standin::plain_service>(
            loop, server, standin::plain_service::options { .serviceTime = settings.serviceTime });
        break;
    }
    return simulated;
}

} // namespace

int main(int argc, char** argv)
{
    standin_settings settings;
    settings::settings_reader reader;
    settings.registerSettings(reader);
    const node::program_description program { .name = "marigold-standin",
        .version = MARIGOLD_VERSION,
        .summary = "Simulates a system of the platform, for tests and the demo." };
    if (const auto code = node::readCommandLine(program, reader, argc, argv))
        return *code;

    net::event_loop loop;
    standin::standin_server server(
        loop, { .address = settings.listenAddress, .port = settings.listenPort, .seed = settings.seed });
    const simulated_service simulated = makeService(loop, server, settings);
    if (const auto listening = server.listen(); !listening) {
        fmt::print(stderr, "{}\n", listening.error().message);
        return 1;
    }
    fmt::print("listening on {}:{}\n", settings.listenAddress, server.port());
    std::fflush(stdout);
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    loop.run();
    return 0;
}
