#include "peer_link.h"

#include <nlohmann/json.hpp>

namespace marigold::node {

net::call_id peer_link::send(net::http_call call, net::http_client::callback done)
{
    const std::string_view path = std::string_view(call.target).substr(0, call.target.find('?'));
    call.headers.add(std::string(operate::message_auth::headerName),
        m_authenticator.signHttp(call.method, path, call.body, call.to.text()));
    return m_client.send(std::move(call), std::move(done));
}

exchange_handler peer_link::authenticated(exchange_handler handler)
{
    return [this, handler = std::move(handler)](const exchange_ptr& exchange) {
        const auto header = exchange->header(operate::message_auth::headerName).value_or("");
        if (const auto verified = m_authenticator.verifyHttp(
                exchange->method(), exchange->path(), exchange->body(), m_options.self, header);
            !verified)
            return replyError(exchange, verified.error());
        handler(exchange);
    };
}

void peer_link::call(const std::string& address, std::string_view method, std::string_view argument,
    std::function<void(base::result<std::string>)> done)
{
    const auto to = net::endpoint::parse(address);
    if (!to)
        return done(
            base::notRun(base::error_reason::InvalidRequest, "the address of the process is invalid"));
    net::http_call request { .to = *to,
        .method = "POST",
        .target = std::string(rpcPath),
        .body = net::encodeRpcRequest(method, argument),
        .timeout = m_options.rpcTimeout };
    m_configurationBytes += request.body.size();
    send(std::move(request), [this, done = std::move(done)](const base::result<net::http_response>& answer) {
        if (!answer)
            return done(tl::unexpected(answer.error()));
        m_configurationBytes += answer->body.size();
        if (answer->status != 200)
            return done(base::notRun(base::error_reason::Unavailable, "the process rejected the call"));
        done(net::decodeRpcResponse(answer->body));
    });
}

void peer_link::pull(const std::string& address, std::uint64_t knownVersion, bool wantsFullDocument,
    std::function<void(base::result<control::pull_answer>)> done)
{
    const nlohmann::json argument { { "have", knownVersion }, { "whole", wantsFullDocument } };
    call(address, "config.pull", argument.dump(),
        [done = std::move(done)](const base::result<std::string>& answer) {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            done(control::pull_answer::decode(*answer));
        });
}

base::result<std::string> peer_link::answerPull(
    const control::config_replica& replica, std::string_view argument)
{
    const auto value = nlohmann::json::parse(argument, nullptr, false);
    if (!value.is_object() || !value.contains("have") || !value["have"].is_number_unsigned())
        return base::notRun(base::error_reason::InvalidRequest, "the pull request is malformed", "have");
    const bool wantsFullDocument
        = value.contains("whole") && value["whole"].is_boolean() && value["whole"].get<bool>();
    return replica.answerPull(value["have"].get<std::uint64_t>(), wantsFullDocument).encode();
}

} // namespace marigold::node
