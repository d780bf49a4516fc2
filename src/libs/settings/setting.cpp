#include "setting.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <type_traits>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace marigold::settings {

namespace {

constexpr std::array<std::string_view, 6> typeNames { "integer", "number", "text", "boolean", "duration",
    "list of text" };

template <typename T> constexpr setting_type typeOfMember()
{
    if constexpr (std::is_same_v<T, bool>)
        return setting_type::Boolean;
    else if constexpr (std::is_same_v<T, double>)
        return setting_type::Number;
    else if constexpr (std::is_integral_v<T>)
        return setting_type::Integer;
    else if constexpr (std::is_same_v<T, std::string>)
        return setting_type::Text;
    else if constexpr (std::is_same_v<T, std::vector<std::string>>)
        return setting_type::TextList;
    else
        return setting_type::Duration;
}

/// Restricts the range to the values that the member can represent.
template <typename T> void limitToMember(setting_options& options)
{
    if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>) {
        const auto lowest = static_cast<double>(std::numeric_limits<T>::min());
        const auto highest = static_cast<double>(std::numeric_limits<T>::max());
        // Values are passed as 64-bit signed integers, so only narrower members need a limit.
        constexpr bool isNarrower = sizeof(T) < sizeof(std::int64_t);
        if (isNarrower || std::is_unsigned_v<T>)
            options.minimum = std::max(options.minimum.value_or(lowest), lowest);
        if (isNarrower)
            options.maximum = std::min(options.maximum.value_or(highest), highest);
    }
    if constexpr (typeOfMember<T>() == setting_type::Duration) {
        // Limited to a year, so that the conversion to microseconds cannot overflow.
        constexpr double maximumMs = 365.0 * 24 * 3600 * 1000;
        options.minimum = options.minimum.value_or(0);
        options.maximum = std::min(options.maximum.value_or(maximumMs), maximumMs);
        options.unit = "ms";
    }
}

template <typename T> base::result<T> parseNumber(std::string_view text, std::string_view expected)
{
    T value {};
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (errorCode != std::errc() || end != text.data() + text.size())
        return base::notRun(
            base::error_reason::InvalidRequest, fmt::format("\"{}\" is not {}", text, expected));
    return value;
}

/// Returns \a number for a setting of \a type with whole values if nothing is lost: an integer written with a
/// fraction of zero, or a duration, which is rounded to milliseconds. Programs that generate settings may
/// write any number as a fraction.
std::optional<std::int64_t> wholeNumber(setting_type type, double number)
{
    constexpr double highestExact = 9007199254740992.0; // 2^53
    const bool isExact = std::abs(number) < highestExact;
    if (isExact && type == setting_type::Duration)
        return std::llround(number);
    if (isExact && type == setting_type::Integer && std::trunc(number) == number)
        return static_cast<std::int64_t>(number);
    return std::nullopt;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> entries;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        std::string_view entry = text.substr(0, comma);
        while (entry.starts_with(' '))
            entry.remove_prefix(1);
        while (entry.ends_with(' '))
            entry.remove_suffix(1);
        entries.emplace_back(entry);
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    return entries;
}

std::string_view typeNameOf(const setting_value& value)
{
    constexpr std::array<std::string_view, 5> names { "integer", "number", "boolean", "text",
        "list of text" };
    return names[value.index()];
}

} // namespace

std::string_view nameOf(setting_type type)
{
    return typeNames[static_cast<std::size_t>(type)];
}

std::string renderValue(const setting_value& value)
{
    return std::visit(
        [](const auto& content) -> std::string {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, std::string>)
                return fmt::format("\"{}\"", content);
            else if constexpr (std::is_same_v<content_type, std::vector<std::string>>)
                return content.empty() ? "[]" : fmt::format("[\"{}\"]", fmt::join(content, "\", \""));
            else
                return fmt::format("{}", content);
        },
        value);
}

setting::setting(std::string name, setting_target target, setting_options options)
    : m_name(std::move(name))
    , m_target(target)
    , m_options(std::move(options))
    , m_type(std::visit(
          [this](auto* member) {
              using member_type = std::remove_pointer_t<decltype(member)>;
              limitToMember<member_type>(m_options);
              return typeOfMember<member_type>();
          },
          target))
    , m_default(read())
{
}

setting::setting(std::string name, setting_choice choice, setting_options options)
    : m_name(std::move(name))
    , m_target(static_cast<std::string*>(nullptr))
    , m_choice(std::move(choice))
    , m_options(std::move(options))
    , m_type(setting_type::Text)
    , m_default(read())
{
}

std::string setting::variable() const
{
    std::string variable = "MARIGOLD_";
    for (const char c : m_name)
        variable += c == '.' ? '_' : static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
    return variable;
}

std::string setting::range() const
{
    constexpr std::array<std::string_view, 6> formats { "", "name", "IP address", "IP:PORT",
        "http(s)://IP:PORT", "ID:SECRET" };
    if (!m_choice.names.empty())
        return fmt::format("{}", fmt::join(m_choice.names, ", "));
    std::string text(formats[static_cast<std::size_t>(m_options.format)]);
    const auto add = [&text](std::string_view part) {
        text += text.empty() ? "" : ", ";
        text += part;
    };
    const std::string_view rangeUnit = m_type == setting_type::Text ? " bytes"
        : m_type == setting_type::TextList                          ? " entries"
                                                                    : "";
    if (m_options.minimum && m_options.maximum)
        add(fmt::format("{:.15g} to {:.15g}{}", *m_options.minimum, *m_options.maximum, rangeUnit));
    else if (m_options.minimum)
        add(fmt::format("from {:.15g}{}", *m_options.minimum, rangeUnit));
    else if (m_options.maximum)
        add(fmt::format("to {:.15g}{}", *m_options.maximum, rangeUnit));
    if (m_options.required)
        add("required");
    return text;
}

tl::unexpected<base::error> setting::invalidValue(std::string message) const
{
    return base::notRun(base::error_reason::InvalidRequest, std::move(message), m_name);
}

base::result<setting_value> setting::parse(std::string_view text) const
{
    const auto checked = [this](auto parsed) -> base::result<setting_value> {
        if (!parsed)
            return invalidValue(parsed.error().message);
        return checkRange(*parsed);
    };
    switch (m_type) {
    case setting_type::Integer:
        return checked(parseNumber<std::int64_t>(text, "an integer"));
    case setting_type::Duration:
        return checked(parseNumber<std::int64_t>(text, "a duration in whole milliseconds"));
    case setting_type::Number:
        return checked(parseNumber<double>(text, "a number"));
    case setting_type::Boolean:
        if (text != "true" && text != "false")
            return invalidValue(fmt::format("\"{}\" is neither true nor false", text));
        return setting_value(text == "true");
    case setting_type::Text:
        return checkRange(std::string(text));
    case setting_type::TextList:
        return checkRange(splitList(text));
    }
    return invalidValue("unknown type");
}

base::result<setting_value> setting::check(setting_value value) const
{
    if (m_type == setting_type::Number && std::holds_alternative<std::int64_t>(value))
        value = static_cast<double>(std::get<std::int64_t>(value));
    if (const auto* number = std::get_if<double>(&value))
        if (const auto whole = wholeNumber(m_type, *number))
            value = *whole;
    if (value.index() != m_default.index())
        return invalidValue(fmt::format("expected {}, found {}",
            m_type == setting_type::Duration ? "duration (integer, ms)" : nameOf(m_type), typeNameOf(value)));
    return checkRange(std::move(value));
}

std::string setting::textError(std::string_view text) const
{
    if (text.find_first_of(std::string_view("\0\n\r", 3)) != std::string_view::npos)
        return "text contains a line break or null byte";
    if (!m_choice.names.empty()
        && std::find(m_choice.names.begin(), m_choice.names.end(), text) == m_choice.names.end())
        return fmt::format("\"{}\" is not one of {}", text, fmt::join(m_choice.names, ", "));
    return formatError(m_options.format, text);
}

base::result<setting_value> setting::checkRange(setting_value value) const
{
    double magnitude = 0;
    if (const auto* integer = std::get_if<std::int64_t>(&value)) {
        magnitude = static_cast<double>(*integer);
    } else if (const auto* number = std::get_if<double>(&value)) {
        magnitude = *number;
        if (!std::isfinite(*number))
            return invalidValue("value is not a finite number");
    } else if (const auto* text = std::get_if<std::string>(&value)) {
        magnitude = static_cast<double>(text->size());
        if (auto message = textError(*text); !message.empty())
            return invalidValue(std::move(message));
        // Empty text means "not set"; settings_reader checks `required` after all sources, since a later
        // source may set the value.
        if (text->empty())
            return value;
    } else if (const auto* list = std::get_if<std::vector<std::string>>(&value)) {
        magnitude = static_cast<double>(list->size());
        for (const auto& entry : *list) {
            if (entry.empty())
                return invalidValue("list contains an empty entry");
            if (auto message = textError(entry); !message.empty())
                return invalidValue(std::move(message));
        }
    }
    if (std::holds_alternative<bool>(value))
        return value;
    if ((m_options.minimum && magnitude < *m_options.minimum)
        || (m_options.maximum && magnitude > *m_options.maximum))
        return invalidValue(
            fmt::format("{} is outside the range {}{}{}", m_options.secret ? "the value" : renderValue(value),
                range(), m_options.unit.empty() ? "" : " ", m_options.unit));
    return value;
}

setting_value setting::read() const
{
    if (!m_choice.names.empty())
        return m_choice.names.at(m_choice.read());
    return std::visit(
        [](auto* member) -> setting_value {
            using member_type = std::remove_pointer_t<decltype(member)>;
            if constexpr (typeOfMember<member_type>() == setting_type::Duration)
                return static_cast<std::int64_t>(
                    std::chrono::duration_cast<std::chrono::milliseconds>(*member).count());
            else if constexpr (typeOfMember<member_type>() == setting_type::Integer)
                return static_cast<std::int64_t>(*member);
            else
                return *member;
        },
        m_target);
}

void setting::write(const setting_value& value) const
{
    if (!m_choice.names.empty()) {
        const auto& names = m_choice.names;
        const auto found = std::find(names.begin(), names.end(), std::get<std::string>(value));
        m_choice.write(static_cast<std::size_t>(found - names.begin()));
        return;
    }
    std::visit(
        [&value](auto* member) {
            using member_type = std::remove_pointer_t<decltype(member)>;
            if constexpr (typeOfMember<member_type>() == setting_type::Duration)
                *member = std::chrono::milliseconds(std::get<std::int64_t>(value));
            else if constexpr (typeOfMember<member_type>() == setting_type::Integer)
                *member = static_cast<member_type>(std::get<std::int64_t>(value));
            else
                *member = std::get<member_type>(value);
        },
        m_target);
}

} // namespace marigold::settings
