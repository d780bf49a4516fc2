#include "settings_reader.h"

#include "nearest_key.h"
#include "toml_source.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <unistd.h>

namespace marigold::settings {

namespace {

constexpr std::string_view variablePrefix = "MARIGOLD_";

bool isSettingName(std::string_view name)
{
    const auto allowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '.'; };
    return name.find('.') != std::string_view::npos && name.find("..") == std::string_view::npos
        && name.front() != '.' && name.back() != '.' && std::all_of(name.begin(), name.end(), allowed);
}

bool isEmpty(const setting_value& value)
{
    if (const auto* text = std::get_if<std::string>(&value))
        return text->empty();
    const auto* list = std::get_if<std::vector<std::string>>(&value);
    return list && list->empty();
}

base::result<std::string> readText(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text(maximumSettingsFileBytes + 1, '\0');
    if (!stream || (!stream.read(text.data(), static_cast<std::streamsize>(text.size())) && stream.bad()))
        return base::notRun(base::error_reason::NotFound, file + ": cannot read file", file);
    if (stream.gcount() == 0 && !stream.eof())
        return base::notRun(base::error_reason::NotFound, file + ": cannot read file", file);
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace

std::vector<std::string> systemEnvironment()
{
    std::vector<std::string> entries;
    for (char** entry = environ; entry && *entry; ++entry)
        entries.emplace_back(*entry);
    return entries;
}

void settings_reader::add(std::string name, setting_target member, setting_options options)
{
    insert(setting(std::move(name), member, std::move(options)));
}

void settings_reader::addCheck(std::function<std::string()> check)
{
    m_checks.push_back(std::move(check));
}

void settings_reader::insert(setting added)
{
    if (!isSettingName(added.name()))
        m_registrationErrors.push_back(fmt::format("malformed setting name \"{}\"", added.name()));
    for (const auto& registered : m_settings)
        if (registered.variable() == added.variable())
            m_registrationErrors.push_back(
                fmt::format("settings \"{}\" and \"{}\" share the environment variable {}", registered.name(),
                    added.name(), added.variable()));
    m_sources.emplace_back("default");
    m_settings.push_back(std::move(added));
}

base::result<void> settings_reader::load(const settings_sources& sources)
{
    if (sources.file.empty())
        return loadText({}, sources);
    const auto text = readText(sources.file);
    if (!text)
        return tl::unexpected(text.error());
    return loadText(*text, sources);
}

base::result<void> settings_reader::loadText(std::string_view text, const settings_sources& sources)
{
    m_errors.clear();
    m_ignoredVariables.clear();
    m_staged.clear();
    for (const auto& registered : m_settings)
        m_staged.push_back({ .value = registered.defaultValue(), .source = "default" });
    for (const auto& error : m_registrationErrors)
        m_errors.push_back({ .location = "registration", .message = error, .field = {} });
    readFile(text, sources.file);
    readEnvironment(sources.environment);
    readOverrides(sources.overrides);
    checkRequired();
    if (!m_errors.empty() || !apply())
        return tl::unexpected(combinedError());
    return {};
}

void settings_reader::readFile(std::string_view text, const std::string& file)
{
    const auto entries = parseToml(text);
    if (!entries) {
        m_errors.push_back(
            { .location = file + ":" + entries.error().message, .message = {}, .field = file });
        return;
    }
    for (const auto& entry : *entries) {
        const std::string location = fmt::format("{}:{}:{}", file, entry.line, entry.column);
        const std::size_t index = indexOf(entry.path);
        const bool isTable = entry.typeName == "table";
        if (index == m_settings.size()) {
            // An empty section is valid if it is the parent of registered settings.
            const std::string parent = entry.path + ".";
            if (!isTable
                || std::none_of(m_settings.begin(), m_settings.end(),
                    [&parent](const auto& registered) { return registered.name().starts_with(parent); }))
                m_errors.push_back({ .location = location,
                    .message = unknownKey(isTable ? "section" : "key", entry.path),
                    .field = entry.path });
            continue;
        }
        const auto& registered = m_settings[index];
        if (!entry.value) {
            m_errors.push_back({ .location = location,
                .message = fmt::format("{}: expected {}, found {}", entry.path, nameOf(registered.type()),
                    entry.typeName == "array" ? "list of other values" : entry.typeName),
                .field = entry.path });
            continue;
        }
        stage(index, registered.check(*entry.value), location, location);
    }
}

void settings_reader::readEnvironment(std::span<const std::string> environment)
{
    for (const auto& entry : environment) {
        const std::size_t equals = entry.find('=');
        if (!entry.starts_with(variablePrefix) || equals == std::string::npos)
            continue;
        const std::string name = entry.substr(0, equals);
        const auto found = std::find_if(m_settings.begin(), m_settings.end(),
            [&name](const auto& registered) { return registered.variable() == name; });
        if (found != m_settings.end()) {
            stage(static_cast<std::size_t>(found - m_settings.begin()),
                found->parse(entry.substr(equals + 1)), "environment", "environment " + name);
            continue;
        }
        std::vector<std::string> variables;
        bool isSection = false;
        for (const auto& registered : m_settings) {
            variables.push_back(registered.variable());
            const std::string section(registered.name().substr(0, registered.name().find('.') + 1));
            isSection = isSection
                || name.starts_with(variables.back().substr(0, variablePrefix.size() + section.size()));
        }
        if (!isSection) {
            m_ignoredVariables.push_back(name);
            continue;
        }
        const std::string nearest = nearestKey(name, variables);
        m_errors.push_back({ .location = "environment " + name,
            .message
            = nearest.empty() ? "unknown setting" : fmt::format("unknown setting; did you mean {}?", nearest),
            .field = name });
    }
}

void settings_reader::readOverrides(std::span<const std::string> overrides)
{
    for (const auto& entry : overrides) {
        const std::size_t equals = entry.find('=');
        const std::string name = entry.substr(0, equals);
        const std::string location = "--set " + name;
        const std::size_t index = indexOf(name);
        if (equals == std::string::npos)
            m_errors.push_back(
                { .location = location, .message = "expected section.key=value", .field = name });
        else if (index == m_settings.size())
            m_errors.push_back({ .location = location, .message = unknownKey("key", name), .field = name });
        else
            stage(index, m_settings[index].parse(std::string_view(entry).substr(equals + 1)), "--set",
                location);
    }
}

void settings_reader::stage(
    std::size_t index, base::result<setting_value> value, std::string source, std::string location)
{
    const auto& registered = m_settings[index];
    if (!value) {
        m_errors.push_back({ .location = std::move(location),
            .message = fmt::format("{}: {}", registered.name(), value.error().message),
            .field = registered.name() });
        return;
    }
    m_staged[index] = { .value = std::move(*value), .source = std::move(source) };
}

void settings_reader::checkRequired()
{
    for (std::size_t i = 0; i < m_settings.size(); ++i)
        if (m_settings[i].options().required && isEmpty(m_staged[i].value)
            && std::none_of(m_errors.begin(), m_errors.end(),
                [&](const auto& error) { return error.field == m_settings[i].name(); }))
            m_errors.push_back(
                { .location = m_staged[i].source == "default" ? "settings" : m_staged[i].source,
                    .message = fmt::format("{}: required and not set", m_settings[i].name()),
                    .field = m_settings[i].name() });
}

bool settings_reader::apply()
{
    std::vector<setting_value> before;
    for (std::size_t i = 0; i < m_settings.size(); ++i) {
        before.push_back(m_settings[i].read());
        m_settings[i].write(m_staged[i].value);
    }
    for (const auto& check : m_checks)
        if (std::string message = check(); !message.empty())
            m_errors.push_back({ .location = "settings", .message = std::move(message), .field = {} });
    if (!m_errors.empty()) {
        for (std::size_t i = 0; i < m_settings.size(); ++i)
            m_settings[i].write(before[i]);
        return false;
    }
    for (std::size_t i = 0; i < m_settings.size(); ++i)
        m_sources[i] = m_staged[i].source;
    return true;
}

std::size_t settings_reader::indexOf(std::string_view name) const
{
    const auto found = std::find_if(m_settings.begin(), m_settings.end(),
        [name](const auto& registered) { return registered.name() == name; });
    return static_cast<std::size_t>(found - m_settings.begin());
}

std::string settings_reader::unknownKey(std::string_view kind, std::string_view name) const
{
    std::vector<std::string> names;
    for (const auto& registered : m_settings)
        names.push_back(registered.name());
    const std::string nearest = nearestKey(name, names);
    return nearest.empty() ? fmt::format("unknown {} \"{}\"", kind, name)
                           : fmt::format("unknown {} \"{}\"; did you mean \"{}\"?", kind, name, nearest);
}

base::error settings_reader::combinedError() const
{
    // A file of a different kind yields an error per line, so the number is limited.
    constexpr std::size_t maximumLines = 20;
    std::string message;
    for (std::size_t i = 0; i < m_errors.size() && i < maximumLines; ++i) {
        message += i == 0 ? "" : "\n";
        message += m_errors[i].location.empty()
            ? ""
            : m_errors[i].location + (m_errors[i].message.empty() ? "" : ": ");
        message += m_errors[i].message;
    }
    if (m_errors.size() > maximumLines)
        message += fmt::format("\n{} further errors", m_errors.size() - maximumLines);
    return { .verdict = base::verdict::NotRun,
        .reason
        = m_registrationErrors.empty() ? base::error_reason::InvalidRequest : base::error_reason::Internal,
        .message = std::move(message),
        .field = m_errors.front().field };
}

std::vector<setting_state> settings_reader::states() const
{
    std::vector<setting_state> states;
    for (std::size_t i = 0; i < m_settings.size(); ++i) {
        const auto& registered = m_settings[i];
        const setting_value value = registered.read();
        const bool isHidden = registered.options().secret && !isEmpty(value);
        states.push_back({ .name = registered.name(),
            .value = isHidden ? "(secret)" : renderValue(value),
            .source = m_sources[i] });
    }
    return states;
}

std::string settings_reader::settingsReference() const
{
    std::string out;
    std::string section;
    for (const auto& registered : m_settings) {
        const std::string current = registered.name().substr(0, registered.name().find('.'));
        if (current != section) {
            section = current;
            out += fmt::format("{}## `{}`\n\n", out.empty() ? "" : "\n", section);
            out += "| Key | Type | Unit | Default | Range | Description |\n|---|---|---|---|---|---|\n";
        }
        const auto& options = registered.options();
        out += fmt::format("| `{}` | {} | {} | `{}` | {} | {} |\n", registered.name(),
            nameOf(registered.type()), options.unit, renderValue(registered.defaultValue()),
            registered.range(), options.description);
    }
    return out;
}

} // namespace marigold::settings
