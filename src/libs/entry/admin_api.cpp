#include "admin_api.h"

#include "admin_request.h"

#include "events.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

using nlohmann::json;

base::result<std::uint64_t> parseNumber(std::string_view text, const char* field)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("{} must be a non-negative integer", field), field);
    return value;
}

/// Escapes a reference token of a JSON pointer (RFC 6901).
std::string escapePointerToken(std::string_view name)
{
    std::string out;
    for (const char c : name)
        out += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    return out;
}

json addOperationPatch(std::string_view path, json value)
{
    return json::array({ { { "op", "add" }, { "path", path }, { "value", std::move(value) } } });
}

/// Maximum number of processes queried for one request about a version. For the others, the version reported
/// by membership is used.
constexpr std::size_t maxQueriedProcesses = 64;

/// Collects the replies of the processes that appear to be behind a version.
struct in_force_reply {
    std::uint64_t version = 0;
    std::size_t total = 0;
    std::size_t pending = 0;
    std::vector<std::string> behind;

    void reply(const node::exchange_ptr& exchange) const
    {
        node::replyJson(exchange, 200,
            json { { "version", version }, { "in_force", total - behind.size() }, { "total", total },
                { "behind", behind } }
                .dump());
    }
};

} // namespace

void admin_api::add(node::http_router& router, std::string method, std::string path,
    operate::operator_right right, operator_handler handler)
{
    router.add(
        std::move(method), std::move(path), [this, right, handler](const node::exchange_ptr& exchange) {
            const auto identity = m_services.node.access().requireOperator(
                exchange->header("Authorization").value_or(""), right);
            if (!identity)
                return node::replyError(exchange, identity.error());
            try {
                (this->*handler)(exchange, *identity);
            } catch (const json::exception& problem) {
                node::replyError(exchange,
                    { .reason = base::error_reason::InvalidRequest,
                        .message = problem.what(),
                        .field = "body" });
            }
        });
}

void admin_api::addRoutes(node::http_router& router)
{
    using right = operate::operator_right;
    add(router, "GET", "/admin/config", right::Read, &admin_api::getConfig);
    add(router, "POST", "/admin/config/patch", right::Change, &admin_api::patchConfig);
    add(router, "GET", "/admin/config/change/", right::Read, &admin_api::resolveChange);
    add(router, "GET", "/admin/config/history", right::Read, &admin_api::history);
    add(router, "GET", "/admin/config/diff", right::Read, &admin_api::diff);
    add(router, "POST", "/admin/config/rollback", right::Dangerous, &admin_api::rollback);
    add(router, "GET", "/admin/config/in_force", right::Read, &admin_api::inForce);
    add(router, "POST", "/admin/domains/", right::Dangerous, &admin_api::setDomain);
    add(router, "GET", "/admin/targets", right::Read, &admin_api::listTargets);
    add(router, "POST", "/admin/targets/", right::Change, &admin_api::setTarget);
    add(router, "POST", "/admin/teams", right::Dangerous, &admin_api::addTeam);
    add(router, "POST", "/admin/teams/", right::Dangerous, &admin_api::changeTeam);
    add(router, "GET", "/admin/status", right::Read, &admin_api::status);
    add(router, "GET", "/admin/explain/", right::Read, &admin_api::explain);
    add(router, "GET", "/metrics", right::Read, &admin_api::metrics);
    add(router, "GET", "/admin/dump", right::Read, &admin_api::dump);
}

void admin_api::getConfig(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    const auto* current = m_services.node.config().current();
    if (!current)
        return node::replyError(
            exchange, { .reason = base::error_reason::Unavailable, .message = "no configuration is loaded" });
    const auto answer = [exchange](std::uint64_t version, const control::config_document& document) {
        node::replyJson(exchange, 200,
            json { { "version", version }, { "document", json::parse(document.text()) } }.dump());
    };
    const auto requested = exchange->query("version");
    if (!requested)
        return answer(current->version, current->document);
    const auto version = parseNumber(*requested, "version");
    if (!version)
        return node::replyError(exchange, version.error());
    m_services.node.configLog().documentAt(*current, *version,
        [exchange, answer, version = *version](const base::result<control::config_document>& document) {
            if (!document)
                return node::replyError(exchange, document.error());
            answer(version, *document);
        });
}

void admin_api::patchConfig(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    const auto body = parseBody(exchange);
    if (!body)
        return node::replyError(exchange, body.error());
    const auto* current = m_services.node.config().current();
    if (!current)
        return node::replyError(
            exchange, { .reason = base::error_reason::Unavailable, .message = "no configuration is loaded" });
    const auto format = body->value("format", "json-patch");
    if (format != "json-patch" && format != "merge-patch")
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "format must be json-patch or merge-patch",
                .field = "format" });
    control::config_change change { .baseVersion = body->at("base").get<std::uint64_t>(),
        .changeId = body->value("change_id", ""),
        .author = identity.name,
        .kind = format == "json-patch" ? control::patch_kind::JsonPatch : control::patch_kind::MergePatch,
        .body = body->at("patch").dump() };
    if (!body->value("dry_run", false))
        return propose(exchange, identity, std::move(change));
    const auto effect = control::dryRun(*current, change);
    if (!effect)
        return node::replyError(exchange, effect.error());
    node::replyJson(exchange, 200,
        json { { "outcome", "dry_run" }, { "base", current->version }, { "changes", effect->changedPaths } }
            .dump());
}

void admin_api::propose(const node::exchange_ptr& exchange, const operate::operator_identity& identity,
    control::config_change change, std::string extra)
{
    const auto* current = m_services.node.config().current();
    if (!current)
        return node::replyError(
            exchange, { .reason = base::error_reason::Unavailable, .message = "no configuration is loaded" });
    change.author = identity.name;
    if (change.changeId.empty())
        change.changeId = control::config_log::makeChangeId(change.baseVersion, m_services.node.random());
    m_services.node.configLog().propose(*current, change,
        [this, exchange, identity, extra = std::move(extra)](const control::proposal_outcome& outcome) {
            m_services.node.log().write(events::configChanged,
                { { "operator", identity.name }, { "base", std::to_string(outcome.baseVersion) },
                    { "outcome", std::string(control::nameOf(outcome.status)) },
                    { "change_id", outcome.changeId } });
            replyOutcome(exchange, outcome, extra);
        });
}

void admin_api::replyOutcome(
    const node::exchange_ptr& exchange, const control::proposal_outcome& outcome, const std::string& extra)
{
    if (outcome.status == control::proposal_status::Accepted) {
        if (outcome.accepted)
            m_services.node.config().apply(*outcome.accepted);
        json body { { "outcome", "accepted" }, { "version", outcome.currentVersion },
            { "change_id", outcome.changeId } };
        body.update(json::parse(extra));
        return node::replyJson(exchange, 200, body.dump());
    }
    if (outcome.status == control::proposal_status::Unknown)
        return node::replyJson(
            exchange, 202, json { { "outcome", "unknown" }, { "change_id", outcome.changeId } }.dump());
    // The error body contains both versions so that the operator can read the current one and rebase the
    // change.
    json body = json::parse(protocol::encodeError(outcome.problem));
    body["outcome"] = "refused";
    body["base"] = outcome.baseVersion;
    body["current"] = outcome.currentVersion;
    body["change_id"] = outcome.changeId;
    node::replyJson(exchange, base::httpStatus(outcome.problem.reason), body.dump());
}

void admin_api::resolveChange(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    m_services.node.configLog().resolve(
        pathAfter(exchange, "/admin/config/change/"), [exchange](const control::proposal_outcome& outcome) {
            node::replyJson(exchange, 200,
                json { { "outcome", control::nameOf(outcome.status) }, { "change_id", outcome.changeId },
                    { "version", outcome.currentVersion } }
                    .dump());
        });
}

void admin_api::history(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    constexpr std::uint64_t defaultLimit = 20;
    constexpr std::uint64_t maxHistoryEntries = 1000;
    std::uint64_t limit = defaultLimit;
    if (const auto text = exchange->query("limit")) {
        const auto parsed = parseNumber(*text, "limit");
        if (!parsed)
            return node::replyError(exchange, parsed.error());
        limit = std::min(*parsed, maxHistoryEntries);
    }
    const std::uint64_t version = m_services.node.config().version();
    const std::uint64_t after = version > limit ? version - limit : 0;
    m_services.node.configLog().history(
        after, limit, [exchange](const base::result<std::vector<control::config_patch>>& patches) {
            if (!patches)
                return node::replyError(exchange, patches.error());
            json entries = json::array();
            for (auto patch = patches->rbegin(); patch != patches->rend(); ++patch) {
                json paths = json::array();
                const json inverse = json::parse(patch->inverse, nullptr, false);
                for (const auto& step : inverse.is_array() ? inverse : json::array())
                    paths.push_back(step.value("path", ""));
                entries.push_back({ { "version", patch->version }, { "author", patch->author },
                    { "time", patch->time.time_since_epoch().count() / 1'000'000 },
                    { "change_id", patch->changeId }, { "paths", paths } });
            }
            node::replyJson(exchange, 200, json { { "entries", entries } }.dump());
        });
}

void admin_api::diff(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    const auto from = parseNumber(exchange->query("from").value_or(""), "from");
    const auto to = parseNumber(exchange->query("to").value_or(""), "to");
    const auto* current = m_services.node.config().current();
    if (!from || !to || !current)
        return node::replyError(exchange,
            !from     ? from.error()
                : !to ? to.error()
                      : base::error { .reason = base::error_reason::Unavailable,
                          .message = "no configuration is loaded" });
    auto& log = m_services.node.configLog();
    log.documentAt(*current, *from,
        [this, &log, exchange, to = *to](const base::result<control::config_document>& first) {
            const auto* now = m_services.node.config().current();
            if (!first)
                return node::replyError(exchange, first.error());
            log.documentAt(
                *now, to, [exchange, first = *first](const base::result<control::config_document>& second) {
                    if (!second)
                        return node::replyError(exchange, second.error());
                    node::replyJson(exchange, 200,
                        json { { "patch", json::parse(control::patchBetween(first, *second)) } }.dump());
                });
        });
}

void admin_api::rollback(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    const auto body = parseBody(exchange);
    const auto* current = m_services.node.config().current();
    if (!body || !current)
        return node::replyError(exchange,
            !body ? body.error()
                  : base::error {
                      .reason = base::error_reason::Unavailable, .message = "no configuration is loaded" });
    const auto base = body->value("base", current->version);
    if (base != current->version)
        return replyOutcome(exchange,
            { .status = control::proposal_status::Refused,
                .changeId = body->value("change_id", ""),
                .baseVersion = base,
                .currentVersion = current->version,
                .problem = { .reason = base::error_reason::Conflict,
                    .message = fmt::format("the change is based on version {}, but version {} is in force",
                        base, current->version),
                    .field = "base" } },
            "{}");
    std::string changeId = body->value("change_id", "");
    if (changeId.empty())
        changeId = control::config_log::makeChangeId(current->version, m_services.node.random());
    m_services.node.configLog().rollback(*current, body->at("to").get<std::uint64_t>(), changeId,
        identity.name, [this, exchange](const control::proposal_outcome& outcome) {
            replyOutcome(exchange, outcome, "{}");
        });
}

void admin_api::inForce(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    const auto requested = exchange->query("version");
    const auto version = requested ? parseNumber(*requested, "version")
                                   : base::result<std::uint64_t>(m_services.node.config().version());
    if (!version)
        return node::replyError(exchange, version.error());
    // The versions reported by membership can be several seconds old, so processes that appear to be behind
    // are queried.
    const auto report = std::make_shared<in_force_reply>();
    report->version = *version;
    std::vector<std::string> queried;
    for (const auto& [id, tracked] : m_services.node.membership().table().all()) {
        if (tracked.info.state == control::member_state::Dead)
            continue;
        ++report->total;
        if (tracked.info.configVersion < *version && id != m_services.node.membership().self().id)
            queried.push_back(id);
    }
    report->pending = std::min(queried.size(), maxQueriedProcesses);
    report->behind.assign(queried.begin() + static_cast<std::ptrdiff_t>(report->pending), queried.end());
    if (report->pending == 0)
        return report->reply(exchange);
    queried.resize(report->pending);
    for (const auto& id : queried)
        m_services.node.peers().call(
            id, "config.version", "{}", [report, exchange, id](const base::result<std::string>& answer) {
                const auto current
                    = answer ? parseNumber(*answer, "version") : base::result<std::uint64_t>(0);
                if (!current || *current < report->version)
                    report->behind.push_back(id);
                if (--report->pending == 0)
                    report->reply(exchange);
            });
}

void admin_api::setDomain(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    const auto body = parseBody(exchange);
    if (!body)
        return node::replyError(exchange, body.error());
    const std::string path = fmt::format(
        "/failure_domains/{}/in_service", escapePointerToken(pathAfter(exchange, "/admin/domains/")));
    propose(exchange, identity,
        { .baseVersion = body->value("base", m_services.node.config().version()),
            .changeId = body->value("change_id", ""),
            .author = {},
            .kind = control::patch_kind::JsonPatch,
            .body = addOperationPatch(path, body->at("in_service").get<bool>()).dump() });
}

void admin_api::listTargets(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    json list = json::array();
    const auto* current = m_services.node.config().current();
    const auto& table = m_services.targets.table();
    for (const auto& [id, target] :
        current ? current->document.content().targets : control::name_map<control::target>()) {
        const auto index = table.find(id);
        const auto* tracked = m_services.node.membership().table().find(target.address);
        json load = json::object();
        if (tracked)
            load = { { "running", tracked->info.load.running }, { "queued", tracked->info.load.queued },
                { "bound", tracked->info.load.bound }, { "ramp_step", tracked->info.load.rampStep } };
        const std::string state = index == routing::noTarget ? "unknown"
            : table.isEjected(index)                         ? "ejected"
            : current->document.content().isInService(target, id)
            ? std::string(routing::nameOf(table.state(index)))
            : "out_of_service";
        list.push_back({ { "id", id }, { "domain", target.failureDomain },
            { "kind", control::nameOf(target.kind) }, { "address", target.address }, { "state", state },
            { "version", index == routing::noTarget ? "" : table.info(index).version }, { "load", load } });
    }
    node::replyJson(exchange, 200, json { { "targets", list } }.dump());
}

void admin_api::setTarget(const node::exchange_ptr& exchange, const operate::operator_identity& identity)
{
    const auto body = parseBody(exchange);
    if (!body)
        return node::replyError(exchange, body.error());
    const std::string id = pathAfter(exchange, "/admin/targets/");
    propose(exchange, identity,
        { .baseVersion = body->value("base", m_services.node.config().version()),
            .changeId = body->value("change_id", ""),
            .author = {},
            .kind = control::patch_kind::MergePatch,
            .body = json { { "drained_targets", { { id, body->at("drained").get<bool>() } } } }.dump() });
}

void admin_api::status(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    json domains = json::object();
    const auto* current = m_services.node.config().current();
    for (const auto& [id, tracked] : m_services.node.membership().table().all()) {
        json& count = domains[tracked.info.failureDomain]["members"]
                             [std::string(control::nameOf(m_services.node.membership().stateOf(id)))];
        count = count.is_null() ? 1 : count.get<int>() + 1;
    }
    if (current)
        for (const auto& [name, domain] : current->document.content().failureDomains)
            domains[name]["in_service"] = domain.inService;
    node::replyJson(exchange, 200,
        json { { "process", m_services.node.settings().process.id }, { "ready", m_services.node.isReady() },
            { "config_version", m_services.node.config().version() },
            { "running", m_services.gate.running() }, { "waiting", m_services.gate.waiting() },
            { "domains", domains } }
            .dump());
}

void admin_api::explain(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    const auto record = m_services.explain.find(pathAfter(exchange, "/admin/explain/"));
    if (!record)
        return node::replyError(exchange,
            { .reason = base::error_reason::NotFound,
                .message = "this entry has no record of the request: the id is unknown here or the record "
                           "was evicted; query the entry that served the request",
                .field = "request" });
    node::replyJson(exchange, 200, *record);
}

void admin_api::metrics(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    exchange->reply({ .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
        .body = m_services.node.metrics().exposition() });
}

void admin_api::dump(const node::exchange_ptr& exchange, const operate::operator_identity&)
{
    const auto process = exchange->query("process");
    if (!process || *process == m_services.node.settings().process.id
        || *process == m_services.node.membership().self().id)
        return node::replyJson(exchange, 200, m_services.node.dump().render());
    const auto* current = m_services.node.config().current();
    std::string address = *process;
    if (current)
        if (const auto target = current->document.content().targets.find(*process);
            target != current->document.content().targets.end())
            address = target->second.address;
    if (!m_services.node.membership().table().find(address))
        return node::replyError(exchange,
            { .reason = base::error_reason::NotFound,
                .message = "the process is not a member of the fleet",
                .field = "process" });
    m_services.node.peers().call(
        address, "process.dump", "{}", [exchange](const base::result<std::string>& text) {
            if (!text)
                return node::replyError(exchange, text.error());
            node::replyJson(exchange, 200, *text);
        });
}

} // namespace marigold::entry
