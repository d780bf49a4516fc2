#pragma once

#include <settings/settings.h>

#include <functional>
#include <optional>
#include <string>

namespace marigold::node {

/// Description of a daemon for its command line.
struct program_description {
    std::string name;
    std::string version;
    std::string summary; ///< One sentence for the help text.
};

/// Installs signal handlers for the time before the event loop handles signals; must be called first. SIGTERM
/// ends the process at once with exit code 0, since no work has started. SIGHUP is ignored, since the
/// settings are read afterwards.
void installEarlySignalHandlers();

/// Reads the command line of a daemon and loads its settings from file, environment and `--set`.
///
/// Handles `--version`, `--help`, `--check-config` and `--settings-reference`.
/// \return empty if the daemon should run, otherwise its exit code: 0 success, 1 invalid settings, 2 invalid
/// usage
std::optional<int> readCommandLine(
    const program_description& program, settings::settings_reader& reader, int argc, char** argv);

} // namespace marigold::node
