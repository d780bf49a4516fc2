#include "command.h"

#include "json_text.h"
#include "session.h"
#include "table.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxPatchBytes = 1'048'576; // Maximum size of a value in the key-value service.

tl::expected<json, failure> readPatch(const std::string& file)
{
    std::ifstream fileStream;
    if (file != "-") {
        fileStream.open(file, std::ios::binary);
        if (!fileStream)
            return fail(exit_code::Usage, fmt::format("{}: file cannot be read", file));
    }
    std::istream& stream = file == "-" ? std::cin : fileStream;
    std::string text(maxPatchBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > maxPatchBytes)
        return fail(exit_code::Usage, fmt::format("{}: larger than {} bytes", file, maxPatchBytes));
    if (isNestedTooDeeply(text))
        return fail(exit_code::Usage, fmt::format("{}: arrays and objects are nested too deeply", file));
    try {
        return json::parse(text);
    } catch (const json::parse_error& thrown) {
        // The message of the parser contains line and column.
        const std::string message = thrown.what();
        const std::size_t at = message.find("parse error");
        return fail(exit_code::Usage,
            fmt::format(
                "{}: not valid JSON: {}", file, at == std::string::npos ? message : message.substr(at)));
    }
}

tl::expected<std::uint64_t, failure> parseVersion(const std::string& text)
{
    std::uint64_t version = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (fault != std::errc() || end != text.data() + text.size())
        return fail(exit_code::Usage, fmt::format("\"{}\" is not a version number", text));
    return version;
}

std::string versionQuery(const session& current)
{
    const auto version = current.options().configVersion;
    return version ? fmt::format("?version={}", *version) : std::string();
}

outcome runGet(session& current)
{
    return current.read("/admin/config" + versionQuery(current));
}

outcome runPatch(session& current)
{
    auto patch = readPatch(current.argument(0));
    if (!patch)
        return tl::unexpected(patch.error());
    const bool isMerge = current.options().merge;
    if (patch->is_array() == isMerge)
        return fail(exit_code::Usage,
            fmt::format("{}: {}", current.argument(0),
                isMerge ? "a merge patch must not be an array"
                        : "a JSON patch must be an array; see --merge"));
    return current.change("/admin/config/patch",
        json { { "format", isMerge ? "merge-patch" : "json-patch" }, { "patch", std::move(*patch) },
            { "dry_run", current.options().dryRun } });
}

outcome runHistory(session& current)
{
    return current.read(fmt::format("/admin/config/history?limit={}", current.options().limit));
}

outcome runDiff(session& current)
{
    const auto from = parseVersion(current.argument(0));
    const auto to = parseVersion(current.argument(1));
    if (!from || !to)
        return tl::unexpected(from ? to.error() : from.error());
    return current.read(fmt::format("/admin/config/diff?from={}&to={}", *from, *to));
}

outcome runRollback(session& current)
{
    const auto to = parseVersion(current.argument(0));
    if (!to)
        return tl::unexpected(to.error());
    return current.change("/admin/config/rollback", json { { "to", *to } });
}

outcome runInForce(session& current)
{
    std::string query = versionQuery(current);
    if (query.empty()) {
        outcome config = current.read("/admin/config");
        if (!config)
            return config;
        query = "?version=" + config->at("version").dump();
    }
    return current.read("/admin/config/in_force" + query);
}

std::string renderConfig(const json& document)
{
    return "version " + renderScalar(document.at("version")) + "\n"
        + document.at("document").dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string renderHistory(const json& document)
{
    return renderObjects(document.at("entries"), { "version", "time", "author", "change_id", "paths" });
}

std::string renderDiff(const json& document)
{
    std::string out;
    for (const auto& step : document.at("patch"))
        out += renderScalar(step) + "\n";
    return out.empty() ? "no difference\n" : out;
}

std::string renderInForce(const json& document)
{
    std::string out
        = fmt::format("version {} is in force at {} of {} processes\n", renderScalar(document.at("version")),
            renderScalar(document.at("in_force")), renderScalar(document.at("total")));
    for (const auto& process : document.at("behind"))
        out += "behind: " + renderScalar(process) + "\n";
    return out;
}

} // namespace

std::vector<command> configCommands()
{
    return {
        { .words = { "config", "get" },
            .flags = { "config-version" },
            .summary = "Show the configuration.",
            .example = "marigoldctl config get --config-version 41 --json",
            .run = runGet,
            .render = renderConfig },
        { .words = { "config", "patch" },
            .parameters = { "FILE" },
            .flags = { "base", "change-id", "merge", "dry-run", "wait" },
            .summary = "Apply the JSON patch in FILE to the configuration; \"-\" reads standard input.",
            .example = "marigoldctl config patch limits.json --dry-run",
            .run = runPatch,
            .render = renderChange },
        { .words = { "config", "history" },
            .flags = { "limit" },
            .summary = "List the latest changes.",
            .example = "marigoldctl config history --limit 5",
            .run = runHistory,
            .render = renderHistory },
        { .words = { "config", "diff" },
            .parameters = { "FROM", "TO" },
            .summary = "Show the difference between two versions as a JSON patch.",
            .example = "marigoldctl config diff 41 42",
            .run = runDiff,
            .render = renderDiff },
        { .words = { "config", "rollback" },
            .parameters = { "VERSION" },
            .flags = { "base", "change-id", "wait" },
            .summary = "Make the configuration of VERSION the newest version.",
            .example = "marigoldctl config rollback 41 --wait 20",
            .question = "Roll the configuration back to version {}?",
            .run = runRollback,
            .render = renderChange },
        { .words = { "config", "in-force" },
            .flags = { "config-version" },
            .summary = "Show how many processes have a version in force, and which are behind.",
            .example = "marigoldctl config in-force --config-version 42",
            .run = runInForce,
            .render = renderInForce },
    };
}

} // namespace marigold::ctl
