#include <agent/agent.h>

#include <fmt/format.h>

int main(int argc, char** argv)
{
    using namespace marigold;
    node::installEarlySignalHandlers();
    agent::agent_settings settings;
    settings::settings_reader reader;
    settings.registerSettings(reader);
    const node::program_description program { .name = "marigold-agent",
        .version = MARIGOLD_VERSION,
        .summary = "Runs beside a target and controls admission to it." };
    if (const auto code = node::readCommandLine(program, reader, argc, argv))
        return *code;
    agent::target_agent agent(settings, MARIGOLD_VERSION);
    if (const auto started = agent.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return 1;
    }
    return agent.run();
}
