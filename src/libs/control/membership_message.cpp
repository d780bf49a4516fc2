#include "membership_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace marigold::control {

namespace {

using nlohmann::json;

constexpr std::uint64_t protocolVersion = 1;
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxLocations = maxUpdates + 1;
constexpr std::size_t maxDomains = 64;
constexpr std::size_t recordFields = 11;

/// Table of failure domain and region pairs. They repeat in the records of a message, so that each is sent
/// once.
class location_table {
public:
    std::uint64_t indexOf(const member& value)
    {
        const json location = json::array({ value.failureDomain, value.region });
        const auto found = std::find(m_locations.begin(), m_locations.end(), location);
        if (found != m_locations.end())
            return static_cast<std::uint64_t>(found - m_locations.begin());
        m_locations.push_back(location);
        return m_locations.size() - 1;
    }

    json take() { return std::move(m_locations); }

private:
    json::array_t m_locations;
};

json recordOf(const member& value, location_table& locations)
{
    return json::array({ value.id, value.incarnation,
        static_cast<unsigned>(value.state) * 2 + static_cast<unsigned>(value.kind), locations.indexOf(value),
        value.configVersion, value.load.running, value.load.queued, value.load.bound, value.load.rampStep,
        value.load.weightTag, value.loadSequence });
}

struct malformed : std::runtime_error {
    malformed()
        : std::runtime_error("malformed")
    {
    }
};

const json& require(bool condition, const json& value)
{
    if (!condition)
        throw malformed();
    return value;
}

std::uint64_t number(const json& value, std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
{
    require(value.is_number_unsigned(), value);
    const auto out = value.get<std::uint64_t>();
    require(out <= maximum, value);
    return out;
}

template <typename T> T boundedNumber(const json& value)
{
    return static_cast<T>(number(value, std::numeric_limits<T>::max()));
}

std::string name(const json& value, bool mayBeEmpty = false)
{
    require(value.is_string(), value);
    const auto& text = value.get_ref<const std::string&>();
    require(text.size() <= maxNameBytes && (mayBeEmpty || !text.empty()), value);
    require(std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; }), value);
    return text;
}

const json::array_t& list(const json& value, std::size_t minimum, std::size_t maximum)
{
    require(value.is_array() && value.size() >= minimum && value.size() <= maximum, value);
    return value.get_ref<const json::array_t&>();
}

member readRecord(const json& value, const json::array_t& locations)
{
    const auto& fields = list(value, recordFields, recordFields);
    const auto stateAndKind = number(fields[2], 2 * static_cast<unsigned>(member_state::Dead) + 1);
    const auto location = number(fields[3]);
    require(location < locations.size(), value);
    const auto& domainAndRegion = list(locations[location], 2, 2);
    return {
        .id = name(fields[0]),
        .failureDomain = name(domainAndRegion[0]),
        .region = name(domainAndRegion[1]),
        .kind = static_cast<member_kind>(stateAndKind % 2),
        .incarnation = number(fields[1], std::numeric_limits<std::int64_t>::max()),
        .state = static_cast<member_state>(stateAndKind / 2),
        .configVersion = number(fields[4], std::numeric_limits<std::int64_t>::max()),
        .load = { .running = boundedNumber<std::uint16_t>(fields[5]),
            .queued = boundedNumber<std::uint16_t>(fields[6]),
            .bound = boundedNumber<std::uint16_t>(fields[7]),
            .rampStep = boundedNumber<std::uint8_t>(fields[8]),
            .weightTag = boundedNumber<std::uint16_t>(fields[9]) },
        .loadSequence = boundedNumber<std::uint32_t>(fields[10]),
    };
}

domain_summary readSummary(const json& value)
{
    const auto& fields = list(value, 5, 5);
    return {
        .name = name(fields[0]),
        .stamp = number(fields[1], std::numeric_limits<std::int64_t>::max()),
        .reachable = number(fields[2], 1) == 1,
        .lowestVersion = number(fields[3], std::numeric_limits<std::int64_t>::max()),
        .behind = boundedNumber<std::uint16_t>(fields[4]),
    };
}

membership_message readMessage(const json& value)
{
    const auto& fields = list(value, 11, 11);
    require(number(fields[0]) == protocolVersion, value);
    const auto& locations = list(fields[3], 1, maxLocations);
    membership_message out {
        .type
        = static_cast<message_type>(number(fields[1], static_cast<std::uint64_t>(message_type::Digest))),
        .sequence = boundedNumber<std::uint32_t>(fields[2]),
        .sender = readRecord(fields[4], locations),
        .subject = name(fields[5], true),
        .upTo = number(fields[6], std::numeric_limits<std::int64_t>::max()),
    };
    out.confirmed = number(fields[10], std::numeric_limits<std::int64_t>::max());
    for (const auto& record : list(fields[7], 0, maxUpdates))
        out.updates.push_back(readRecord(record, locations));
    for (const auto& summary : list(fields[8], 0, maxDomains))
        out.domains.push_back(readSummary(summary));
    for (const auto& item : list(fields[9], 0, maxDomains)) {
        const auto& pair = list(item, 2, 2);
        out.hashes.push_back({ .name = name(pair[0]), .hash = number(pair[1]) });
    }
    return out;
}

} // namespace

std::string encode(const membership_message& message)
{
    location_table locations;
    json sender = recordOf(message.sender, locations);
    json::array_t updates;
    for (const auto& update : message.updates)
        updates.push_back(recordOf(update, locations));
    json::array_t domains;
    for (const auto& summary : message.domains)
        domains.push_back(json::array({ summary.name, summary.stamp, summary.reachable ? 1U : 0U,
            summary.lowestVersion, summary.behind }));
    json::array_t hashes;
    for (const auto& item : message.hashes)
        hashes.push_back(json::array({ item.name, item.hash }));
    const json value = json::array({ protocolVersion, static_cast<unsigned>(message.type), message.sequence,
        locations.take(), std::move(sender), message.subject, message.upTo, std::move(updates),
        std::move(domains), std::move(hashes), message.confirmed });
    std::string out;
    json::to_msgpack(value, out);
    return out;
}

std::optional<membership_message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes)
        return {};
    // Without exceptions, the parser returns a discarded value for malformed input.
    const json value = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        return {};
    try {
        return readMessage(value);
    } catch (const malformed&) {
        return {};
    }
}

} // namespace marigold::control
