#include "config_replica.h"

#include "config_record.h"
#include "json_reader.h"

namespace marigold::control {

std::string pull_answer::encode() const
{
    nlohmann::json out { { "version", version }, { "patches", nlohmann::json::array() } };
    for (const auto& patch : patches)
        out["patches"].push_back(patch.encode());
    if (document)
        out["snapshot"] = detail::encodeSnapshot({ .version = version, .document = *document });
    return out.dump();
}

base::result<pull_answer> pull_answer::decode(std::string_view text)
{
    const auto value = detail::parseJson(text);
    if (!value)
        return tl::unexpected(value.error());
    try {
        detail::object_reader reader(*value, "");
        pull_answer out { .version = reader.count("version", 0, std::numeric_limits<std::int64_t>::max()),
            .patches = {} };
        for (const auto& encoded : reader.texts("patches")) {
            auto patch = config_patch::decode(encoded);
            if (!patch)
                return tl::unexpected(patch.error());
            out.patches.push_back(std::move(*patch));
        }
        if (const auto* snapshot = reader.find("snapshot")) {
            if (!snapshot->is_string())
                throw detail::field_error("/snapshot", "not a string");
            auto state = detail::decodeSnapshot(snapshot->get_ref<const std::string&>());
            if (!state)
                return tl::unexpected(state.error());
            if (state->version != out.version)
                throw detail::field_error("/snapshot", "the version differs from that of the answer");
            out.document = std::move(state->document);
        }
        reader.finish();
        return out;
    } catch (const detail::field_error& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what(), problem.path);
    }
}

} // namespace marigold::control
