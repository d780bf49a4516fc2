#include "demand_section.h"

#include <relay/message/json_document.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigold::relay {

namespace {

using nlohmann::json;

/// Limit of a figure in ms: figures of all processes are added up.
constexpr std::int64_t maxFigure = 100'000'000;
constexpr base::duration longestReturn = std::chrono::seconds(60);

std::int64_t rounded(double value)
{
    return std::clamp<std::int64_t>(std::llround(value), 0, maxFigure);
}

std::uint32_t hashOf(const json& value)
{
    return integerOf(value, std::uint32_t { 0 }, std::numeric_limits<std::uint32_t>::max());
}

double figureOf(const json& value)
{
    return static_cast<double>(integerOf(value, std::int64_t { 0 }, maxFigure));
}

} // namespace

std::string encode(const relay_demand& demand)
{
    json classes = json::array();
    for (const start_forecast::class_load& item : demand.classes) {
        classes.push_back(item.id);
        classes.push_back(rounded(item.queued));
        classes.push_back(rounded(item.drain));
    }
    json teams = json::array();
    for (const team_usage::entry& item : demand.teams) {
        teams.push_back(item.id);
        teams.push_back(rounded(item.used));
    }
    json returns = json::array();
    for (const return_schedule::promise& item : demand.returns) {
        returns.push_back(item.fingerprint);
        returns.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(item.dueAfter).count());
    }
    std::string bytes;
    json::to_msgpack(json::array({ std::move(classes), std::move(teams), std::move(returns) }), bytes);
    return bytes;
}

base::result<relay_demand> decodeDemand(std::string_view bytes)
{
    try {
        const json value = parseMessagePack(bytes);
        relay_demand demand;
        const json& classes = arrayOf(value.at(0));
        for (std::size_t i = 0; i + 2 < classes.size(); i += 3)
            demand.classes.push_back({ .id = hashOf(classes.at(i)),
                .queued = figureOf(classes.at(i + 1)),
                .drain = figureOf(classes.at(i + 2)) });
        const json& teams = arrayOf(value.at(1));
        for (std::size_t i = 0; i + 1 < teams.size(); i += 2)
            demand.teams.push_back({ .id = hashOf(teams.at(i)), .used = figureOf(teams.at(i + 1)) });
        const json& returns = arrayOf(value.at(2));
        for (std::size_t i = 0; i + 1 < returns.size(); i += 2)
            demand.returns.push_back({ .fingerprint = hashOf(returns.at(i)),
                .dueAfter = millisecondsOf(returns.at(i + 1), longestReturn) });
        return demand;
    } catch (const std::exception& error) { // Exceptions of nlohmann/json and document_error.
        return base::notRun(base::error_reason::InvalidRequest, error.what());
    }
}

std::size_t section_budget::available(base::time_point now)
{
    const double receivers = static_cast<double>(std::max<std::size_t>(m_receivers, 1));
    const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    const double most = receivers * static_cast<double>(m_options.largest);
    m_saved = std::min(most, m_saved + std::max(elapsed, 0.0) * m_options.bytesPerSecond);
    m_updatedAt = now;
    const auto size = static_cast<std::size_t>(std::max(m_saved / receivers, 0.0));
    if (m_receivers == 0 || size < m_options.smallest || now - m_sentAt < m_options.interval)
        return 0;
    return size;
}

void section_budget::sent(std::size_t bytes, base::time_point now)
{
    m_saved -= static_cast<double>(m_receivers * bytes);
    m_sentAt = now;
}

} // namespace marigold::relay
