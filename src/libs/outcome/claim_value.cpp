#include "claim_value.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigold::outcome {

namespace {

using nlohmann::json;

constexpr std::uint64_t formatVersion = 1;
constexpr std::array<std::string_view, 3> stateNames { "claimed", "done", "released" };

// The value is a MessagePack array of version, claimers, records and answers. Records and answers are packed
// into one binary field each: separate JSON values take ten times as long to encode, and the value is encoded
// for every batch.
constexpr std::size_t recordBytes = 16 + 16 + 8 + 4 + 1; // key, request, nonce, claimer, state
constexpr std::size_t answerHeaderBytes = 16; // index of the record, status, two lengths
constexpr std::size_t claimerLengthBytes = 5; // upper bound of the MessagePack length prefix

/// Appends numbers in little-endian order.
class packer {
public:
    explicit packer(std::size_t expected) { m_out.reserve(expected); }

    void bytes(std::string_view text) { m_out.insert(m_out.end(), text.begin(), text.end()); }
    void digest(const base::digest128& digest) { m_out.insert(m_out.end(), digest.begin(), digest.end()); }

    template <typename T> void number(T value)
    {
        std::array<std::uint8_t, sizeof(T)> bytes {};
        for (std::size_t i = 0; i < sizeof(T); ++i)
            bytes[i] = static_cast<std::uint8_t>(value >> (8 * i));
        m_out.insert(m_out.end(), bytes.begin(), bytes.end());
    }

    std::vector<std::uint8_t> take() { return std::move(m_out); }

private:
    std::vector<std::uint8_t> m_out;
};

/// Reads the output of `packer`; reads past the end fail.
class unpacker {
public:
    explicit unpacker(const std::vector<std::uint8_t>& in)
        : m_rest(in)
    {
    }

    bool isAtEnd() const { return m_rest.empty(); }

    bool digest(base::digest128& out)
    {
        if (m_rest.size() < out.size())
            return false;
        std::copy_n(m_rest.begin(), out.size(), out.begin());
        m_rest = m_rest.subspan(out.size());
        return true;
    }

    bool bytes(std::size_t length, std::string& out)
    {
        if (m_rest.size() < length)
            return false;
        out.assign(m_rest.begin(), m_rest.begin() + static_cast<std::ptrdiff_t>(length));
        m_rest = m_rest.subspan(length);
        return true;
    }

    template <typename T> bool number(T& out)
    {
        if (m_rest.size() < sizeof(T))
            return false;
        out = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i)
            out |= static_cast<T>(static_cast<T>(m_rest[i]) << (8 * i));
        m_rest = m_rest.subspan(sizeof(T));
        return true;
    }

private:
    std::span<const std::uint8_t> m_rest;
};

bool readRecord(unpacker& in, std::size_t claimers, claim_record& out)
{
    std::uint8_t state = 0;
    if (!in.digest(out.key) || !in.digest(out.request) || !in.number(out.nonce) || !in.number(out.claimer)
        || !in.number(state))
        return false;
    out.state = static_cast<claim_state>(state);
    return out.claimer < claimers && state < stateNames.size();
}

bool readAnswer(unpacker& in, std::uint32_t& index, stored_answer& out)
{
    std::uint32_t status = 0;
    std::uint32_t typeLength = 0;
    std::uint32_t bodyLength = 0;
    if (!in.number(index) || !in.number(status) || !in.number(typeLength) || !in.number(bodyLength))
        return false;
    out.status = static_cast<int>(status);
    return in.bytes(typeLength, out.contentType) && in.bytes(bodyLength, out.body);
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
    if (!in.is_array() || in.size() != 4 || in[0] != formatVersion || !in[1].is_array() || !in[2].is_binary()
        || !in[3].is_binary())
        return std::nullopt;
    claim_value out;
    for (const auto& claimer : in[1]) {
        if (!claimer.is_binary())
            return std::nullopt;
        out.m_claimers.emplace_back(claimer.get_binary().begin(), claimer.get_binary().end());
        out.m_bound += claimerLengthBytes + out.m_claimers.back().size();
    }
    if (!out.unpackRecords(in[2].get_binary()) || !out.unpackAnswers(in[3].get_binary()))
        return std::nullopt;
    return out;
}

bool claim_value::unpackRecords(const std::vector<std::uint8_t>& packed)
{
    m_records.reserve(packed.size() / recordBytes);
    for (unpacker in(packed); !in.isAtEnd();) {
        claim_record record;
        if (!readRecord(in, m_claimers.size(), record))
            return false;
        if (!m_records.empty() && m_records.back().key >= record.key)
            return false;
        m_bound += encodedBound(record);
        m_records.push_back(std::move(record));
    }
    return true;
}

bool claim_value::unpackAnswers(const std::vector<std::uint8_t>& packed)
{
    for (unpacker in(packed); !in.isAtEnd();) {
        std::uint32_t index = 0;
        stored_answer answer;
        if (!readAnswer(in, index, answer) || index >= m_records.size())
            return false;
        claim_record& record = m_records[index];
        if (record.state != claim_state::Done || record.answer)
            return false;
        m_bound -= encodedBound(record);
        record.answer = std::make_shared<const stored_answer>(std::move(answer));
        m_bound += encodedBound(record);
        m_answerBytes += answerBytes(record);
    }
    return true;
}

std::string claim_value::encode() const
{
    packer records(m_records.size() * recordBytes);
    packer answers(m_bound - m_records.size() * recordBytes);
    for (std::uint32_t i = 0; i < m_records.size(); ++i) {
        const claim_record& record = m_records[i];
        records.digest(record.key);
        records.digest(record.request);
        records.number(record.nonce);
        records.number(record.claimer);
        records.number(static_cast<std::uint8_t>(record.state));
        if (!record.answer)
            continue;
        answers.number(i);
        answers.number(static_cast<std::uint32_t>(record.answer->status));
        answers.number(static_cast<std::uint32_t>(record.answer->contentType.size()));
        answers.number(static_cast<std::uint32_t>(record.answer->body.size()));
        answers.bytes(record.answer->contentType);
        answers.bytes(record.answer->body);
    }
    json claimers = json::array();
    for (const auto& claimer : m_claimers)
        claimers.push_back(json::binary({ claimer.begin(), claimer.end() }));
    std::string out;
    out.reserve(m_bound);
    json value = json::array({ formatVersion, std::move(claimers) });
    value.push_back(json::binary(records.take()));
    value.push_back(json::binary(answers.take()));
    json::to_msgpack(value, out);
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
        return recordBytes;
    return recordBytes + answerHeaderBytes + record.answer->contentType.size() + record.answer->body.size();
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
    m_bound += claimerLengthBytes + claimer.size();
    return static_cast<std::uint32_t>(m_claimers.size() - 1);
}

} // namespace marigold::outcome
