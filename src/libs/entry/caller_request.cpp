#include "caller_request.h"

#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

using nlohmann::json;

constexpr int maxTokensLimit = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 24 * 3600 * 1000;
constexpr std::size_t maxMessages = 10'000;

tl::unexpected<base::error> invalid(std::string message, std::string field)
{
    return base::notRun(base::error_reason::InvalidRequest, std::move(message), std::move(field));
}

base::result<std::string> textField(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string())
        return invalid(fmt::format("{} must be a string", name), name);
    return found->get<std::string>();
}

/// Joins chat messages into a prompt. The prompt of a conversation is a prefix of the prompt of its
/// continuation, so that cached context is found again.
base::result<std::string> joinMessages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty() || found->size() > maxMessages)
        return invalid("messages must be a non-empty list", "messages");
    std::string prompt;
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& message = (*found)[i];
        const std::string fieldPath = fmt::format("messages[{}]", i);
        if (!message.is_object())
            return invalid("each message must be an object", fieldPath);
        const auto role = textField(message, "role");
        if (!role)
            return invalid(role.error().message, fieldPath + ".role");
        const auto content = textField(message, "content");
        if (!content)
            return invalid(content.error().message, fieldPath + ".content");
        prompt += fmt::format("<|{}|>{}\n", *role, *content);
    }
    return prompt;
}

base::result<void> readParameters(const json& body, completion_request& request)
{
    if (const auto found = body.find("max_tokens"); found != body.end()) {
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > maxTokensLimit)
            return invalid(
                fmt::format("max_tokens must be an integer from 1 to {}", maxTokensLimit), "max_tokens");
        request.maxTokens = found->get<int>();
    }
    if (const auto found = body.find("temperature"); found != body.end()) {
        if (!found->is_number() || found->get<double>() < 0 || found->get<double>() > 2)
            return invalid("temperature must be a number from 0 to 2", "temperature");
        request.temperature = found->get<double>();
    }
    if (const auto found = body.find("stream"); found != body.end()) {
        if (!found->is_boolean())
            return invalid("stream must be true or false", "stream");
        request.isStream = found->get<bool>();
    }
    return {};
}

} // namespace

base::result<caller_context> parseContext(
    const net::http_exchange& exchange, base::time_point now, base::duration defaultDeadline)
{
    caller_context context { .arrival = now, .deadline = now + defaultDeadline };
    if (const auto header = exchange.header("X-Deadline-Ms")) {
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(header->data(), header->data() + header->size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != header->data() + header->size() || milliseconds < 1
            || milliseconds > maxDeadlineMs)
            return invalid(
                fmt::format("X-Deadline-Ms must be an integer from 1 to {}", maxDeadlineMs), "X-Deadline-Ms");
        context.deadline = now + std::chrono::milliseconds(milliseconds);
    }
    if (const auto header = exchange.header("X-Priority")) {
        constexpr std::array priorities { routing::priority::Interactive, routing::priority::Normal,
            routing::priority::Batch };
        bool isValid = false;
        for (const auto value : priorities) {
            if (routing::nameOf(value) != *header)
                continue;
            context.priority = value;
            isValid = true;
        }
        if (!isValid)
            return invalid("X-Priority must be interactive, normal or batch", "X-Priority");
    }
    return context;
}

base::result<completion_request> parseCompletion(const net::http_exchange& exchange, caller_context caller)
{
    const json body = json::parse(exchange.body(), nullptr, false);
    if (body.is_discarded())
        return invalid("the body is not valid JSON", "body");
    if (!body.is_object())
        return invalid("the body must be a JSON object", "body");
    completion_request request { .caller = std::move(caller),
        .isChat = exchange.path() == "/v1/chat/completions" };
    const auto model = textField(body, "model");
    if (!model)
        return tl::unexpected(model.error());
    // "MODEL:ADAPTER" selects an adapter, which is the usual notation of engines.
    const auto colon = model->find(':');
    request.model = model->substr(0, colon);
    if (colon != std::string::npos)
        request.adapter = model->substr(colon + 1);
    const auto prompt = request.isChat ? joinMessages(body) : textField(body, "prompt");
    if (!prompt)
        return tl::unexpected(prompt.error());
    request.prompt = *prompt;
    if (const auto parameters = readParameters(body, request); !parameters)
        return tl::unexpected(parameters.error());
    request.lastEventId = exchange.header("Last-Event-ID").value_or("");
    return request;
}

} // namespace marigold::entry
