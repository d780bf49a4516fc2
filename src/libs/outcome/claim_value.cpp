#include "claim_value.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigold::outcome {

namespace {

using nlohmann::json;

constexpr std::uint64_t formatVersion = 1;
constexpr std::size_t recordFields = 5; // key, request, nonce, claimer, state
constexpr std::size_t answeredFields = 8; // and status, content type, body
constexpr std::array<std::string_view, 3> stateNames { "claimed", "done", "released" };

// MessagePack: array header 3, two 16-byte strings with 2 each, nonce 9, claimer 5, state 1.
constexpr std::size_t recordBound = 3 + 2 * (16 + 2) + 9 + 5 + 1;
constexpr std::size_t answerBound = 5 + 5 + 5; // status and two length prefixes
constexpr std::size_t claimerBound = 5; // length prefix

json bytesOf(std::string_view text)
{
    return json::binary({ text.begin(), text.end() });
}

json bytesOf(const base::digest128& digest)
{
    return json::binary({ digest.begin(), digest.end() });
}

json toJson(const claim_record& record)
{
    json out = json::array({ bytesOf(record.key), bytesOf(record.request), record.nonce, record.claimer,
        static_cast<unsigned>(record.state) });
    if (record.answer) {
        out.push_back(record.answer->status);
        out.push_back(bytesOf(record.answer->contentType));
        out.push_back(bytesOf(record.answer->body));
    }
    return out;
}

bool readBytes(const json& in, std::string& out)
{
    if (!in.is_binary())
        return false;
    out.assign(in.get_binary().begin(), in.get_binary().end());
    return true;
}

bool readDigest(const json& in, base::digest128& out)
{
    if (!in.is_binary() || in.get_binary().size() != out.size())
        return false;
    std::copy(in.get_binary().begin(), in.get_binary().end(), out.begin());
    return true;
}

bool readAnswer(const json& in, claim_record& out)
{
    stored_answer answer;
    if (out.state != claim_state::Done || !in[5].is_number_integer() || !readBytes(in[6], answer.contentType)
        || !readBytes(in[7], answer.body))
        return false;
    answer.status = in[5].get<int>();
    out.answer = std::make_shared<const stored_answer>(std::move(answer));
    return true;
}

std::optional<claim_record> readRecord(const json& in, std::size_t claimers)
{
    if (!in.is_array() || (in.size() != recordFields && in.size() != answeredFields))
        return std::nullopt;
    claim_record out;
    if (!readDigest(in[0], out.key) || !readDigest(in[1], out.request) || !in[2].is_number_unsigned()
        || !in[3].is_number_unsigned() || !in[4].is_number_unsigned())
        return std::nullopt;
    if (in[3].get<std::uint64_t>() >= claimers || in[4].get<std::uint64_t>() >= stateNames.size())
        return std::nullopt;
    out.nonce = in[2].get<std::uint64_t>();
    out.claimer = in[3].get<std::uint32_t>();
    out.state = static_cast<claim_state>(in[4].get<unsigned>());
    if (in.size() == answeredFields && !readAnswer(in, out))
        return std::nullopt;
    return out;
}

bool isBefore(const claim_record& record, const base::digest128& key)
{
    return record.key < key;
}

std::size_t answerBytes(const claim_record& record)
{
    return record.answer
        ? sizeof(stored_answer) + record.answer->contentType.size() + record.answer->body.size()
        : 0;
}

} // namespace

std::string_view nameOf(claim_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<claim_value> claim_value::decode(std::string_view text)
{
    const json in = json::from_msgpack(text.begin(), text.end(), true, false);
    if (!in.is_array() || in.size() != 3 || in[0] != formatVersion || !in[1].is_array() || !in[2].is_array())
        return std::nullopt;
    claim_value out;
    for (const auto& item : in[1]) {
        std::string claimer;
        if (!readBytes(item, claimer))
            return std::nullopt;
        out.m_claimers.push_back(std::move(claimer));
        out.m_bound += claimerBound + out.m_claimers.back().size();
    }
    for (const auto& item : in[2]) {
        auto record = readRecord(item, out.m_claimers.size());
        if (!record || (!out.m_records.empty() && out.m_records.back().key >= record->key))
            return std::nullopt;
        out.m_bound += encodedBound(*record);
        out.m_answerBytes += answerBytes(*record);
        out.m_records.push_back(std::move(*record));
    }
    return out;
}

std::string claim_value::encode() const
{
    json claimers = json::array();
    for (const auto& claimer : m_claimers)
        claimers.push_back(bytesOf(claimer));
    json records = json::array();
    for (const auto& record : m_records)
        records.push_back(toJson(record));
    std::string out;
    out.reserve(m_bound);
    json::to_msgpack(json::array({ formatVersion, std::move(claimers), std::move(records) }), out);
    return out;
}

const claim_record* claim_value::find(const base::digest128& key) const
{
    const auto it = std::lower_bound(m_records.begin(), m_records.end(), key, isBefore);
    return it != m_records.end() && it->key == key ? &*it : nullptr;
}

void claim_value::set(claim_record record, std::string_view claimer)
{
    record.claimer = indexOf(claimer);
    m_bound += encodedBound(record);
    m_answerBytes += answerBytes(record);
    const auto it = std::lower_bound(m_records.begin(), m_records.end(), record.key, isBefore);
    if (it == m_records.end() || it->key != record.key) {
        m_records.insert(it, std::move(record));
        return;
    }
    m_bound -= encodedBound(*it);
    m_answerBytes -= answerBytes(*it);
    *it = std::move(record);
}

std::size_t claim_value::encodedBound(const claim_record& record)
{
    if (!record.answer)
        return recordBound;
    return recordBound + answerBound + record.answer->contentType.size() + record.answer->body.size();
}

std::size_t claim_value::memoryBytes() const
{
    return sizeof(claim_value) + m_records.capacity() * sizeof(claim_record) + m_answerBytes
        + m_claimers.capacity() * sizeof(std::string);
}

std::uint32_t claim_value::indexOf(std::string_view claimer)
{
    const auto it = std::find(m_claimers.begin(), m_claimers.end(), claimer);
    if (it != m_claimers.end())
        return static_cast<std::uint32_t>(it - m_claimers.begin());
    m_claimers.emplace_back(claimer);
    m_bound += claimerBound + claimer.size();
    return static_cast<std::uint32_t>(m_claimers.size() - 1);
}

} // namespace marigold::outcome
