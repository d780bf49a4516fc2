#include "command.h"

#include "session.h"
#include "table.h"

#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

outcome runStatus(session& current)
{
    return current.read("/admin/status");
}

outcome runDomain(session& current, bool inService)
{
    return current.change(
        "/admin/domains/" + escapePath(current.argument(0)), json { { "in_service", inService } });
}

outcome runTarget(session& current, bool drained)
{
    return current.change(
        "/admin/targets/" + escapePath(current.argument(0)), json { { "drained", drained } });
}

outcome runTargets(session& current)
{
    return current.read("/admin/targets");
}

outcome runExplain(session& current)
{
    if (!current.options().logs.empty())
        return explainFromLogs(current);
    return current.read("/admin/explain/" + escapePath(current.argument(0)));
}

outcome runDump(session& current)
{
    return current.read("/admin/dump?process=" + escapePath(current.argument(0)));
}

/// Renders an explanation with a line for each candidate of each decision.
std::string renderExplanation(const json& document)
{
    if (document.contains("timeline"))
        return renderLogExplanation(document);
    json rest = document;
    json rows = json::array();
    for (const auto& decision : document.value("decisions", json::array()))
        for (const auto& candidate : decision.value("candidates", json::array())) {
            json row = candidate;
            row["at_ms"] = decision.value("at_ms", 0.0);
            row["chosen"] = candidate.value("target", "") == decision.value("chosen", "") ? "yes" : "";
            rows.push_back(std::move(row));
        }
    rest.erase("decisions");
    return renderDocument(rest) + "\ncandidates:\n"
        + renderObjects(rows, { "at_ms", "target", "chosen", "cost_ms", "reason" });
}

std::string renderTargets(const json& document)
{
    return renderObjects(document.at("targets"), { "id", "domain", "kind", "state", "load" });
}

const std::vector<std::string>& changeFlags()
{
    static const std::vector<std::string> flags { "base", "change-id", "wait" };
    return flags;
}

std::vector<command> placementCommands()
{
    return {
        { .words = { "domain", "out" },
            .parameters = { "NAME" },
            .flags = changeFlags(),
            .summary = "Take a failure domain out of service; it receives no new work.",
            .example = "marigoldctl domain out hall-bodo --wait 20",
            .question = "Take the failure domain \"{}\" out of service?",
            .run = [](session& current) { return runDomain(current, false); },
            .render = renderChange },
        { .words = { "domain", "in" },
            .parameters = { "NAME" },
            .flags = changeFlags(),
            .summary = "Return a failure domain to service; its targets ramp up.",
            .example = "marigoldctl domain in hall-bodo",
            .run = [](session& current) { return runDomain(current, true); },
            .render = renderChange },
        { .words = { "target", "drain" },
            .parameters = { "ID" },
            .flags = changeFlags(),
            .summary = "Drain a target; it receives no new work, and running requests complete normally.",
            .example = "marigoldctl target drain engine-07",
            .run = [](session& current) { return runTarget(current, true); },
            .render = renderChange },
        { .words = { "target", "undrain" },
            .parameters = { "ID" },
            .flags = changeFlags(),
            .summary = "End the drain of a target; it receives new work again.",
            .example = "marigoldctl target undrain engine-07",
            .run = [](session& current) { return runTarget(current, false); },
            .render = renderChange },
    };
}

} // namespace

std::vector<command> fleetCommands()
{
    std::vector<command> commands = placementCommands();
    commands.push_back({ .words = { "target", "list" },
        .summary = "List the targets with their state and load.",
        .example = "marigoldctl target list",
        .run = runTargets,
        .render = renderTargets });
    commands.push_back({ .words = { "explain" },
        .parameters = { "REQUEST-ID" },
        .flags = { "log" },
        .summary
        = "Show the candidates, decisions and attempts of a request; with --log, its cause from log files.",
        .example = "marigoldctl explain 0191d3a4-7c1e-7b60-8f00-1c2d3e4f5a6b",
        .run = runExplain,
        .render = renderExplanation });
    commands.push_back({ .words = { "dump" },
        .parameters = { "PROCESS" },
        .summary = "Show the state of all modules of a process.",
        .example = "marigoldctl dump entry-3 --json",
        .run = runDump,
        .render = renderDocument });
    commands.insert(commands.begin(),
        { .words = { "status" },
            .summary = "Show the state of the entry and its view of the fleet.",
            .example = "marigoldctl status",
            .run = runStatus,
            .render = renderDocument });
    return commands;
}

} // namespace marigold::ctl
