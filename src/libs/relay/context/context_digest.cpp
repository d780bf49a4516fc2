#include "context_digest.h"

#include <relay/message/json_document.h>

#include <algorithm>
#include <limits>

namespace marigold::relay {

namespace {

using nlohmann::json;

constexpr std::size_t fieldsPerEvent = 4;
constexpr int notAList = -1; ///< Encoded instead of the chunk number of a list.
constexpr std::int64_t noClock = 0; ///< Encoded instead of the time if the store did not tell it.
constexpr int dropped = -1; ///< Encoded instead of the tokens of a removed part.
constexpr int maxTokens = 1'000'000'000;
constexpr int maxChunks = 1'000'000;

std::uint64_t counterOf(const json& value)
{
    return integerOf(value, std::uint64_t { 0 }, std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::vector<context_digest> split(const context_digest& digest, std::size_t maxEvents)
{
    const std::vector<context_event>& events = digest.batch.events;
    std::vector<context_digest> out;
    std::uint64_t since = digest.since;
    std::size_t begin = 0;
    do {
        const std::size_t end = std::min(begin + maxEvents, events.size());
        const bool last = end == events.size();
        context_digest chunk { .process = digest.process,
            .store = digest.store,
            .since = since,
            .batch = { .epoch = digest.batch.epoch,
                // The entries of a list have no sequence numbers. All chunks describe the state at the number
                // of the batch, so each of them carries it.
                .next = last || digest.chunkNumber ? digest.batch.next : events[end - 1].sequence,
                .clockMs = digest.batch.clockMs } };
        if (digest.chunkNumber) {
            chunk.chunkNumber = static_cast<int>(out.size());
            chunk.isLastChunk = last;
        } else {
            since = chunk.batch.next;
        }
        chunk.batch.events.assign(events.begin() + static_cast<std::ptrdiff_t>(begin),
            events.begin() + static_cast<std::ptrdiff_t>(end));
        out.push_back(std::move(chunk));
        begin = end;
    } while (begin < events.size());
    return out;
}

std::string encode(const context_digest& digest)
{
    // Each scope is encoded once, and events have no field names: these datagrams are most of the traffic
    // between relays at a large site.
    std::vector<std::string> scopes;
    json fields = json::array();
    for (const context_event& event : digest.batch.events) {
        const auto known = std::ranges::find(scopes, event.scope);
        const std::ptrdiff_t index = known - scopes.begin();
        if (known == scopes.end())
            scopes.push_back(event.scope);
        fields.push_back(event.sequence);
        fields.push_back(event.stored ? event.tokens : dropped);
        fields.push_back(index);
        fields.push_back(event.partId);
    }
    std::string bytes(1, contextDigestKind);
    json::to_msgpack(
        json::array({ digest.process, digest.store, digest.since, digest.chunkNumber.value_or(notAList),
            digest.isLastChunk, digest.batch.epoch, digest.batch.next, scopes, std::move(fields),
            digest.batch.clockMs.value_or(noClock) }),
        bytes);
    return bytes;
}

base::result<context_digest> decodeContextDigest(std::string_view bytes)
{
    if (!bytes.starts_with(contextDigestKind))
        return base::notRun(base::error_reason::InvalidRequest, "not a context digest");
    try {
        const json value = parseMessagePack(bytes.substr(1));
        constexpr std::size_t scopesAt = 7;
        constexpr std::size_t fieldsAt = 8;
        constexpr std::size_t clockAt = 9;
        context_digest digest { .process = value.at(0),
            .store = value.at(1),
            .since = counterOf(value.at(2)),

            .batch = { .epoch = counterOf(value.at(5)), .next = counterOf(value.at(6)) } };
        if (const int chunk = integerOf(value.at(3), notAList, maxChunks); chunk != notAList) {
            digest.chunkNumber = chunk;
            digest.isLastChunk = value.at(4).get<bool>();
        }
        // Relays of an earlier build do not send the time.
        if (value.size() > clockAt && value.at(clockAt) != noClock)
            digest.batch.clockMs = integerOf(value.at(clockAt), std::int64_t { 0 }, maxExactInteger);
        const json& scopes = value.at(scopesAt);
        const json& fields = value.at(fieldsAt);
        for (std::size_t i = 0; i + fieldsPerEvent <= fields.size(); i += fieldsPerEvent) {
            const int tokens = integerOf(fields.at(i + 1), dropped, maxTokens);
            digest.batch.events.push_back({ .stored = tokens != dropped,
                .scope = scopes.at(integerOf(fields.at(i + 2), std::size_t { 0 }, scopes.size())),
                .partId = fields.at(i + 3),
                .tokens = std::max(tokens, 0),
                .sequence = counterOf(fields.at(i)) });
        }
        return digest;
    } catch (const std::exception& problem) { // Exceptions of nlohmann/json and document_error.
        return base::notRun(base::error_reason::InvalidRequest, problem.what());
    }
}

} // namespace marigold::relay
