#include "session.h"

#include "json_text.h"

#include <base/base.h>
#include <operate/operate.h>

#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::ctl {

namespace {

using json = nlohmann::json;

constexpr int httpUnauthorized = 401;
constexpr int httpForbidden = 403;
constexpr int httpConflict = 409;

/// Parses \a text. Returns a discarded value if it is malformed or nested too deeply.
json parse(const std::string& text)
{
    if (isNestedTooDeeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::string errorMessage(const json& answer)
{
    if (!answer.is_object() || !answer.contains("error") || !answer["error"].is_object())
        return {};
    const json& error = answer["error"];
    const auto text = [&error](const char* name) {
        return error.contains(name) && error[name].is_string() ? error[name].get<std::string>()
                                                               : std::string();
    };
    const std::string field = text("field");
    return text("message") + (field.empty() ? "" : fmt::format(" (at {})", field));
}

failure conflict(const json& answer, const std::string& detail)
{
    if (!answer.is_object() || !answer.contains("base") || !answer.contains("current"))
        return {
            .code = exit_code::Conflict, .message = "conflict: " + errorMessage(answer), .detail = detail
        };
    const std::string base = answer["base"].dump();
    const std::string current = answer["current"].dump();
    return { .code = exit_code::Conflict,
        .message = fmt::format("conflict: the change is based on version {}, and the current version is {}; "
                               "\"marigoldctl config diff {} {}\" shows what changed in between",
            base, current, base, current),
        .detail = detail };
}

/// Returns whether the result \a answer leaves open if the change was accepted.
bool isOutcomeUnknown(const call_result& answer)
{
    if (answer.state != call_state::Answered)
        return answer.state == call_state::Lost;
    if (answer.status >= 300)
        return answer.status >= 500 && answer.body.find("\"not_run\"") == std::string::npos;
    const json document = parse(answer.body);
    if (!document.contains("outcome"))
        return !document.contains("key"); // The response to a key rotation contains only the key.
    return document["outcome"] != "accepted" && document["outcome"] != "dry_run";
}

} // namespace

outcome session::read(const std::string& path)
{
    return interpret(m_client.get(path));
}

outcome session::interpret(const call_result& answer) const
{
    if (answer.state != call_state::Answered)
        return fail(exit_code::Unreachable,
            answer.state == call_state::Lost
                ? fmt::format(
                    "{} did not respond completely within {} ms", answer.entry, m_options.timeout.count())
                : fmt::format("no entry was reached; the last one tried is {}", answer.entry));
    const json document = parse(answer.body);
    const std::string detail = document.is_discarded() ? std::string() : answer.body;
    if (answer.status >= 200 && answer.status < 300) {
        if (!document.is_discarded())
            return document;
        return fail(exit_code::Failed, fmt::format("{} replied with malformed JSON", answer.entry));
    }
    const std::string message = errorMessage(document);
    switch (answer.status) {
    case httpUnauthorized:
        return fail(exit_code::NoPermission,
            "no permission: the operator key is missing or not valid; set MARIGOLD_OPERATOR_KEY or "
            "--key-file",
            detail);
    case httpForbidden:
        return fail(exit_code::NoPermission, "no permission: " + message, detail);
    case httpConflict:
        return tl::unexpected(conflict(document, detail));
    default:
        return fail(exit_code::Failed,
            message.empty() ? fmt::format("{} replied with HTTP status {}", answer.entry, answer.status)
                            : message,
            detail);
    }
}

tl::expected<std::uint64_t, failure> session::baseVersion()
{
    if (m_options.base)
        return *m_options.base;
    const outcome current = read("/admin/config");
    if (!current)
        return tl::unexpected(current.error());
    if (!current->is_object() || !current->contains("version") || !(*current)["version"].is_number_unsigned())
        return fail(exit_code::Failed, "the response of the entry does not contain the current version");
    return (*current)["version"].get<std::uint64_t>();
}

outcome session::change(const std::string& path, json body)
{
    const auto base = baseVersion();
    if (!base)
        return tl::unexpected(base.error());
    // The id starts with the version that the change would create, so that any entry can find the change in
    // the log.
    const std::string changeId = m_options.changeId.empty()
        ? fmt::format("{}-{}", *base + 1, operate::makeUuidV7(base::system_clock().wallNow()))
        : m_options.changeId;
    body["base"] = *base;
    body["change_id"] = changeId;
    const call_result answer = m_client.post(path, body.dump());
    const bool isDryRun = body.value("dry_run", false);
    outcome result = isOutcomeUnknown(answer) && !isDryRun ? resolve(changeId, *base,
                         answer.state == call_state::Lost ? "the response was lost"
                                                          : "the entry could not determine the outcome")
                                                           : interpret(answer);
    if (result && result->is_object() && m_options.waitSeconds > 0
        && result->value("outcome", "") == "accepted")
        return waitInForce(std::move(*result));
    return result;
}

outcome session::resolve(const std::string& changeId, std::uint64_t base, const std::string& cause)
{
    // The write may still be in progress, so the entries are queried again after increasing pauses (3.5 s in
    // total).
    constexpr std::array<std::chrono::milliseconds, 4> pauses { std::chrono::milliseconds(0),
        std::chrono::milliseconds(500), std::chrono::milliseconds(1000), std::chrono::milliseconds(2000) };
    for (const auto pause : pauses) {
        if (pause.count() > 0)
            m_client.pause(pause);
        outcome answer = read("/admin/config/change/" + escapePath(changeId));
        if (!answer || !answer->is_object())
            continue;
        const std::string state = answer->value("outcome", "unknown");
        if (state == "accepted") {
            (*answer)["change_id"] = changeId;
            (*answer)["resolved"] = true;
            return answer;
        }
        if (state == "refused")
            return fail(exit_code::Failed,
                fmt::format("refused: {}, and the change {} was not accepted", cause, changeId),
                answer->dump());
    }
    return fail(exit_code::Unknown,
        fmt::format("unknown: {}, and no entry could report whether the change {} was accepted; repeat the "
                    "command with --base {} --change-id {}, which cannot apply it twice",
            cause, changeId, base, changeId),
        json { { "outcome", "unknown" }, { "change_id", changeId } }.dump());
}

outcome session::waitInForce(json accepted)
{
    constexpr std::chrono::milliseconds interval { 500 };
    const std::uint64_t rounds = m_options.waitSeconds * 1000 / interval.count();
    const std::string path = "/admin/config/in_force?version=" + accepted.at("version").dump();
    json last;
    for (std::uint64_t round = 0; round <= rounds; ++round) {
        if (round > 0)
            m_client.pause(interval);
        const outcome state = read(path);
        if (!state)
            continue;
        last = *state;
        if (last.at("in_force") == last.at("total")) {
            accepted["in_force"] = last.at("in_force");
            accepted["total"] = last.at("total");
            return accepted;
        }
    }
    return fail(exit_code::Failed,
        fmt::format("version {} was accepted but is not in force everywhere after {} s: {}",
            accepted.at("version").dump(), m_options.waitSeconds,
            last.is_null() ? "no entry replied" : last.dump()),
        accepted.dump());
}

} // namespace marigold::ctl
