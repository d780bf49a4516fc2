// toml++ 3.3.0 asserts that the first character of a key is valid before it checks it, so that a file with
// "[{" aborts the process; with NDEBUG, the behavior is undefined. Without the assertion, the parser reaches
// its own check and reports the character.
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
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
        // A quoted key with a dot is a single key, not a path.
        const bool hasDot = key.str().find('.') != std::string_view::npos;
        std::string path = fmt::format(fmt::runtime(hasDot ? "{}\"{}\"" : "{}{}"), prefix, key.str());
        // Empty tables are kept in the list, so that a misspelled section without settings is reported.
        if (const auto* inner = node.as_table(); inner && !inner->empty()) {
            collect(*inner, path + ".", entries);
            continue;
        }
        const auto position = key.source().begin;
        entries.push_back({ .path = std::move(path),
            .value = valueOf(node),
            .typeName = typeNameOf(node),
            .line = position.line,
            .column = position.column });
    }
}

/// Returns an error message with the position of the first non-ASCII byte; empty if there is none.
std::string nonAsciiError(std::string_view text)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (const char c : text) {
        if (static_cast<unsigned char>(c) > 0x7f)
            return fmt::format("{}:{}: non-ASCII character; write it as \\uXXXX in a string", line, column);
        column = c == '\n' ? 1 : column + 1;
        line += c == '\n' ? 1 : 0;
    }
    return {};
}

} // namespace

base::result<std::vector<toml_entry>> parseToml(std::string_view text)
{
    if (text.size() > maximumSettingsFileBytes)
        return base::notRun(base::error_reason::TooLarge,
            fmt::format("1:1: file exceeds {} bytes", maximumSettingsFileBytes));
    // The white-space tables of toml++ 3.3.0 cause undefined behavior for most non-ASCII characters.
    if (std::string error = nonAsciiError(text); !error.empty())
        return base::notRun(base::error_reason::InvalidRequest, std::move(error));
    const toml::parse_result parsed = toml::parse(text);
    if (!parsed) {
        const auto position = parsed.error().source().begin;
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("{}:{}: {}", position.line, position.column, parsed.error().description()));
    }
    std::vector<toml_entry> entries;
    collect(parsed.table(), {}, entries);
    return entries;
}

} // namespace marigold::settings
