#include "command.h"

#include "session.h"
#include "table.h"

#include <diagnose/diagnose.h>

#include <fstream>
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

void collect(std::istream& from, diagnose::log_collection& logs)
{
    std::string line;
    while (std::getline(from, line))
        logs.add(line);
}

json toJson(const diagnose::request_explanation& explained, const std::string& request)
{
    json timeline = json::array();
    for (const auto& event : explained.timeline)
        timeline.push_back({ { "at_ms", event.at.count() }, { "process", event.process },
            { "event", event.name }, { "detail", event.detail } });
    return { { "request_id", request }, { "process", explained.process }, { "cause", explained.cause },
        { "evidence", explained.evidence }, { "timeline", std::move(timeline) } };
}

} // namespace

outcome explainFromLogs(session& current)
{
    diagnose::log_collection logs({ .request = current.argument(0) });
    for (const std::string& file : current.options().logs) {
        if (file == "-") {
            collect(std::cin, logs);
            continue;
        }
        std::ifstream stream(file);
        if (!stream)
            return fail(exit_code::Usage, fmt::format("log file {} cannot be read", file));
        collect(stream, logs);
    }
    if (logs.processes().empty())
        return fail(exit_code::Usage, "the logs contain no structured line");
    const diagnose::request_explanation explained = diagnose::explain(logs);
    json document = toJson(explained, current.argument(0));
    if (!explained.found && logs.requestRecords().empty())
        return fail(exit_code::Failed, explained.cause, document.dump());
    return document;
}

std::string renderLogExplanation(const json& document)
{
    std::string out
        = fmt::format("request  {}\nprocess  {}\ncause    {}\n", renderScalar(document.at("request_id")),
            renderScalar(document.at("process")), renderScalar(document.at("cause")));
    for (const auto& line : document.at("evidence"))
        out += "         " + renderScalar(line) + "\n";
    return out + "\n" + renderObjects(document.at("timeline"), { "at_ms", "process", "event", "detail" });
}

} // namespace marigold::ctl
