#include "event_log.h"

#include <array>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace marigold::base {

namespace {

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

std::string quoted(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        } else {
            out += c;
        }
    }
    out += '"';
    return out;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds);
}

bool isPlain(std::string_view text)
{
    return !text.empty() && text.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
}

} // namespace

std::string_view nameOf(log_level level)
{
    return levelNames[static_cast<std::size_t>(level)];
}

void event_log::write(const event_definition& event, std::initializer_list<event_field> fields) const
{
    if (m_options.onEvent)
        m_options.onEvent(event);
    if (event.level < m_options.minimum)
        return;
    std::string line;
    if (m_options.format == log_format::Json) {
        line = fmt::format(R"({{"time":"{}","level":"{}","event":"{}","name":"{}","process":{})", timestamp(),
            nameOf(event.level), event.id, event.name, quoted(m_options.process));
        for (const auto& field : fields)
            line += fmt::format(",{}:{}", quoted(field.key), quoted(field.value));
        line += "}\n";
    } else {
        line = fmt::format("{} {} {} {} process={}", timestamp(), nameOf(event.level), event.id, event.name,
            m_options.process);
        for (const auto& field : fields)
            line
                += fmt::format(" {}={}", field.key, isPlain(field.value) ? field.value : quoted(field.value));
        line += '\n';
    }
    if (m_options.leveledOutput)
        m_options.leveledOutput(line, event.level);
    else if (m_options.output)
        m_options.output(line);
    else
        fmt::print(stderr, "{}", line);
}

} // namespace marigold::base
