#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0

#include "toml_source.h"

#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace marigold::settings {

namespace {

std::string typeNameOf(const toml::node& node)
{
    std::ostringstream name;
    name << node.type();
    return name.str();
}

std::optional<setting_value> valueOf(const toml::node& node)
{
    if (const auto* integer = node.as_integer())
        return integer->get();
    if (const auto* number = node.as_floating_point())
        return number->get();
    if (const auto* boolean = node.as_boolean())
        return boolean->get();
    if (const auto* text = node.as_string())
        return text->get();
    const auto* array = node.as_array();
    if (!array)
        return {};
    std::vector<std::string> entries;
    for (const auto& element : *array) {
        const auto* text = element.as_string();
        if (!text)
            return {};
        entries.push_back(text->get());
    }
    return entries;
}

void collect(const toml::table& table, const std::string& prefix, std::vector<toml_entry>& entries)
{
    for (const auto& [key, node] : table) {
        // A quoted key with a dot is one key, not a path.
        const bool hasDot = key.str().find('.') != std::string_view::npos;
        std::string path = fmt::format(fmt::runtime(hasDot ? "{}\"{}\"" : "{}{}"), prefix, key.str());
        // An empty table stays in the list, so that a misspelt section without settings is reported.
        if (const auto* inner = node.as_table(); inner && !inner->empty()) {
            collect(*inner, path + ".", entries);
            continue;
        }
        const auto place = key.source().begin;
        entries.push_back({ .path = std::move(path),
            .value = valueOf(node),
            .typeName = typeNameOf(node),
            .line = place.line,
            .column = place.column });
    }
}

} // namespace

base::result<std::vector<toml_entry>> parseToml(std::string_view text)
{
    if (text.size() > largestSettingsFile)
        return base::notRun(
            base::error_reason::TooLarge, fmt::format("1:1: file exceeds {} bytes", largestSettingsFile));
    const toml::parse_result parsed = toml::parse(text);
    if (!parsed) {
        const auto place = parsed.error().source().begin;
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("{}:{}: {}", place.line, place.column, parsed.error().description()));
    }
    std::vector<toml_entry> entries;
    collect(parsed.table(), {}, entries);
    return entries;
}

} // namespace marigold::settings
