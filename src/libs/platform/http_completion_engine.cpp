#include "http_completion_engine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::platform {

namespace {

using nlohmann::json;

/// Decodes the events of a stream.
struct stream_state {
    net::event_stream_decoder decoder;
    int status = 0;
    std::optional<engine_end> end;
    bool malformed = false;

    void decode(std::string_view bytes, const completion_engine::token_callback& onToken);
};

void stream_state::decode(std::string_view bytes, const completion_engine::token_callback& onToken)
{
    for (const auto& event : decoder.feed(bytes)) {
        const json value = json::parse(event.data, nullptr, false);
        if (!value.is_object()) {
            malformed = true;
            return;
        }
        try {
            if (!value.value("done", false)) {
                onToken(
                    { .index = value.at("index").get<int>(), .text = value.at("text").get<std::string>() });
                continue;
            }
            const json& usage = value.at("usage");
            end = engine_end { .finishReason = value.at("finish_reason").get<std::string>(),
                .promptTokens = usage.at("prompt_tokens").get<std::uint32_t>(),
                .cachedTokens = usage.at("cached_tokens").get<std::uint32_t>(),
                .completionTokens = usage.at("completion_tokens").get<std::uint32_t>(),
                .version = value.at("version").get<std::string>() };
        } catch (const json::exception&) {
            malformed = true;
            return;
        }
    }
}

base::error errorOf(int status)
{
    const auto reason = status == 409 ? base::error_reason::Conflict
        : status == 404               ? base::error_reason::NotFound
        : status == 400               ? base::error_reason::InvalidRequest
        : status == 413               ? base::error_reason::TooLarge
                                      : base::error_reason::Unavailable;
    return { .verdict = base::verdict::NotRun,
        .reason = reason,
        .message = fmt::format("the engine replied with status {}", status) };
}

base::result<engine_end> outcomeOf(const stream_state& state, const base::result<net::http_response>& answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != 200)
        return tl::unexpected(errorOf(answer->status));
    if (!state.end || state.malformed)
        return base::mayHaveRun(
            base::error_reason::StreamBroken, "the stream of the engine ended without its final event");
    return *state.end;
}

base::result<void> checkStatus(const base::result<net::http_response>& answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != 200)
        return tl::unexpected(errorOf(answer->status));
    return {};
}

} // namespace

http_completion_engine::http_completion_engine(net::http_client& client, options opts)
    : m_client(client)
    , m_options(std::move(opts))
{
}

http_completion_engine::~http_completion_engine() = default;

completion_engine::stream_id http_completion_engine::openStream(
    net::http_call call, token_callback onToken, end_callback onEnd)
{
    const auto state = std::make_shared<stream_state>();
    call.to = m_options.engine;
    call.timeout = m_options.streamTimeout;
    call.freshConnection = true;
    call.onHeaders = [state](int status, const net::http_headers&) { state->status = status; };
    call.onData = [state, onToken = std::move(onToken)](std::string_view bytes) {
        if (state->status == 200)
            state->decode(bytes, onToken);
    };
    return m_client.send(
        std::move(call), [state, onEnd = std::move(onEnd)](const base::result<net::http_response>& answer) {
            onEnd(outcomeOf(*state, answer));
        });
}

completion_engine::stream_id http_completion_engine::start(
    const engine_run_options& run, token_callback onToken, end_callback onEnd)
{
    const json body { { "request_id", run.requestId }, { "model", run.model }, { "version", run.version },
        { "prompt", run.prompt }, { "max_tokens", run.maxTokens }, { "temperature", run.temperature },
        { "priority", run.priority }, { "cache_salt", run.cacheSalt }, { "stream", true } };
    return openStream({ .method = "POST", .target = "/v1/completions", .body = body.dump() },
        std::move(onToken), std::move(onEnd));
}

completion_engine::stream_id http_completion_engine::resume(
    std::string_view requestId, int fromIndex, token_callback onToken, end_callback onEnd)
{
    return openStream({ .target = fmt::format("/engine/resume?request_id={}&from={}", requestId, fromIndex) },
        std::move(onToken), std::move(onEnd));
}

void http_completion_engine::detach(stream_id stream)
{
    m_client.cancel(stream);
}

void http_completion_engine::cancel(std::string_view requestId, callback<void> done)
{
    const json body { { "request_id", requestId } };
    m_client.send({ .to = m_options.engine,
                      .method = "POST",
                      .target = "/engine/cancel",
                      .body = body.dump(),
                      .timeout = m_options.callTimeout },
        [done = std::move(done)](
            const base::result<net::http_response>& answer) { done(checkStatus(answer)); });
}

void http_completion_engine::chain(
    std::string_view cacheSalt, std::string_view prompt, callback<engine_chain> done)
{
    const json body { { "cache_salt", cacheSalt }, { "prompt", prompt } };
    m_client.send({ .to = m_options.engine,
                      .method = "POST",
                      .target = "/engine/chain",
                      .body = body.dump(),
                      .timeout = m_options.callTimeout },
        [done = std::move(done)](const base::result<net::http_response>& answer) {
            if (const auto checked = checkStatus(answer); !checked)
                return done(tl::unexpected(checked.error()));
            base::result<engine_chain> outcome
                = base::notRun(base::error_reason::Unavailable, "the engine sent a malformed block list");
            try {
                const json value = json::parse(answer->body);
                outcome = engine_chain { .blocks = value.at("blocks").get<std::vector<std::string>>(),
                    .cachedBlocks = value.at("held").get<int>() };
            } catch (const json::exception&) {
                // The outcome remains the error set above.
            }
            done(std::move(outcome));
        });
}

void http_completion_engine::exportBlock(std::string_view block, callback<std::string> done)
{
    m_client.send({ .to = m_options.engine,
                      .target = fmt::format("/engine/export?block={}", block),
                      .timeout = m_options.callTimeout },
        [done = std::move(done)](base::result<net::http_response> answer) {
            if (const auto checked = checkStatus(answer); !checked)
                return done(tl::unexpected(checked.error()));
            // The checksum of a stored block is computed from these bytes, so that nothing finds a cut later.
            if (answer->endsWithConnection)
                return done(base::mayHaveRun(
                    base::error_reason::Unavailable, "the engine sent a block without its length"));
            done(std::move(answer->body));
        });
}

void http_completion_engine::importBlock(std::string_view block, std::string content, callback<void> done)
{
    m_client.send({ .to = m_options.engine,
                      .method = "PUT",
                      .target = fmt::format("/engine/import?block={}", block),
                      .body = std::move(content),
                      .timeout = m_options.callTimeout },
        [done = std::move(done)](
            const base::result<net::http_response>& answer) { done(checkStatus(answer)); });
}

} // namespace marigold::platform
