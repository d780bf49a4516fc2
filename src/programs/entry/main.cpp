#include <entry/entry.h>

#include <fmt/format.h>

int main(int argc, char** argv)
{
    using namespace marigold;
    node::installEarlySignalHandlers();
    entry::entry_settings settings;
    settings::settings_reader reader;
    settings.registerSettings(reader);
    const node::program_description program { .name = "marigold-entry",
        .version = MARIGOLD_VERSION,
        .summary = "Routes requests of callers to targets and serves operators." };
    if (const auto code = node::readCommandLine(program, reader, argc, argv))
        return *code;
    entry::fleet_entry entry(settings, MARIGOLD_VERSION);
    if (const auto started = entry.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return 1;
    }
    return entry.run();
}
