#include "run_messages.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace marigold::protocol {

namespace {

using nlohmann::json;

constexpr int maxTokensLimit = 1'000'000;

std::int64_t toMicroseconds(base::duration value)
{
    return value.count();
}

/// Calls \a parse with the parsed \a text and converts its exceptions to an error.
template <typename T, typename Parse> base::result<T> decodeAs(std::string_view text, Parse parse)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return base::notRun(base::error_reason::InvalidRequest, "the message is not a JSON object", "body");
    try {
        return parse(value);
    } catch (const json::exception& problem) {
        return base::notRun(base::error_reason::InvalidRequest, problem.what(), "body");
    }
}

bool isIdentifier(const std::string& text)
{
    return base::digest128FromHex(text).has_value();
}

} // namespace

std::string agent_load::encode() const
{
    return json {
        { "running", running }, { "queued", queued }, { "bound", bound }, { "pending", pendingPrefillTokens },
        { "speed", prefillTokensPerSecond }, { "service_us", toMicroseconds(serviceTime) },
        { "version", version }
    }.dump();
}

base::result<agent_load> agent_load::decode(std::string_view text)
{
    return decodeAs<agent_load>(text, [](const json& value) {
        return agent_load {
            .running = value.at("running").get<int>(),
            .queued = value.at("queued").get<int>(),
            .bound = value.at("bound").get<int>(),
            .pendingPrefillTokens = value.value("pending", std::int64_t { 0 }),
            .prefillTokensPerSecond = value.value("speed", 0.0),
            .serviceTime = base::duration(value.value("service_us", std::int64_t { 0 })),
            .version = value.value("version", ""),
        };
    });
}

std::string run_request::encode() const
{
    return json {
        { "run", run }, { "attempt", attempt }, { "epoch", epoch }, { "team", team }, { "owner", owner },
        { "model", model }, { "version", version }, { "prompt", prompt }, { "max_tokens", maxTokens },
        { "temperature", temperature }, { "priority", priority },
        { "remaining_us", toMicroseconds(remaining) }, { "wait_limit_us", toMicroseconds(waitLimit) },
        { "cache_salt", cacheSalt }, { "block_keys", blockKeys }, { "load_blocks", loadBlocks },
        { "load_from", loadFrom }, { "save_to", saveTo }
    }.dump();
}

base::result<run_request> run_request::decode(std::string_view text)
{
    auto decoded = decodeAs<run_request>(text, [](const json& value) {
        return run_request {
            .run = value.at("run").get<std::string>(),
            .attempt = value.at("attempt").get<std::string>(),
            .epoch = value.at("epoch").get<std::uint32_t>(),
            .team = value.at("team").get<std::string>(),
            .owner = value.at("owner").get<std::string>(),
            .model = value.at("model").get<std::string>(),
            .version = value.at("version").get<std::string>(),
            .prompt = value.at("prompt").get<std::string>(),
            .maxTokens = value.at("max_tokens").get<int>(),
            .temperature = value.value("temperature", 0.0),
            .priority = value.value("priority", 1),
            .remaining = base::duration(value.at("remaining_us").get<std::int64_t>()),
            .waitLimit = base::duration(value.value("wait_limit_us", base::duration::max().count())),
            .cacheSalt = value.at("cache_salt").get<std::string>(),
            .blockKeys = value.value("block_keys", std::vector<std::string>()),
            .loadBlocks = value.value("load_blocks", 0),
            .loadFrom = value.value("load_from", ""),
            .saveTo = value.value("save_to", ""),
        };
    });
    if (!decoded)
        return decoded;
    if (!isIdentifier(decoded->run) || !isIdentifier(decoded->attempt))
        return base::notRun(base::error_reason::InvalidRequest,
            "run or attempt is not an identifier of 32 hexadecimal digits", "run");
    if (decoded->maxTokens < 1 || decoded->maxTokens > maxTokensLimit)
        return base::notRun(base::error_reason::InvalidRequest, "max_tokens is out of range", "max_tokens");
    if (decoded->priority < 0 || decoded->priority > 2)
        return base::notRun(base::error_reason::InvalidRequest, "priority is out of range", "priority");
    if (decoded->loadBlocks < 0 || static_cast<std::size_t>(decoded->loadBlocks) > decoded->blockKeys.size())
        return base::notRun(base::error_reason::InvalidRequest, "load_blocks is out of range", "load_blocks");
    return decoded;
}

std::string run_chunk::encode() const
{
    json value { { "attempt", attempt }, { "epoch", epoch }, { "sequence", sequence }, { "text", text },
        { "tokens", tokens } };
    if (isFinal) {
        value["finish_reason"] = finishReason;
        value["prompt_tokens"] = promptTokens;
        value["cached_tokens"] = cachedTokens;
        value["completion_tokens"] = completionTokens;
    }
    return value.dump();
}

base::result<run_chunk> run_chunk::decode(std::string_view text)
{
    return decodeAs<run_chunk>(text, [](const json& value) {
        run_chunk chunk {
            .attempt = value.at("attempt").get<std::string>(),
            .epoch = value.at("epoch").get<std::uint32_t>(),
            .sequence = value.at("sequence").get<std::uint64_t>(),
            .text = value.at("text").get<std::string>(),
            .tokens = value.at("tokens").get<std::uint32_t>(),
            .isFinal = value.contains("finish_reason"),
            .finishReason = value.value("finish_reason", ""),
            .promptTokens = value.value("prompt_tokens", 0U),
            .cachedTokens = value.value("cached_tokens", 0U),
            .completionTokens = value.value("completion_tokens", 0U),
        };
        return chunk;
    });
}

std::string resume_message::encode() const
{
    return json {
        { "run", run }, { "attempt", attempt }, { "epoch", epoch }, { "team", team }, { "owner", owner },
        { "after", afterSequence }
    }.dump();
}

base::result<resume_message> resume_message::decode(std::string_view text)
{
    auto decoded = decodeAs<resume_message>(text, [](const json& value) {
        return resume_message {
            .run = value.at("run").get<std::string>(),
            .attempt = value.at("attempt").get<std::string>(),
            .epoch = value.at("epoch").get<std::uint32_t>(),
            .team = value.at("team").get<std::string>(),
            .owner = value.at("owner").get<std::string>(),
            .afterSequence = value.at("after").get<std::uint64_t>(),
        };
    });
    if (decoded && (!isIdentifier(decoded->run) || !isIdentifier(decoded->attempt)))
        return base::notRun(base::error_reason::InvalidRequest,
            "run or attempt is not an identifier of 32 hexadecimal digits", "run");
    return decoded;
}

std::string call_request::encode() const
{
    return json {
        { "team", team }, { "service", service }, { "method", method }, { "path", path },
        { "content_type", contentType }, { "idempotency_key", idempotencyKey },
        { "remaining_us", toMicroseconds(remaining) }
    }.dump();
}

base::result<call_request> call_request::decode(std::string_view text)
{
    return decodeAs<call_request>(text, [](const json& value) {
        return call_request {
            .team = value.at("team").get<std::string>(),
            .service = value.at("service").get<std::string>(),
            .method = value.at("method").get<std::string>(),
            .path = value.at("path").get<std::string>(),
            .contentType = value.value("content_type", ""),
            .idempotencyKey = value.value("idempotency_key", ""),
            .remaining = base::duration(value.at("remaining_us").get<std::int64_t>()),
        };
    });
}

std::string encodeError(const base::error& problem)
{
    json value { { "verdict", base::nameOf(problem.verdict) }, { "reason", base::nameOf(problem.reason) },
        { "message", problem.message } };
    if (!problem.field.empty())
        value["field"] = problem.field;
    if (problem.retryAfter.count() > 0)
        value["retry_after_ms"] = problem.retryAfter.count();
    return json { { "error", value } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::error decodeError(std::string_view text, base::error fallback)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("error") || !value["error"].is_object())
        return fallback;
    const json& inner = value["error"];
    const auto verdict = base::verdictFromString(inner.value("verdict", ""));
    if (!verdict)
        return fallback;
    return { .verdict = *verdict,
        .reason = base::reasonFromString(inner.value("reason", "")),
        .message = inner.value("message", ""),
        .field = inner.value("field", ""),
        .retryAfter = std::chrono::milliseconds(inner.value("retry_after_ms", 0)) };
}

} // namespace marigold::protocol
