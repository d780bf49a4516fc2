#include "completion_writer.h"

#include <protocol/protocol.h>

#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

using nlohmann::json;

/// Unsent bytes above which a caller is cut off; it can resume with `Last-Event-ID`.
constexpr std::size_t maxPendingBytes = 4 << 20;

/// Id prefix and object names, which differ between text and chat completions.
struct response_format {
    std::string_view idPrefix;
    std::string_view completeObject;
    std::string_view chunkObject;
};

constexpr response_format textFormat { "cmpl-", "text_completion", "text_completion" };
constexpr response_format chatFormat { "chatcmpl-", "chat.completion", "chat.completion.chunk" };

json usageOf(const outcome::token_usage& usage)
{
    return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens },
        { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens } } } };
}

class writer_base : public completion_writer {
public:
    writer_base(const completion_request& request, node::exchange_ptr exchange)
        : m_exchange(std::move(exchange))
        , m_isChat(request.isChat)
        , m_format(request.isChat ? chatFormat : textFormat)
        , m_model(request.model)
        , m_requestId(request.caller.requestId)
        , m_created(std::chrono::duration_cast<std::chrono::seconds>(
              std::chrono::system_clock::now().time_since_epoch())
                        .count())
    {
    }

    bool isOpen() const override { return m_exchange->isOpen(); }

protected:
    json envelope(std::string_view object, json choice) const
    {
        choice["index"] = 0;
        return { { "id", std::string(m_format.idPrefix) + m_requestId }, { "object", object },
            { "created", m_created }, { "model", m_model },
            { "choices", json::array({ std::move(choice) }) } };
    }

    net::http_headers headers(std::string contentType) const
    {
        return { { "Content-Type", std::move(contentType) }, { "X-Request-Id", m_requestId } };
    }

    node::exchange_ptr m_exchange;
    bool m_isChat;
    response_format m_format;
    std::string m_model;
    std::string m_requestId;
    std::int64_t m_created;
};

/// Buffers the complete response before writing, so that an error can set the HTTP status.
class buffered_writer final : public writer_base {
public:
    using writer_base::writer_base;

    void writeChunk(const outcome::answer_chunk& chunk, const std::string&) override
    {
        m_text += chunk.text;
        if (!chunk.end)
            return;
        json choice = m_isChat ? json { { "message", { { "role", "assistant" }, { "content", m_text } } } }
                               : json { { "text", m_text } };
        choice["finish_reason"] = outcome::nameOf(chunk.end->reason);
        json body = envelope(m_format.completeObject, std::move(choice));
        body["usage"] = usageOf(chunk.end->usage);
        m_exchange->reply({ .headers = headers("application/json"), .body = body.dump() });
    }

    void fail(const base::error& problem) override
    {
        node::replyError(m_exchange, problem, { { "X-Request-Id", m_requestId } });
    }

private:
    std::string m_text;
};

/// Writes each chunk as a server-sent event when it arrives.
class stream_writer final : public writer_base {
public:
    using writer_base::writer_base;

    void writeChunk(const outcome::answer_chunk& chunk, const std::string& eventId) override
    {
        if (m_exchange->pendingBytes() > maxPendingBytes)
            return m_exchange->abort();
        startIfNeeded();
        json choice = m_isChat ? json { { "delta", { { "content", chunk.text } } } }
                               : json { { "text", chunk.text } };
        choice["finish_reason"] = nullptr;
        if (chunk.end)
            choice["finish_reason"] = outcome::nameOf(chunk.end->reason);
        json body = envelope(m_format.chunkObject, std::move(choice));
        if (chunk.end)
            body["usage"] = usageOf(chunk.end->usage);
        m_exchange->write(net::encodeEvent(body.dump(), eventId));
        if (!chunk.end)
            return;
        m_exchange->write(net::encodeEvent("[DONE]"));
        m_exchange->endStream();
    }

    void fail(const base::error& problem) override
    {
        if (!m_hasStarted)
            return node::replyError(m_exchange, problem, { { "X-Request-Id", m_requestId } });
        m_exchange->write(net::encodeEvent(protocol::encodeError(problem), {}, "error"));
        m_exchange->endStream();
    }

private:
    void startIfNeeded()
    {
        if (m_hasStarted)
            return;
        m_hasStarted = true;
        m_exchange->startStream(200, headers("text/event-stream"));
    }

    bool m_hasStarted = false;
};

} // namespace

std::unique_ptr<completion_writer> makeCompletionWriter(
    const completion_request& request, node::exchange_ptr exchange)
{
    if (request.isStream)
        return std::make_unique<stream_writer>(request, std::move(exchange));
    return std::make_unique<buffered_writer>(request, std::move(exchange));
}

} // namespace marigold::entry
