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
    std::vector<std::string> words; ///< Words of the name, such as "domain", "out".
    std::vector<std::string> parameters; ///< Names of its arguments, for the usage line.
    std::vector<std::string> flags; ///< Names of the flags specific to this command.
    std::string summary; ///< One sentence.
    std::string example;
    std::string question; ///< Confirmation question with "{}" for the first argument; empty for none.
    outcome (*run)(session&) = nullptr;
    std::string (*render)(const nlohmann::json&) = nullptr; ///< Returns the text output.
};

std::vector<command> configCommands();
std::vector<command> fleetCommands();
std::vector<command> teamCommands();

/// Explains a request from the log files given with `--log`.
outcome explainFromLogs(session& current);

/// Renders the result of `explainFromLogs`.
std::string renderLogExplanation(const nlohmann::json& document);

/// Renders the outcome of a change.
std::string renderChange(const nlohmann::json& document);

/// Returns the name of the command: its words joined by spaces.
std::string commandName(const command& cmd);

/// Returns the command whose words are a prefix of \a words, or null.
const command* findCommand(std::span<const command> commands, std::span<const std::string> words);

/// Returns the help of the program.
std::string renderHelp(std::span<const command> commands);

/// Returns the help of one command.
std::string renderCommandHelp(const command& cmd);

} // namespace marigold::ctl
