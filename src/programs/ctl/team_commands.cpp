#include "command.h"

#include "session.h"
#include "table.h"

#include <base/base.h>
#include <operate/operate.h>

#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

/// Returns the weight and burst given on the command line.
json givenShares(const session& current)
{
    json body = json::object();
    if (current.options().weight)
        body["weight"] = *current.options().weight;
    if (current.options().burst)
        body["burst"] = *current.options().burst;
    return body;
}

outcome runAdd(session& current)
{
    json body = givenShares(current);
    body["team"] = current.argument(0);
    return current.change("/admin/teams", std::move(body));
}

outcome runLimit(session& current)
{
    json body = givenShares(current);
    if (body.empty())
        return fail(exit_code::Usage, "team limit requires --weight or --burst");
    return current.change("/admin/teams/" + escapePath(current.argument(0)) + "/limit", std::move(body));
}

outcome runRotate(session& current)
{
    return current.change("/admin/teams/" + escapePath(current.argument(0)) + "/rotate", json::object());
}

outcome runNewKey(session&)
{
    return json { { "key", operate::makeUuidV7(base::system_clock().wallNow()) } };
}

/// Issues an operator key without contacting an entry, for the first configuration of a fleet.
outcome runOperatorKey(session& current)
{
    const auto issued = operate::issueKey(operate::key_kind::Operator, current.argument(0));
    if (!issued)
        return fail(exit_code::Usage, issued.error().message);
    return json { { "key", issued->key }, { "record", operate::encodeKeyRecord(issued->record) } };
}

std::string renderOperatorKey(const json& document)
{
    return "key: " + renderScalar(document.at("key")) + "\nrecord for the configuration: "
        + renderScalar(document.at("record")) + "\nThe key is shown only once; store it now.\n";
}

std::string renderIssued(const json& document)
{
    std::string out = document.contains("outcome") ? renderChange(document) : std::string();
    if (document.contains("key"))
        return out + "key: " + renderScalar(document.at("key"))
            + "\nThe key is shown only once; store it now.\n";
    return out
        + "The key was lost with the response; issue another one with \"marigoldctl team key rotate\".\n";
}

std::string renderNewKey(const json& document)
{
    return renderScalar(document.at("key")) + "\n";
}

} // namespace

std::vector<command> teamCommands()
{
    return {
        { .words = { "team", "add" },
            .parameters = { "NAME" },
            .flags = { "weight", "burst", "base", "change-id", "wait" },
            .summary = "Add a team and print its key.",
            .example = "marigoldctl team add bergvik-braille --weight 10 --burst 40",
            .run = runAdd,
            .render = renderIssued },
        { .words = { "team", "limit" },
            .parameters = { "NAME" },
            .flags = { "weight", "burst", "base", "change-id", "wait" },
            .summary = "Change the share of a team.",
            .example = "marigoldctl team limit bergvik-braille --weight 20",
            .run = runLimit,
            .render = renderChange },
        { .words = { "team", "key", "rotate" },
            .parameters = { "NAME" },
            .flags = { "base", "change-id", "wait" },
            .summary = "Print a new key of a team; the previous key stays valid for the overlap period.",
            .example = "marigoldctl team key rotate bergvik-braille",
            .question = "Issue a new key for the team \"{}\" and let the previous one expire?",
            .run = runRotate,
            .render = renderIssued },
        { .words = { "key", "new" },
            .summary = "Print a new idempotency key (UUIDv7); no entry is contacted.",
            .example = "marigoldctl key new",
            .run = runNewKey,
            .render = renderNewKey },
        { .words = { "key", "operator" },
            .parameters = { "NAME" },
            .summary
            = "Create an operator key and its record for the first configuration; no entry is contacted.",
            .example = "marigoldctl key operator root",
            .run = runOperatorKey,
            .render = renderOperatorKey },
    };
}

} // namespace marigold::ctl
