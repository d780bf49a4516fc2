#pragma once

#include "failure.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::ctl {

class session;

/// One command of the program.
struct command {
    std::vector<std::string> words; ///< As typed, such as "domain", "out".
    std::vector<std::string> parameters; ///< Names of its arguments, for the usage line.
    std::vector<std::string> flags; ///< Names of its own flags.
    std::string summary; ///< One sentence.
    std::string example;
    std::string question; ///< Asked before a dangerous step, with "{}" for the first argument; else empty.
    outcome (*run)(session&) = nullptr;
    std::string (*render)(const nlohmann::json&) = nullptr; ///< For people.
};

std::vector<command> configCommands();
std::vector<command> fleetCommands();
std::vector<command> teamCommands();

/// Explains a request from the log files that `--log` names.
outcome explainFromLogs(session& current);

/// Renders what `explainFromLogs` returned.
std::string renderLogExplanation(const nlohmann::json& document);

/// Returns the text that tells how a change ended.
std::string renderChange(const nlohmann::json& document);

/// Returns the name of the command: its words joined by spaces.
std::string commandName(const command& described);

/// Returns the command whose words begin \a words, or null.
const command* findCommand(std::span<const command> commands, std::span<const std::string> words);

/// Returns the help of the program.
std::string renderHelp(std::span<const command> commands);

/// Returns the help of one command.
std::string renderCommandHelp(const command& described);

} // namespace marigold::ctl
