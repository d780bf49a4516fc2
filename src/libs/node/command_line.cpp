#include "command_line.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace marigold::node {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitInvalidSettings = 1;
constexpr int exitInvalidUsage = 2;

std::size_t countChangedSettings(const settings::settings_reader& reader)
{
    const auto states = reader.states();
    return static_cast<std::size_t>(std::count_if(
        states.begin(), states.end(), [](const auto& state) { return state.source != "default"; }));
}

} // namespace

void installEarlySignalHandlers()
{
    std::signal(SIGTERM, [](int) { std::_Exit(exitSuccess); });
    std::signal(SIGHUP, SIG_IGN);
}

std::optional<int> readCommandLine(
    const program_description& program, settings::settings_reader& reader, int argc, char** argv)
{
    cxxopts::Options options(program.name, program.summary);
    options.add_options()(
        "config", "TOML file with the settings", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("set", "section.key=value; overrides file and environment, may be repeated",
        cxxopts::value<std::vector<std::string>>());
    options.add_options()("check-config", "Check the settings and exit");
    options.add_options()("settings-reference", "Print the reference of all settings and exit");
    options.add_options()("version", "Print the version and exit");
    options.add_options()("help", "Print this help and exit");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            fmt::print("{}\nExample: {} --config {}.toml --set process.listen_port=8081\n", options.help(),
                program.name, program.name);
            return exitSuccess;
        }
        if (arguments.count("version")) {
            fmt::print("{} {}\n", program.name, program.version);
            return exitSuccess;
        }
        if (arguments.count("settings-reference")) {
            fmt::print("{}", reader.settingsReference());
            return exitSuccess;
        }
        settings::settings_sources sources { .file = arguments["config"].as<std::string>(),
            .environment = settings::systemEnvironment() };
        if (arguments.count("set"))
            sources.overrides = arguments["set"].as<std::vector<std::string>>();
        const base::event_log log({ .process = program.name });
        if (const auto loaded = reader.load(sources); !loaded) {
            fmt::print(stderr, "{}\n", loaded.error().message);
            log.write(settings::events::settingsRefused, { { "fault", loaded.error().field } });
            return exitInvalidSettings;
        }
        for (const auto& variable : reader.ignoredVariables())
            log.write(settings::events::variableIgnored, { { "variable", variable } });
        if (arguments.count("check-config")) {
            fmt::print("settings are valid\n");
            return exitSuccess;
        }
        log.write(settings::events::settingsLoaded,
            { { "file", sources.file }, { "changed", std::to_string(countChangedSettings(reader)) } });
    } catch (const cxxopts::exceptions::exception& problem) {
        fmt::print(stderr, "{}: {}\nTry --help.\n", program.name, problem.what());
        return exitInvalidUsage;
    }
    return std::nullopt;
}

} // namespace marigold::node
