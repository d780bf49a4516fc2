#include "completion_writer.h"

#include <protocol/protocol.h>

#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

using nlohmann::json;

/// A caller this far behind is cut off; it may continue with `Last-Event-ID`.
constexpr std::size_t maxPendingBytes = 4 << 20;

/// Names of the parts of an answer, which differ between the two kinds of completion.
struct answer_form {
    std::string_view idPrefix;
    std::string_view wholeObject;
    std::string_view pieceObject;
};

constexpr answer_form textForm { "cmpl-", "text_completion", "text_completion" };
constexpr answer_form chatForm { "chatcmpl-", "chat.completion", "chat.completion.chunk" };

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
        , m_form(request.isChat ? chatForm : textForm)
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
        return { { "id", std::string(m_form.idPrefix) + m_requestId }, { "object", object },
            { "created", m_created }, { "model", m_model },
            { "choices", json::array({ std::move(choice) }) } };
    }

    net::http_headers headers(std::string contentType) const
    {
        return { { "Content-Type", std::move(contentType) }, { "X-Request-Id", m_requestId } };
    }

    node::exchange_ptr m_exchange;
    bool m_isChat;
    answer_form m_form;
    std::string m_model;
    std::string m_requestId;
    std::int64_t m_created;
};

/// Collects the whole answer before it writes anything, so that an error has a status of its own.
class whole_writer final : public writer_base {
public:
    using writer_base::writer_base;

    void piece(const outcome::answer_piece& next, const std::string&) override
    {
        m_text += next.text;
        if (!next.end)
            return;
        json choice = m_isChat ? json { { "message", { { "role", "assistant" }, { "content", m_text } } } }
                               : json { { "text", m_text } };
        choice["finish_reason"] = outcome::nameOf(next.end->reason);
        json body = envelope(m_form.wholeObject, std::move(choice));
        body["usage"] = usageOf(next.end->usage);
        m_exchange->reply({ .headers = headers("application/json"), .body = body.dump() });
    }

    void failed(const base::error& problem) override
    {
        node::replyError(m_exchange, problem, { { "X-Request-Id", m_requestId } });
    }

private:
    std::string m_text;
};

/// Writes server-sent events as they come.
class stream_writer final : public writer_base {
public:
    using writer_base::writer_base;

    void piece(const outcome::answer_piece& next, const std::string& eventId) override
    {
        if (m_exchange->pendingBytes() > maxPendingBytes)
            return m_exchange->abort();
        start();
        json choice
            = m_isChat ? json { { "delta", { { "content", next.text } } } } : json { { "text", next.text } };
        choice["finish_reason"] = nullptr;
        if (next.end)
            choice["finish_reason"] = outcome::nameOf(next.end->reason);
        json body = envelope(m_form.pieceObject, std::move(choice));
        if (next.end)
            body["usage"] = usageOf(next.end->usage);
        m_exchange->write(net::encodeEvent(body.dump(), eventId));
        if (!next.end)
            return;
        m_exchange->write(net::encodeEvent("[DONE]"));
        m_exchange->endStream();
    }

    void failed(const base::error& problem) override
    {
        if (!m_started)
            return node::replyError(m_exchange, problem, { { "X-Request-Id", m_requestId } });
        m_exchange->write(net::encodeEvent(protocol::encodeError(problem), {}, "error"));
        m_exchange->endStream();
    }

private:
    void start()
    {
        if (m_started)
            return;
        m_started = true;
        m_exchange->startStream(200, headers("text/event-stream"));
    }

    bool m_started = false;
};

} // namespace

std::unique_ptr<completion_writer> makeCompletionWriter(
    const completion_request& request, node::exchange_ptr exchange)
{
    if (request.isStream)
        return std::make_unique<stream_writer>(request, std::move(exchange));
    return std::make_unique<whole_writer>(request, std::move(exchange));
}

} // namespace marigold::entry
