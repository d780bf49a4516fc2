#include "config_record.h"

#include "json_reader.h"

#include <charconv>

#include <fmt/format.h>

namespace marigold::control::detail {

using base::error_reason;

std::string patchKey(std::uint64_t version)
{
    return fmt::format("{}{:020}", patchPrefix, version);
}

std::string encodeSnapshot(const config_state& state)
{
    return fmt::format(R"({{"digest":"{}","document":{},"version":{}}})",
        base::toHex(state.document.digest()), state.document.text(), state.version);
}

base::result<config_state> decodeSnapshot(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value)
        return tl::unexpected(value.error());
    try {
        object_reader reader(*value, "");
        config_state out { .version = reader.count("version", 0, std::numeric_limits<std::int64_t>::max()),
            .document = {} };
        const auto digest = reader.text("digest");
        auto document = config_document::parse(reader.require("document").dump());
        reader.finish();
        if (!document)
            return tl::unexpected(document.error());
        if (base::toHex(document->digest()) != digest)
            return base::notRun(error_reason::Internal, "the digest of the snapshot does not match");
        out.document = std::move(*document);
        return out;
    } catch (const field_error& problem) {
        return base::notRun(error_reason::InvalidRequest, problem.what(), problem.path);
    } catch (const nlohmann::json::exception& problem) {
        return base::notRun(error_reason::InvalidRequest, problem.what());
    }
}

base::result<config_state> applyNext(const config_state& state, const config_patch& patch)
{
    if (patch.version != state.version + 1)
        return base::notRun(error_reason::Conflict,
            fmt::format("version {} does not follow version {}", patch.version, state.version));
    auto document = applyPatch(state.document, patch.kind, patch.body);
    if (!document)
        return tl::unexpected(document.error());
    if (document->digest() != patch.digest)
        return base::notRun(
            error_reason::Internal, fmt::format("the digest of version {} does not match", patch.version));
    return config_state { .version = patch.version, .document = std::move(*document) };
}

std::optional<std::uint64_t> versionOfChange(std::string_view changeId)
{
    const auto dash = changeId.find('-');
    std::uint64_t version = 0;
    const auto [end, problem] = std::from_chars(changeId.data(), changeId.data() + changeId.size(), version);
    if (problem != std::errc() || dash == std::string_view::npos || end != changeId.data() + dash
        || version == 0)
        return {};
    return version;
}

} // namespace marigold::control::detail
