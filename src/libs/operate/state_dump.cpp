#include "state_dump.h"

#include "events.h"

#include <exception>

#include <nlohmann/json.hpp>

namespace marigold::operate {

namespace {

std::string quotedJson(const std::string& text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

state_dump::state_dump(options opts, const base::clock& time)
    : m_options(std::move(opts))
    , m_clock(time)
{
}

void state_dump::add(std::string name, section provider)
{
    m_sections[std::move(name)] = std::move(provider);
}

void state_dump::remove(std::string_view name)
{
    if (const auto found = m_sections.find(name); found != m_sections.end())
        m_sections.erase(found);
}

std::string state_dump::render() const
{
    std::string out = "{\"process\":" + quotedJson(m_options.process)
        + ",\"time_us\":" + std::to_string(m_clock.wallNow().time_since_epoch().count()) + ",\"sections\":{";
    bool isFirst = true;
    for (const auto& [name, provider] : m_sections) {
        out += isFirst ? "" : ",";
        out += quotedJson(name);
        out += ':';
        out += renderSection(name, provider);
        isFirst = false;
    }
    return out + "}}";
}

std::string state_dump::renderSection(const std::string& name, const section& provider) const
{
    std::string fault;
    try {
        std::string text = provider();
        if (text.size() > m_options.sectionBytes)
            fault = "state exceeds " + std::to_string(m_options.sectionBytes) + " bytes";
        else if (!nlohmann::json::accept(text))
            fault = "state is not valid JSON";
        else
            return text;
    } catch (const std::exception& thrown) {
        fault = thrown.what();
    }
    if (m_options.log)
        m_options.log->write(events::dumpSectionFailed, { { "section", name }, { "fault", fault } });
    return "{\"error\":" + quotedJson(fault) + "}";
}

} // namespace marigold::operate
