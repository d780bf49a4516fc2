#include <agent/agent_settings.h>
#include <entry/entry_settings.h>
#include <relay/relay_settings.h>
#include <settings/settings.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace marigold;

namespace {

/// Registers every settings object of the project. A library with settings of its own adds one line.
std::string renderReference()
{
    settings::settings_reader reader;
    settings::process_settings process;
    settings::cluster_settings cluster;
    settings::kv_settings kv;
    settings::tls_settings tls;
    entry::entry_settings entry;
    agent::agent_settings agent;
    relay::relay_settings relay;
    process.registerSettings(reader);
    cluster.registerSettings(reader);
    kv.registerSettings(reader);
    tls.registerSettings(reader);
    entry.registerOwnSettings(reader);
    agent.registerOwnSettings(reader);
    relay.registerSettings(reader);
    return "# Settings\n\n"
           "A process reads its settings at the start. A value is taken from the default, the TOML file, "
           "the\n"
           "environment variable `MARIGOLD_SECTION_KEY` and the flag `--set section.key=value`; the last "
           "one\n"
           "that is given wins. An unknown key, a wrong type or a value outside its range stops the start.\n"
           "The file is TOML 1.0 in ASCII; a text holds other characters as `\\uXXXX`.\n"
           "In a variable or flag, entries of a list are separated by commas.\n\n"
           "This page is generated from the registered keys by `MARIGOLD_WRITE_DOCS=1 "
           "build/tests/settings_test`.\n\n"
        + reader.settingsReference();
}

} // namespace

TEST_CASE("docs/settings.md lists the registered settings")
{
    // Guards against a reference that lacks a setting or shows an old default.
    const auto page = std::filesystem::path(MARIGOLD_SOURCE_ROOT) / "docs" / "settings.md";
    if (std::getenv("MARIGOLD_WRITE_DOCS"))
        std::ofstream(page) << renderReference();
    std::ostringstream content;
    content << std::ifstream(page).rdbuf();
    CHECK(content.str() == renderReference());
}
