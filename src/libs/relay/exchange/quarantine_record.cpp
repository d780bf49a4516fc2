#include "quarantine_record.h"

#include <relay/message/json_document.h>

#include <functional>

namespace marigold::relay {

namespace {

using nlohmann::json;

/// Limits of what is accepted from others, far above what a process sends.
constexpr std::size_t maxRecords = 256;
constexpr std::size_t maxNameBytes = 512;
constexpr int maxCount = 1'000'000;

struct encoder {
    json operator()(const target_end& end) const
    {
        return { { "target", end.target }, { "parts", end.parts }, { "sound", end.soundParts },
            { "begun", end.answerBegun }, { "events", end.events } };
    }
    json operator()(const blocked_part& block) const
    {
        return { { "blocked", block.part }, { "with", block.with }, { "ends", block.ends },
            { "targets", block.targets } };
    }
    json operator()(const trial_start& trial) const
    {
        return { { "tried", trial.part }, { "number", trial.number } };
    }
    json operator()(const sound_part& part) const
    {
        return { { "answered", part.part }, { "refutes", part.refutes }, { "stage", part.stage } };
    }
};

json valueOf(const quarantine_batch& batch)
{
    json records = json::array();
    for (const numbered_record& item : batch.records) {
        records.push_back(std::visit(encoder {}, item.record));
        records.back()["sequence"] = item.sequence;
    }
    return { { "process", batch.process }, { "records", std::move(records) } };
}

std::string nameOf(const json& value)
{
    std::string name = value;
    if (name.empty() || name.size() > maxNameBytes)
        throw std::length_error("a name is empty or too long");
    return name;
}

std::vector<std::string> namesOf(const json& value)
{
    if (value.size() > maxRecordParts)
        throw std::length_error("too many parts");
    std::vector<std::string> names;
    for (const json& item : arrayOf(value))
        names.push_back(nameOf(item));
    return names;
}

/// Returns the member \a name, a count up to \a limit; \a absent if a process of an earlier version or an
/// operator has left it out.
int optionalOf(const json& value, const char* name, int absent, int limit)
{
    return value.contains(name) ? integerOf(value.at(name), 0, limit) : absent;
}

quarantine_record recordOf(const json& value)
{
    if (value.contains("begun"))
        return target_end { .target = nameOf(value.at("target")),
            .parts = namesOf(value.at("parts")),
            .soundParts = namesOf(value.at("sound")),
            .answerBegun = value.at("begun"),
            .events = optionalOf(value, "events", 0, maxCount) };
    if (value.contains("blocked"))
        return blocked_part { .part = nameOf(value.at("blocked")),
            .with = namesOf(value.at("with")),
            .ends = integerOf(value.at("ends"), 0, maxCount),
            .targets = namesOf(value.at("targets")) };
    if (value.contains("tried"))
        return trial_start { .part = nameOf(value.at("tried")),
            .number = integerOf(value.at("number"), 0, maxCount) };
    return sound_part { .part = nameOf(value.at("answered")),
        .refutes = value.at("refutes"),
        .stage = optionalOf(value, "stage", wholeAnswerStage, wholeAnswerStage) };
}

quarantine_batch batchOf(const json& value)
{
    quarantine_batch batch { .process = nameOf(value.at("process")) };
    if (value.at("records").size() > maxRecords)
        throw std::length_error("too many records");
    for (const json& item : arrayOf(value.at("records")))
        batch.records.push_back({ .sequence
            = integerOf(item.at("sequence"), std::uint64_t { 0 }, std::uint64_t { maxExactInteger }),
            .record = recordOf(item) });
    return batch;
}

/// Returns the result of \a decode, with the exceptions of nlohmann/json and of the limits above as errors.
template <typename T> base::result<T> decoded(const std::function<T()>& decode)
{
    try {
        return decode();
    } catch (const std::exception& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what());
    }
}

} // namespace

std::size_t partsIn(const quarantine_record& record)
{
    if (const auto* end = std::get_if<target_end>(&record))
        return end->parts.size() + end->soundParts.size();
    const auto* block = std::get_if<blocked_part>(&record);
    return block ? 1 + block->with.size() : 1;
}

std::string encodeText(const quarantine_batch& batch)
{
    return valueOf(batch).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeDatagram(const quarantine_batch& batch)
{
    std::string bytes(1, quarantineDigestKind);
    json::to_msgpack(valueOf(batch), bytes);
    return bytes;
}

base::result<quarantine_batch> decodeQuarantineText(std::string_view text)
{
    return decoded<quarantine_batch>([text] { return batchOf(parseDocument(text)); });
}

base::result<quarantine_batch> decodeQuarantineDatagram(std::string_view bytes)
{
    if (!bytes.starts_with(quarantineDigestKind))
        return base::notRun(base::error_reason::InvalidRequest, "not a quarantine digest");
    return decoded<quarantine_batch>([bytes] { return batchOf(parseMessagePack(bytes.substr(1))); });
}

base::result<blocked_part> decodeOperatorBlock(std::string_view text)
{
    return decoded<blocked_part>([text] {
        const std::string part = nameOf(parseDocument(text).at("part"));
        return blocked_part { .part = part, .with = { part } };
    });
}

} // namespace marigold::relay
