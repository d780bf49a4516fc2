#include "load_digest.h"

#include <nlohmann/json.hpp>

namespace marigold::relay {

namespace {

using nlohmann::json;

constexpr std::size_t fieldsPerEntry = 5;

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
    json::to_msgpack(json::array({ digest.process, digest.sequence, std::move(numbers), std::move(versions),
                         digest.isPartial, std::move(fetches), digest.lastReceived }),
        bytes);
    return bytes;
}

base::result<load_digest> decodeLoadDigest(std::string_view bytes)
{
    if (!bytes.starts_with(loadDigestKind))
        return base::notRun(base::error_reason::InvalidRequest, "not a load digest");
    try {
        const json value = json::from_msgpack(bytes.substr(1));
        load_digest digest { .process = value.at(0), .sequence = value.at(1) };
        const json& numbers = value.at(2);
        for (std::size_t i = 0; i + fieldsPerEntry <= numbers.size(); i += fieldsPerEntry)
            digest.entries.push_back({ .target = numbers.at(i),
                .load = { .requests = numbers.at(i + 1),
                    .prefillTokens = numbers.at(i + 2),
                    .tokens = numbers.at(i + 3),
                    .loading = numbers.at(i + 4) } });
        // Relays of an earlier build send only the loads.
        constexpr std::size_t versionsAt = 3;
        const json versions = value.size() > versionsAt ? value.at(versionsAt) : json::array();
        for (std::size_t i = 0; i + 1 < versions.size(); i += 2)
            digest.oldestInUse[versions.at(i)] = versions.at(i + 1);
        constexpr std::size_t partialAt = 4;
        digest.isPartial = value.size() > partialAt && value.at(partialAt).get<bool>();
        constexpr std::size_t fetchesAt = 5;
        const json fetches = value.size() > fetchesAt ? value.at(fetchesAt) : json::array();
        for (std::size_t i = 0; i + 2 < fetches.size(); i += 3)
            digest.fetches.push_back(
                { .store = fetches.at(i), .inTime = fetches.at(i + 1), .late = fetches.at(i + 2) });
        constexpr std::size_t lastReceivedAt = 6;
        if (value.size() > lastReceivedAt)
            digest.lastReceived = value.at(lastReceivedAt);
        return digest;
    } catch (const json::exception& error) {
        return base::notRun(base::error_reason::InvalidRequest, error.what());
    }
}

} // namespace marigold::relay
