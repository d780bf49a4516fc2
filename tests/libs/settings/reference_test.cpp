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

/// Returns the reference of all settings of the project. A library with settings must be registered here.
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
           "A process reads its settings at startup. A value is taken from the default, the TOML file, the\n"
           "environment variable `MARIGOLD_SECTION_KEY` or the flag `--set section.key=value`; the last one\n"
           "that is given takes precedence. The process does not start if a key is unknown, a type is\n"
           "wrong or a value is outside its range.\n"
           "The file is TOML 1.0 in ASCII; strings contain other characters as `\\uXXXX`.\n"
           "In a variable or flag, entries of a list are separated by commas.\n\n"
           "This page is generated from the registered keys by `MARIGOLD_WRITE_DOCS=1 "
           "build/tests/settings_test`.\n\n"
        + reader.settingsReference();
}

} // namespace

TEST_CASE("docs/settings.md lists the registered settings")
{
    // Guards against a reference with a missing setting or an outdated default.
    const auto page = std::filesystem::path(MARIGOLD_SOURCE_ROOT) / "docs" / "settings.md";
    if (std::getenv("MARIGOLD_WRITE_DOCS"))
        std::ofstream(page) << renderReference();
    std::ostringstream content;
    content << std::ifstream(page).rdbuf();
    CHECK(content.str() == renderReference());
}
