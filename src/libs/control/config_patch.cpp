#include "config_patch.h"

#include "json_reader.h"
#include "validation.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace marigold::control {

namespace {

using base::error_reason;
using nlohmann::json;

constexpr std::array<std::string_view, 2> kindNames { "json_patch", "merge_patch" };
constexpr std::size_t maxOperations = 1000;

/// Returns true if the parent of \a path is an object or array; the JSON library asserts this instead of
/// reporting an error.
bool hasContainerParent(const json& document, const std::string& path)
{
    const json::json_pointer pointer(path);
    if (pointer.empty())
        return true;
    const json& parent = document.at(pointer.parent_pointer());
    return parent.is_object() || parent.is_array();
}

base::result<void> applyOperation(json& document, const json& operation, std::size_t index)
{
    std::string path;
    try {
        if (!operation.is_object())
            return base::notRun(
                error_reason::InvalidRequest, "the operation is not an object", fmt::format("/{}", index));
        path = operation.value("path", "");
        if (!hasContainerParent(document, path))
            return base::notRun(
                error_reason::InvalidRequest, "the parent is neither an object nor an array", path);
        document.patch_inplace(json::array({ operation }));
        return {};
    } catch (const json::exception& problem) {
        return base::notRun(
            error_reason::InvalidRequest, fmt::format("operation {}: {}", index, problem.what()), path);
    }
}

base::result<void> applyJsonPatch(json& document, const json& patch)
{
    if (!patch.is_array())
        return base::notRun(error_reason::InvalidRequest, "a JSON Patch must be an array of operations");
    if (patch.size() > maxOperations)
        return base::notRun(
            error_reason::TooLarge, fmt::format("more than {} operations in a patch", maxOperations));
    for (std::size_t i = 0; i < patch.size(); ++i)
        if (auto applied = applyOperation(document, patch[i], i); !applied)
            return applied;
    return {};
}

/// Refuses a merge patch with an unknown team unless it has key records: a misspelled name would otherwise
/// create a team.
base::result<void> refuseUnknownTeams(const json& document, const json& patch)
{
    if (!patch.is_object())
        return base::notRun(error_reason::InvalidRequest, "a merge patch must be an object");
    const auto changed = patch.find("teams");
    if (changed == patch.end() || !changed->is_object())
        return {};
    const auto present = document.find("teams");
    for (const auto& [name, value] : changed->items()) {
        const bool known = present != document.end() && present->contains(name);
        if (!known && (value.is_null() || !value.contains("key_records")))
            return base::notRun(error_reason::InvalidRequest, "unknown team \"" + name + '"',
                "/teams/" + detail::escapePointer(name));
    }
    return {};
}

json parsedText(const config_document& document)
{
    return json::parse(document.text());
}

std::vector<std::string> pathsOf(const json& difference)
{
    std::vector<std::string> paths;
    for (const auto& operation : difference)
        paths.push_back(operation.at("path").get<std::string>());
    std::sort(paths.begin(), paths.end());
    paths.erase(std::unique(paths.begin(), paths.end()), paths.end());
    return paths;
}

base::result<base::digest256> digestFromHex(const std::string& text)
{
    constexpr std::size_t halfDigits = 32;
    const auto high = base::digest128FromHex(std::string_view(text).substr(0, halfDigits));
    const auto low
        = base::digest128FromHex(text.size() > halfDigits ? std::string_view(text).substr(halfDigits) : "");
    if (!high || !low)
        return base::notRun(error_reason::InvalidRequest, "not a SHA-256 digest", "/digest");
    base::digest256 out {};
    std::copy(high->begin(), high->end(), out.begin());
    std::copy(low->begin(), low->end(), out.begin() + high->size());
    return out;
}

} // namespace

std::string_view nameOf(patch_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string config_patch::encode() const
{
    return json({
                    { "version", version },
                    { "change", changeId },
                    { "author", author },
                    { "time_us", time.time_since_epoch().count() },
                    { "kind", nameOf(kind) },
                    { "patch", body },
                    { "inverse", inverse },
                    { "digest", base::toHex(digest) },
                })
        .dump();
}

base::result<config_patch> config_patch::decode(std::string_view text)
{
    const auto value = detail::parseJson(text);
    if (!value)
        return tl::unexpected(value.error());
    try {
        detail::object_reader reader(*value, "");
        config_patch out;
        constexpr std::uint64_t maxInteger = std::numeric_limits<std::int64_t>::max();
        out.version = reader.count("version", 1, maxInteger);
        out.changeId = reader.text("change");
        out.author = reader.text("author", "");
        out.time = base::wall_time(base::duration(reader.count("time_us", 0, maxInteger)));
        const auto kind = reader.text("kind");
        if (kind != kindNames[0] && kind != kindNames[1])
            throw detail::field_error("/kind", "unknown patch kind");
        out.kind = kind == kindNames[0] ? patch_kind::JsonPatch : patch_kind::MergePatch;
        for (auto [name, member] : { std::pair("patch", &out.body), std::pair("inverse", &out.inverse) }) {
            if (!reader.require(name).is_string())
                throw detail::field_error(reader.pathOf(name), "not a string");
            *member = reader.require(name).get<std::string>();
        }
        const auto digest = digestFromHex(reader.text("digest"));
        if (!digest)
            return tl::unexpected(digest.error());
        out.digest = *digest;
        reader.finish();
        return out;
    } catch (const detail::field_error& problem) {
        return base::notRun(error_reason::InvalidRequest, problem.what(), problem.path);
    }
}

base::result<config_document> applyPatch(
    const config_document& document, patch_kind kind, std::string_view body)
{
    const auto patch = detail::parseJson(body);
    if (!patch)
        return tl::unexpected(patch.error());
    json value = parsedText(document);
    if (kind == patch_kind::JsonPatch) {
        if (auto applied = applyJsonPatch(value, *patch); !applied)
            return tl::unexpected(applied.error());
    } else {
        if (auto known = refuseUnknownTeams(value, *patch); !known)
            return tl::unexpected(known.error());
        value.merge_patch(*patch);
    }
    try {
        return config_document::parse(value.dump());
    } catch (const json::exception& problem) { // invalid UTF-8
        return base::notRun(error_reason::InvalidRequest, problem.what());
    }
}

std::string patchBetween(const config_document& from, const config_document& to)
{
    return json::diff(parsedText(from), parsedText(to)).dump();
}

std::vector<std::string> changedPaths(const config_document& from, const config_document& to)
{
    return pathsOf(json::diff(parsedText(from), parsedText(to)));
}

base::result<config_effect> dryRun(const config_state& current, const config_change& change)
{
    if (change.baseVersion != current.version)
        return base::notRun(error_reason::Conflict,
            fmt::format("the change is based on version {}, and the current version is {}",
                change.baseVersion, current.version),
            "base_version");
    auto document = applyPatch(current.document, change.kind, change.body);
    if (!document)
        return tl::unexpected(document.error());
    if (auto checked = checkTransition(current.document.content(), document->content()); !checked)
        return tl::unexpected(checked.error());
    const json before = parsedText(current.document);
    const json after = parsedText(*document);
    return config_effect {
        .document = std::move(*document),
        .changedPaths = pathsOf(json::diff(before, after)),
        .inverse = json::diff(after, before).dump(),
    };
}

} // namespace marigold::control
