#include "config_document.h"

#include "json_reader.h"

#include <algorithm>
#include <array>

namespace marigold::control {

namespace {

using detail::field_error;
using detail::object_reader;
using nlohmann::json;

constexpr std::array<std::string_view, 2> policyNames { "share_recomputed", "first_token" };
constexpr std::array<std::string_view, 3> kindNames { "engine", "store", "service" };
constexpr std::string_view keyRecordVersion = "v1";
constexpr std::size_t saltDigits = 32;
constexpr std::size_t keyHashDigits = 64; // HMAC-SHA256 in hexadecimal
constexpr double maxWeight = 1e6;
constexpr double maxRate = 1e9;

template <std::size_t Size>
std::size_t oneOf(const std::array<std::string_view, Size>& names, const std::string& text, std::string path)
{
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end())
        throw field_error(std::move(path), '"' + text + "\" is not a known value");
    return static_cast<std::size_t>(found - names.begin());
}

bool isHexadecimal(std::string_view text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Checks that \a record has the form `v1:SALT:HASH` or `v1:SALT:HASH:EXPIRES`.
void checkKeyRecord(std::string_view record, std::string path)
{
    std::vector<std::string_view> parts;
    for (std::size_t start = 0; start <= record.size();) {
        const auto end = std::min(record.find(':', start), record.size());
        parts.push_back(record.substr(start, end - start));
        start = end + 1;
    }
    const bool isWellFormed = (parts.size() == 3 || parts.size() == 4) && parts[0] == keyRecordVersion
        && isHexadecimal(parts[1], saltDigits) && isHexadecimal(parts[2], keyHashDigits);
    const bool hasValidExpiry = parts.size() < 4
        || (!parts[3].empty() && parts[3].find_first_not_of("0123456789") == std::string_view::npos);
    if (!isWellFormed || !hasValidExpiry)
        throw field_error(std::move(path), "not a key record v1:SALT:HASH or v1:SALT:HASH:EXPIRES");
}

std::vector<std::string> readKeyRecords(object_reader& reader)
{
    reader.require("key_records");
    auto records = reader.texts("key_records");
    for (std::size_t i = 0; i < records.size(); ++i)
        checkKeyRecord(records[i], reader.pathOf("key_records") + '/' + std::to_string(i));
    return records;
}

team readTeam(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    team out;
    out.weight = reader.number("weight", 0, maxWeight, 1);
    out.burst = reader.number("burst", 0, maxWeight, 1);
    out.keyRecords = readKeyRecords(reader);
    out.blockSecret = reader.text("block_secret");
    if (const json* limits = reader.find("limits")) {
        object_reader inner(*limits, reader.pathOf("limits"));
        if (inner.find("requests_per_second"))
            out.limits.requestsPerSecond = inner.number("requests_per_second", 0, maxRate);
        if (inner.find("tokens_per_second"))
            out.limits.tokensPerSecond = inner.number("tokens_per_second", 0, maxRate);
        if (inner.find("concurrent_requests"))
            out.limits.concurrentRequests = inner.count("concurrent_requests", 1, 1'000'000'000);
        inner.finish();
    }
    reader.finish();
    return out;
}

model readModel(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    model out;
    out.version = reader.text("version");
    out.wantedVersion = reader.text("wanted_version", out.version);
    out.policy = static_cast<model_policy>(
        oneOf(policyNames, reader.text("policy", "share_recomputed"), reader.pathOf("policy")));
    reader.members("adapters", [&](const std::string& name, const json& member, std::string memberPath) {
        object_reader inner(member, std::move(memberPath));
        out.adapters[name].team = inner.text("team", "");
        inner.finish();
    });
    reader.finish();
    return out;
}

service readService(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    service out { .idempotent = reader.texts("idempotent"), .model = reader.text("model", "") };
    reader.finish();
    return out;
}

target readTarget(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    target out {
        .address = reader.text("address"),
        .failureDomain = reader.text("failure_domain"),
        .region = reader.text("region"),
        .kind = static_cast<target_kind>(oneOf(kindNames, reader.text("kind"), reader.pathOf("kind"))),
        .model = {},
        .service = {},
    };
    if (out.kind == target_kind::Engine)
        out.model = reader.text("model");
    if (out.kind == target_kind::Service)
        out.service = reader.text("service");
    reader.finish();
    return out;
}

operator_account readOperator(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    operator_account out;
    out.keyRecords = readKeyRecords(reader);
    const auto rights = reader.texts("rights");
    for (std::size_t i = 0; i < rights.size(); ++i) {
        if (rights[i] == "read")
            out.mayRead = true;
        else if (rights[i] == "change")
            out.mayChange = true;
        else if (rights[i] == "dangerous")
            out.mayUseDangerous = true;
        else
            throw field_error(reader.pathOf("rights") + '/' + std::to_string(i), "unknown right");
    }
    reader.finish();
    return out;
}

template <typename T>
void readAll(
    object_reader& reader, std::string_view name, name_map<T>& out, T (*read)(const json&, std::string))
{
    reader.members(name, [&](const std::string& key, const json& member, std::string path) {
        out.emplace(key, read(member, std::move(path)));
    });
}

failure_domain readDomain(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    failure_domain out { .inService = reader.flag("in_service", true) };
    reader.finish();
    return out;
}

weight_store readWeightStore(const json& value, std::string path)
{
    object_reader reader(value, std::move(path));
    weight_store out { .concurrentLoads = reader.count("concurrent_loads", 1, 1000) };
    reader.finish();
    return out;
}

bool readDrained(const json& value, std::string path)
{
    if (!value.is_boolean())
        throw field_error(std::move(path), "not a boolean");
    return value.get<bool>();
}

config_content readContent(const json& value)
{
    object_reader reader(value, "");
    config_content out;
    readAll(reader, "teams", out.teams, readTeam);
    readAll(reader, "models", out.models, readModel);
    readAll(reader, "services", out.services, readService);
    readAll(reader, "failure_domains", out.failureDomains, readDomain);
    readAll(reader, "drained_targets", out.drainedTargets, readDrained);
    readAll(reader, "targets", out.targets, readTarget);
    readAll(reader, "operators", out.operators, readOperator);
    readAll(reader, "weight_stores", out.weightStores, readWeightStore);
    out.capacityFloor = reader.number("capacity_floor", 0, 1, out.capacityFloor, true);
    reader.finish();
    return out;
}

} // namespace

std::string_view nameOf(model_policy policy)
{
    return policyNames[static_cast<std::size_t>(policy)];
}

std::string_view nameOf(target_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

bool config_content::isInService(const target& value, std::string_view id) const
{
    const auto domain = failureDomains.find(value.failureDomain);
    if (domain == failureDomains.end() || !domain->second.inService)
        return false;
    const auto drained = drainedTargets.find(id);
    return drained == drainedTargets.end() || !drained->second;
}

config_document::config_document()
    : config_document(
        std::make_shared<const state>(state { .text = "{}", .digest = base::sha256("{}"), .content = {} }))
{
}

base::result<config_document> config_document::parse(std::string_view text)
{
    if (text.size() > maxDocumentBytes)
        return base::notRun(base::error_reason::TooLarge, "the document exceeds 990,000 bytes");
    const auto value = detail::parseJson(text);
    if (!value)
        return tl::unexpected(value.error());
    try {
        auto out = std::make_shared<state>();
        out->content = readContent(*value);
        out->text = value->dump();
        out->digest = base::sha256(out->text);
        return config_document(std::move(out));
    } catch (const field_error& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what(), problem.path);
    } catch (const json::exception& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what());
    }
}

} // namespace marigold::control
