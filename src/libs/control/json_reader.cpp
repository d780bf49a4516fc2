#include "json_reader.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <fmt/format.h>

namespace marigold::control::detail {

namespace {

constexpr int maxDepth = 16;
constexpr std::size_t maxTextBytes = 1024;

using nlohmann::json;

/// Parser callback that refuses duplicate members and deep nesting.
class strict_callback {
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (depth > maxDepth)
            throw field_error("", fmt::format("nested more than {} levels deep", maxDepth));
        if (event == json::parse_event_t::object_start)
            m_names.emplace_back();
        else if (event == json::parse_event_t::object_end)
            m_names.pop_back();
        else if (event == json::parse_event_t::key
            && !m_names.back().insert(parsed.get<std::string>()).second)
            throw field_error("", "duplicate member \"" + parsed.get<std::string>() + '"');
        return true;
    }

private:
    std::vector<std::set<std::string>> m_names;
};

} // namespace

std::string escapePointer(std::string_view name)
{
    std::string out;
    for (const char c : name) {
        if (c == '~')
            out += "~0";
        else if (c == '/')
            out += "~1";
        else
            out += c;
    }
    return out;
}

base::result<json> parseJson(std::string_view text)
{
    try {
        return json::parse(text,
            [check = std::make_shared<strict_callback>()](int depth, json::parse_event_t event,
                json& parsed) { return (*check)(depth, event, parsed); });
    } catch (const field_error& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what(), problem.path);
    } catch (const json::exception& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what());
    }
}

object_reader::object_reader(const json& value, std::string path)
    : m_value(value)
    , m_path(std::move(path))
{
    if (!value.is_object())
        throw field_error(m_path, "not an object");
}

const json* object_reader::find(std::string_view name)
{
    m_readNames.emplace_back(name);
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

const json& object_reader::require(std::string_view name)
{
    const json* value = find(name);
    if (!value)
        throw field_error(pathOf(name), "missing");
    return *value;
}

std::string object_reader::text(std::string_view name, std::optional<std::string> fallback)
{
    const json* value = fallback ? find(name) : &require(name);
    if (!value)
        return *fallback;
    if (!value->is_string())
        throw field_error(pathOf(name), "not a string");
    auto out = value->get<std::string>();
    if (out.size() > maxTextBytes)
        throw field_error(pathOf(name), fmt::format("longer than {} bytes", maxTextBytes));
    if (out.empty() && !fallback)
        throw field_error(pathOf(name), "empty");
    return out;
}

bool object_reader::flag(std::string_view name, std::optional<bool> fallback)
{
    const json* value = fallback ? find(name) : &require(name);
    if (!value)
        return *fallback;
    if (!value->is_boolean())
        throw field_error(pathOf(name), "not a boolean");
    return value->get<bool>();
}

std::uint64_t object_reader::count(std::string_view name, std::uint64_t minimum, std::uint64_t maximum,
    std::optional<std::uint64_t> fallback)
{
    const json* value = fallback ? find(name) : &require(name);
    if (!value)
        return *fallback;
    if (!value->is_number_integer() || (!value->is_number_unsigned() && value->get<std::int64_t>() < 0))
        throw field_error(pathOf(name), "not a non-negative integer");
    const auto out = value->get<std::uint64_t>();
    if (out < minimum || out > maximum)
        throw field_error(pathOf(name), fmt::format("{} is not in [{}, {}]", out, minimum, maximum));
    return out;
}

double object_reader::number(std::string_view name, double minimum, double maximum,
    std::optional<double> fallback, bool includeMinimum)
{
    const json* value = fallback ? find(name) : &require(name);
    if (!value)
        return *fallback;
    if (!value->is_number())
        throw field_error(pathOf(name), "not a number");
    const auto out = value->get<double>();
    if (!std::isfinite(out) || out < minimum || (out == minimum && !includeMinimum) || out > maximum)
        throw field_error(pathOf(name),
            fmt::format("{} is not in {}{}, {}]", out, includeMinimum ? '[' : '(', minimum, maximum));
    return out;
}

std::vector<std::string> object_reader::texts(std::string_view name)
{
    std::vector<std::string> out;
    const json* value = find(name);
    if (!value)
        return out;
    if (!value->is_array())
        throw field_error(pathOf(name), "not an array");
    for (const auto& item : *value) {
        if (!item.is_string() || item.get_ref<const std::string&>().empty())
            throw field_error(fmt::format("{}/{}", pathOf(name), out.size()), "not a string, or empty");
        out.push_back(item.get<std::string>());
    }
    return out;
}

void object_reader::members(
    std::string_view name, const std::function<void(const std::string&, const json&, std::string)>& visit)
{
    const json* value = find(name);
    if (!value)
        return;
    if (!value->is_object())
        throw field_error(pathOf(name), "not an object");
    for (const auto& [key, member] : value->items()) {
        const std::string path = pathOf(name) + '/' + escapePointer(key);
        if (key.empty() || key.size() > 128)
            throw field_error(path, "a name must have 1 to 128 bytes");
        visit(key, member, path);
    }
}

void object_reader::finish() const
{
    for (const auto& [key, member] : m_value.items())
        if (std::find(m_readNames.begin(), m_readNames.end(), key) == m_readNames.end())
            throw field_error(pathOf(key), "unknown field");
}

} // namespace marigold::control::detail
