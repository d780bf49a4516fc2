#include "http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::net {

namespace {

bool equalNoCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

std::optional<std::string_view> http_headers::find(std::string_view name) const
{
    for (const auto& [key, value] : fields())
        if (equalNoCase(key, name))
            return value;
    return std::nullopt;
}

void http_headers::add(std::string_view name, std::string_view value)
{
    m_entries.push_back({ .begin = static_cast<std::uint32_t>(m_text.size()),
        .nameBytes = static_cast<std::uint32_t>(name.size()),
        .valueBytes = static_cast<std::uint32_t>(value.size()) });
    m_text.append(name).append(value);
}

void http_headers::shrink()
{
    m_text.shrink_to_fit();
    m_entries.shrink_to_fit();
}

http_headers::field http_headers::at(std::size_t index) const
{
    const entry& found = m_entries[index];
    const std::string_view text = m_text;
    return { text.substr(found.begin, found.nameBytes),
        text.substr(found.begin + found.nameBytes, found.valueBytes) };
}

bool isCutJson(const http_headers& headers, std::string_view body)
{
    const std::string_view field = headers.find("Content-Type").value_or("");
    std::string_view type = field.substr(0, field.find(';'));
    type = type.substr(0, type.find_last_not_of(" \t") + 1);
    constexpr std::string_view suffix = "+json";
    const bool isJson = equalNoCase(type, "application/json")
        || (type.size() > suffix.size() && equalNoCase(type.substr(type.size() - suffix.size()), suffix));
    return isJson && !nlohmann::json::accept(body);
}

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (text.starts_with(scheme))
        text.remove_prefix(scheme.size());
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    endpoint result { .address = std::string(text.substr(0, colon)), .port = 0 };
    const auto digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || result.port == 0)
        return std::nullopt;
    return result;
}

std::string endpoint::text() const
{
    return fmt::format("{}:{}", address, port);
}

std::string encodeEvent(std::string_view data, std::string_view id, std::string_view name)
{
    std::string out;
    if (!id.empty())
        out += fmt::format("id: {}\n", id);
    if (!name.empty())
        out += fmt::format("event: {}\n", name);
    for (;;) {
        const auto end = data.find('\n');
        out += fmt::format("data: {}\n", data.substr(0, end));
        if (end == std::string_view::npos)
            break;
        data.remove_prefix(end + 1);
    }
    out += '\n';
    return out;
}

std::vector<event_stream_decoder::event> event_stream_decoder::feed(std::string_view bytes)
{
    std::vector<event> completed;
    for (const char c : bytes) {
        if (c == '\n')
            processLine(completed);
        else
            m_line += c;
    }
    return completed;
}

void event_stream_decoder::processLine(std::vector<event>& completed)
{
    std::string line = std::move(m_line);
    m_line.clear();
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    if (line.empty()) {
        if (m_hasData)
            completed.push_back(std::move(m_current));
        m_current = {};
        m_hasData = false;
        return;
    }
    const auto colon = line.find(':');
    const std::string_view field = std::string_view(line).substr(0, colon);
    std::string_view value
        = colon == std::string::npos ? std::string_view() : std::string_view(line).substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id") {
        m_current.id = value;
    } else if (field == "event") {
        m_current.name = value;
    } else if (field == "data") {
        if (m_hasData)
            m_current.data += '\n';
        m_current.data += value;
        m_hasData = true;
    }
}

} // namespace marigold::net
