#pragma once

#include <settings/settings.h>

#include <functional>
#include <optional>
#include <string>

namespace marigold::node {

/// What a daemon is, for its command line.
struct program_description {
    std::string name;
    std::string version;
    std::string summary; ///< One sentence.
};

/// Makes SIGTERM end the process at once and in order until its loop handles signals, as nothing has begun
/// that would have to be finished; to be called first. SIGHUP is ignored, since the settings are read after
/// this.
void endOnEarlyStop();

/// Reads the command line of a daemon and loads its settings from file, environment and `--set`.
///
/// `--version`, `--help`, `--check-config` and `--settings-reference` are answered here.
/// \return empty when the daemon should run, otherwise its exit code: 0 done, 1 wrong settings, 2 wrong usage
std::optional<int> readCommandLine(
    const program_description& program, settings::settings_reader& reader, int argc, char** argv);

} // namespace marigold::node
