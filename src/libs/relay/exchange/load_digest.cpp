#include "load_digest.h"

#include <relay/message/json_document.h>

#include <algorithm>
#include <limits>

namespace marigold::relay {

namespace {

using nlohmann::json;

constexpr std::size_t fieldsPerEntry = 5;

constexpr auto firstSection = static_cast<std::size_t>(digest_section_id::Demand);
constexpr auto lastSection = static_cast<std::size_t>(digest_section_id::StoreRevision);

/// Limits of one figure; the figures of all processes are added up.
constexpr int maxRequests = 1'000'000;
constexpr std::int64_t maxTokens = std::int64_t { 1 } << 40;

std::uint64_t hashOf(const json& value)
{
    return integerOf(value, std::uint64_t { 0 }, std::numeric_limits<std::uint64_t>::max());
}

int requestsOf(const json& value)
{
    return integerOf(value, -maxRequests, maxRequests);
}

std::int64_t tokensOf(const json& value)
{
    return integerOf(value, -maxTokens, maxTokens);
}

} // namespace

target_load& target_load::operator+=(const target_load& other)
{
    requests += other.requests;
    prefillTokens += other.prefillTokens;
    tokens += other.tokens;
    loading += other.loading;
    return *this;
}

target_load& target_load::operator-=(const target_load& other)
{
    requests -= other.requests;
    prefillTokens -= other.prefillTokens;
    tokens -= other.tokens;
    loading -= other.loading;
    return *this;
}

std::string encode(const load_digest& digest)
{
    // Numbers are encoded without field names to keep the datagram small: it is sent to every peer many times
    // a second.
    json numbers = json::array();
    for (const load_digest::entry& item : digest.entries) {
        numbers.push_back(item.target);
        numbers.push_back(item.load.requests);
        numbers.push_back(item.load.prefillTokens);
        numbers.push_back(item.load.tokens);
        numbers.push_back(item.load.loading);
    }
    std::string bytes(1, loadDigestKind);
    json fetches = json::array();
    for (const fetch_outcomes& item : digest.fetches) {
        fetches.push_back(item.store);
        fetches.push_back(item.inTime);
        fetches.push_back(item.late);
    }
    json versions = json::array();
    for (const auto& [model, version] : digest.oldestInUse) {
        versions.push_back(model);
        versions.push_back(version);
    }
    json ages = json::array();
    for (const version_age& item : digest.versionAges) {
        ages.push_back(item.model);
        ages.push_back(item.version);
        ages.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(item.age).count());
        ages.push_back(item.isExact);
    }
    json elements = json::array({ digest.process, digest.sequence, std::move(numbers), std::move(versions),
        digest.isPartial, std::move(fetches), std::move(ages), digest.lastReceived });
    for (const auto& [id, section] : digest.sections) {
        while (elements.size() < static_cast<std::size_t>(id))
            elements.push_back(json::binary({}));
        elements.push_back(json::binary({ section.begin(), section.end() }));
    }
    json::to_msgpack(elements, bytes);
    return bytes;
}

base::result<load_digest> decodeLoadDigest(std::string_view bytes)
{
    if (!bytes.starts_with(loadDigestKind))
        return base::notRun(base::error_reason::InvalidRequest, "not a load digest");
    try {
        const json value = parseMessagePack(bytes.substr(1));
        load_digest digest { .process = value.at(0), .sequence = hashOf(value.at(1)) };
        const json& numbers = value.at(2);
        for (std::size_t i = 0; i + fieldsPerEntry <= numbers.size(); i += fieldsPerEntry)
            digest.entries.push_back({ .target = hashOf(numbers.at(i)),
                .load = { .requests = requestsOf(numbers.at(i + 1)),
                    .prefillTokens = tokensOf(numbers.at(i + 2)),
                    .tokens = tokensOf(numbers.at(i + 3)),
                    .loading = requestsOf(numbers.at(i + 4)) } });
        // Relays of an earlier build send only the loads.
        constexpr std::size_t versionsAt = 3;
        const json versions = value.size() > versionsAt ? value.at(versionsAt) : json::array();
        for (std::size_t i = 0; i + 1 < versions.size(); i += 2)
            digest.oldestInUse[hashOf(versions.at(i))] = integerOf(versions.at(i + 1), 0, maxWeightVersion);
        constexpr std::size_t partialAt = 4;
        digest.isPartial = value.size() > partialAt && value.at(partialAt).get<bool>();
        constexpr std::size_t fetchesAt = 5;
        const json fetches = value.size() > fetchesAt ? value.at(fetchesAt) : json::array();
        for (std::size_t i = 0; i + 2 < fetches.size(); i += 3)
            digest.fetches.push_back({ .store = hashOf(fetches.at(i)),
                .inTime = integerOf(fetches.at(i + 1), 0, maxRequests),
                .late = integerOf(fetches.at(i + 2), 0, maxRequests) });
        constexpr std::size_t agesAt = 6;
        const json ages = value.size() > agesAt ? value.at(agesAt) : json::array();
        for (std::size_t i = 0; i + 3 < ages.size(); i += 4)
            digest.versionAges.push_back({ .model = hashOf(ages.at(i)),
                .version = weightVersionOf(ages.at(i + 1)),
                .age = millisecondsOf(ages.at(i + 2)),
                .isExact = ages.at(i + 3).get<bool>() });
        constexpr std::size_t lastReceivedAt = 7;
        if (value.size() > lastReceivedAt)
            digest.lastReceived = hashOf(value.at(lastReceivedAt));
        for (std::size_t i = firstSection; i < std::min(value.size(), lastSection + 1); ++i)
            if (const json::binary_t& section = value.at(i).get_binary(); !section.empty())
                digest.sections.emplace(
                    static_cast<digest_section_id>(i), std::string(section.begin(), section.end()));
        return digest;
    } catch (const std::exception& error) { // Exceptions of nlohmann/json and document_error.
        return base::notRun(base::error_reason::InvalidRequest, error.what());
    }
}

} // namespace marigold::relay
