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

std::string usageFault(const command& described, const ctl_options& options)
{
    const std::size_t arguments = options.words.size() - described.words.size();
    if (arguments != described.parameters.size())
        return fmt::format("\"{}\" takes {} argument(s), {} given; see marigoldctl {} --help",
            commandName(described), described.parameters.size(), arguments, commandName(described));
    for (std::size_t i = described.words.size(); i < options.words.size(); ++i)
        if (options.words[i].empty())
            return "an argument is empty";
    for (const auto& flag : options.given)
        if (std::find(described.flags.begin(), described.flags.end(), flag) == described.flags.end())
            return fmt::format("--{} does not apply to \"{}\"", flag, commandName(described));
    return {};
}

bool isConfirmed(const command& described, const session& current)
{
    if (described.question.empty() || current.options().yes)
        return true;
    fmt::print(stderr, "{} [y/N] ", fmt::format(fmt::runtime(described.question), current.argument(0)));
    std::string answer;
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
}

int runCommand(const command& described, const ctl_options& options)
{
    if (std::string fault = usageFault(described, options); !fault.empty())
        return report({ .code = exit_code::Usage, .message = std::move(fault) }, options.json);
    admin_client client({ .entries = options.entries, .key = options.key, .timeout = options.timeout });
    session current(options, client);
    current.setArguments(
        { options.words.begin() + static_cast<std::ptrdiff_t>(described.words.size()), options.words.end() });
    if (!isConfirmed(described, current))
        return report({ .code = exit_code::Usage,
                          .message = "not confirmed, nothing was done; --yes skips the question" },
            options.json);
    try {
        const outcome result = described.run(current);
        if (!result)
            return report(result.error(), options.json);
        if (options.json)
            fmt::print("{}\n", result->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        else
            fmt::print("{}", described.render(*result));
        return 0;
    } catch (const nlohmann::json::exception& thrown) {
        return report(
            { .code = exit_code::Failed,
                .message = fmt::format("the entry answered in an unexpected form: {}", thrown.what()) },
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
        for (auto& described : more())
            commands.push_back(std::move(described));
    const command* described = findCommand(commands, options->words);
    if (options->help) {
        fmt::print("{}", described ? renderCommandHelp(*described) : renderHelp(commands));
        return 0;
    }
    if (!described) {
        const std::string fault = options->words.empty() ? "no command given" : "unknown command";
        return report(
            { .code = exit_code::Usage, .message = fault + "; marigoldctl --help lists the commands" },
            options->json);
    }
    return runCommand(*described, *options);
}
