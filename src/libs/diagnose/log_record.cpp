#include "log_record.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace marigold::diagnose {

namespace {

/// Parses a time such as 2026-12-04T07:30:00.123Z.
std::optional<milliseconds> parseTime(std::string_view text)
{
    constexpr std::size_t length = 24;
    if (text.size() != length || text[length - 1] != 'Z')
        return {};
    const auto number = [&](std::size_t at, std::size_t digits) {
        int value = -1;
        const auto [end, fault] = std::from_chars(text.data() + at, text.data() + at + digits, value);
        return fault == std::errc() && end == text.data() + at + digits ? value : -1;
    };
    const int year = number(0, 4);
    const int month = number(5, 2);
    const int day = number(8, 2);
    const int hour = number(11, 2);
    const int minute = number(14, 2);
    const int second = number(17, 2);
    const int fraction = number(20, 3);
    const std::chrono::year_month_day date { std::chrono::year(year),
        std::chrono::month(static_cast<unsigned>(month)), std::chrono::day(static_cast<unsigned>(day)) };
    if (!date.ok() || hour < 0 || minute < 0 || second < 0 || fraction < 0)
        return {};
    return std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hour)
        + std::chrono::minutes(minute) + std::chrono::seconds(second) + milliseconds(fraction);
}

} // namespace

std::string_view log_record::field(std::string_view key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<milliseconds> log_record::duration(std::string_view key) const
{
    const std::string_view text = field(key);
    std::int64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size())
        return {};
    return milliseconds(value);
}

std::optional<log_record> parseLogLine(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return {};
    const auto object = nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (!object.is_object())
        return {};
    log_record record;
    std::string time;
    for (const auto& [key, value] : object.items()) {
        std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (key == "time")
            time = std::move(text);
        else if (key == "process")
            record.process = std::move(text);
        else if (key == "event")
            record.event = std::move(text);
        else if (key == "name")
            record.name = std::move(text);
        else if (key != "level")
            record.fields.emplace(key, std::move(text));
    }
    const auto parsed = parseTime(time);
    if (!parsed || record.event.empty() || record.process.empty())
        return {};
    record.time = *parsed;
    return record;
}

} // namespace marigold::diagnose
