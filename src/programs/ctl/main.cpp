#include "command.h"
#include "ctl_options.h"
#include "session.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using namespace marigold::ctl;

int report(const failure& failed, bool json)
{
    if (json) {
        nlohmann::json out { { "exit_code", static_cast<int>(failed.code) }, { "message", failed.message } };
        if (!failed.detail.empty())
            out["answer"] = nlohmann::json::parse(failed.detail, nullptr, false);
        fmt::print("{}\n", out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    fmt::print(stderr, "marigoldctl: {}\n", failed.message);
    return static_cast<int>(failed.code);
}

std::string findUsageError(const command& cmd, const ctl_options& options)
{
    const std::size_t arguments = options.words.size() - cmd.words.size();
    if (arguments != cmd.parameters.size())
        return fmt::format("\"{}\" takes {} argument(s), {} given; see marigoldctl {} --help",
            commandName(cmd), cmd.parameters.size(), arguments, commandName(cmd));
    for (std::size_t i = cmd.words.size(); i < options.words.size(); ++i)
        if (options.words[i].empty())
            return "an argument is empty";
    for (const auto& flag : options.givenFlags)
        if (std::find(cmd.flags.begin(), cmd.flags.end(), flag) == cmd.flags.end())
            return fmt::format("--{} does not apply to \"{}\"", flag, commandName(cmd));
    return {};
}

bool isConfirmed(const command& cmd, const session& current)
{
    if (cmd.question.empty() || current.options().yes)
        return true;
    fmt::print(stderr, "{} [y/N] ", fmt::format(fmt::runtime(cmd.question), current.argument(0)));
    std::string answer;
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
}

int runCommand(const command& cmd, const ctl_options& options)
{
    if (std::string error = findUsageError(cmd, options); !error.empty())
        return report({ .code = exit_code::Usage, .message = std::move(error) }, options.json);
    admin_client client({ .entries = options.entries, .key = options.key, .timeout = options.timeout });
    session current(options, client);
    current.setArguments(
        { options.words.begin() + static_cast<std::ptrdiff_t>(cmd.words.size()), options.words.end() });
    if (!isConfirmed(cmd, current))
        return report({ .code = exit_code::Usage,
                          .message = "not confirmed, nothing was changed; --yes skips the confirmation" },
            options.json);
    try {
        const outcome result = cmd.run(current);
        if (!result)
            return report(result.error(), options.json);
        if (options.json)
            fmt::print("{}\n", result->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        else
            fmt::print("{}", cmd.render(*result));
        return 0;
    } catch (const nlohmann::json::exception& thrown) {
        return report({ .code = exit_code::Failed,
                          .message = fmt::format(
                              "the response of the entry has an unexpected format: {}", thrown.what()) },
            options.json);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options)
        return report(options.error(), false);
    if (options->version) {
        fmt::print("marigoldctl {}\n", MARIGOLD_VERSION);
        return 0;
    }
    std::vector<command> commands = fleetCommands();
    for (auto* more : { configCommands, teamCommands })
        for (auto& cmd : more())
            commands.push_back(std::move(cmd));
    const command* cmd = findCommand(commands, options->words);
    if (options->help) {
        fmt::print("{}", cmd ? renderCommandHelp(*cmd) : renderHelp(commands));
        return 0;
    }
    if (!cmd) {
        const std::string error = options->words.empty() ? "no command given" : "unknown command";
        return report(
            { .code = exit_code::Usage, .message = error + "; marigoldctl --help lists the commands" },
            options->json);
    }
    return runCommand(*cmd, *options);
}
