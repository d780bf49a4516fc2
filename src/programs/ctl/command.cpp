#include "command.h"

#include "table.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

std::string usageLine(const command& cmd)
{
    return fmt::format("marigoldctl {}{}{}", commandName(cmd), cmd.parameters.empty() ? "" : " ",
        fmt::join(cmd.parameters, " "));
}

std::string describeFlag(const std::string& flag)
{
    static const std::map<std::string, std::string> descriptions {
        { "base", "--base N             version that the change is based on (default: the current one)" },
        { "config-version", "--config-version N   version to show (default: the current one)" },
        { "change-id", "--change-id ID       id of the change, to repeat a change whose outcome is unknown" },
        { "merge", "--merge              the file is a merge patch (RFC 7396), not a JSON patch (RFC 6902)" },
        { "dry-run", "--dry-run            check the change and list the paths that it modifies" },
        { "wait", "--wait SECONDS       wait until the change is in force at every process" },
        { "log",
            "--log FILE           log file of a process, or - for standard input; may be repeated for "
            "several "
            "files" },
        { "limit",
            "--limit K            maximum number of history entries to print, 1 to 1000 (default 20)" },
        { "weight", "--weight W           share of the team relative to others, above 0" },
        { "burst", "--burst B            requests that the team may send above its share, above 0" },
    };
    return "  " + descriptions.at(flag) + "\n";
}

constexpr std::string_view generalHelp = R"(
Flags of every command:
  --entry http://IP:PORT  entry to call (default http://127.0.0.1:8080); may be repeated for fail-over
  --key-file FILE         file with the operator key (default: environment MARIGOLD_OPERATOR_KEY)
  --json                  print JSON for programs instead of tables
  --yes                   skip the confirmation of dangerous commands
  --timeout-ms T          time limit of one call, 1 to 600000 (default 10000)
  --help                  print this help, or the help of a command
  --version               print the version of the program

Exit codes:
  0 success   1 failed   2 invalid usage or input file   3 conflict with another change
  4 no permission   5 no entry reachable   6 outcome unknown

Examples:
  marigoldctl --entry http://10.0.0.5:8080 --entry http://10.0.1.5:8080 status
  marigoldctl domain out hall-bodo --wait 20
  marigoldctl explain 0191d3a4-7c1e-7b60-8f00-1c2d3e4f5a6b --json
  marigoldctl explain 9c41d07be2a35f68 --log relay-1.log --log relay-2.log
)";

} // namespace

std::string commandName(const command& cmd)
{
    return fmt::format("{}", fmt::join(cmd.words, " "));
}

const command* findCommand(std::span<const command> commands, std::span<const std::string> words)
{
    for (const auto& candidate : commands)
        if (words.size() >= candidate.words.size()
            && std::equal(candidate.words.begin(), candidate.words.end(), words.begin()))
            return &candidate;
    return nullptr;
}

std::string renderHelp(std::span<const command> commands)
{
    std::string out = "Usage: marigoldctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto& cmd : commands)
        rows.push_back(
            { "  " + usageLine(cmd).substr(std::string_view("marigoldctl ").size()), cmd.summary });
    out += renderTable({}, rows);
    out += generalHelp;
    return out;
}

std::string renderCommandHelp(const command& cmd)
{
    std::string out = fmt::format("Usage: {} [FLAGS]\n\n{}\n", usageLine(cmd), cmd.summary);
    if (!cmd.question.empty())
        out += "Asks for confirmation unless --yes is given.\n";
    if (!cmd.flags.empty())
        out += "\nFlags (marigoldctl --help lists the flags of every command):\n";
    for (const auto& flag : cmd.flags)
        out += describeFlag(flag);
    return out + "\nExample:\n  " + cmd.example + "\n";
}

std::string renderChange(const nlohmann::json& document)
{
    const std::string state = document.at("outcome").get<std::string>();
    if (state == "dry_run") {
        std::string out = "dry run: the change would modify\n";
        for (const auto& path : document.at("changes"))
            out += "  " + renderScalar(path) + "\n";
        return out;
    }
    std::string out = state + ": version " + renderScalar(document.at("version"));
    if (document.contains("in_force"))
        out += fmt::format(", in force at {} of {} processes", renderScalar(document.at("in_force")),
            renderScalar(document.at("total")));
    if (document.contains("resolved"))
        out += fmt::format(
            " (the response was lost; found by change id {})", renderScalar(document.at("change_id")));
    return out + "\n";
}

} // namespace marigold::ctl
