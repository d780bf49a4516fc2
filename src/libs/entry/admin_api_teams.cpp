#include "admin_api.h"

#include "admin_request.h"

#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

using nlohmann::json;

/// Time for which the previous key stays valid after a rotation.
constexpr auto keyOverlap = std::chrono::hours(24);

} // namespace

void admin_api::addTeam(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    const auto body = parseBody(exchange);
    if (!body)
        return node::replyError(exchange, body.error());
    const auto name = body->at("team").get<std::string>();
    const auto issued = operate::issueKey(operate::key_kind::Team, name);
    if (!issued)
        return node::replyError(exchange, issued.error());
    std::array<std::uint8_t, 32> secret {};
    operate::systemRandomBytes(secret);
    const json team { { "weight", body->value("weight", 1.0) }, { "burst", body->value("burst", 1.0) },
        { "key_records", { operate::encodeKeyRecord(issued->record) } },
        { "block_secret", base::toHex(secret) } };
    const auto* current = m_services.node.config().current();
    if (current && current->document.content().teams.contains(name))
        return node::replyError(exchange,
            { .reason = base::error_reason::Conflict,
                .message = fmt::format("the team \"{}\" already exists", name),
                .field = "team" });
    propose(exchange, identity,
        { .baseVersion = body->value("base", m_services.node.config().version()),
            .changeId = body->value("change_id", ""),
            .author = {},
            .kind = control::patch_kind::MergePatch,
            .body = json { { "teams", { { name, team } } } }.dump() },
        json { { "key", issued->key } }.dump());
}

void admin_api::changeTeam(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    auto body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object())
        body = json::object();
    const std::string tail = pathAfter(exchange, "/admin/teams/");
    const auto slash = tail.rfind('/');
    const std::string name = tail.substr(0, slash);
    const std::string action = slash == std::string::npos ? "" : tail.substr(slash + 1);
    const auto* current = m_services.node.config().current();
    if (!current || !current->document.content().teams.contains(name))
        return node::replyError(exchange,
            { .reason = base::error_reason::NotFound,
                .message = fmt::format("there is no team \"{}\"", name),
                .field = "team" });
    const auto& team = current->document.content().teams.find(name)->second;
    json changed = json::object();
    json extra = json::object();
    if (action == "rotate") {
        const auto issued = operate::issueKey(operate::key_kind::Team, name);
        std::vector<operate::key_record> records;
        for (const auto& text : team.keyRecords)
            if (auto record = operate::parseKeyRecord(text))
                records.push_back(std::move(*record));
        json texts = json::array();
        for (const auto& record :
            operate::rotateKey(records, issued->record, m_services.node.clock().wallNow(), keyOverlap))
            texts.push_back(operate::encodeKeyRecord(record));
        changed["key_records"] = texts;
        extra["key"] = issued->key;
    } else if (action == "limit") {
        for (const auto* field : { "weight", "burst", "limits" })
            if (body.contains(field))
                changed[field] = body[field];
    } else {
        return node::replyError(exchange,
            { .reason = base::error_reason::NotFound,
                .message = "the action must be rotate or limit",
                .field = "path" });
    }
    propose(exchange, identity,
        { .baseVersion = body.value("base", m_services.node.config().version()),
            .changeId = body.value("change_id", ""),
            .author = {},
            .kind = control::patch_kind::MergePatch,
            .body = json { { "teams", { { name, changed } } } }.dump() },
        extra.dump());
}

} // namespace marigold::entry
