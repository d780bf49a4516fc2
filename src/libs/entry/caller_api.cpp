#include "caller_api.h"

#include "completion_session.h"
#include "service_session.h"

#include <nlohmann/json.hpp>

namespace marigold::entry {

void caller_api::addRoutes(node::http_router& router)
{
    router.add("POST", "/v1/completions", [this](const auto& exchange) { complete(exchange); });
    router.add("POST", "/v1/chat/completions", [this](const auto& exchange) { complete(exchange); });
    router.add("GET", "/v1/models", [this](const auto& exchange) { listModels(exchange); });
    router.add("*", "/services/", [this](const auto& exchange) { callService(exchange); });
}

base::result<caller_context> caller_api::identify(const net::http_exchange& exchange)
{
    auto team = m_services.node.access().team(exchange.header("Authorization").value_or(""));
    if (!team)
        return tl::unexpected(team.error());
    auto context = parseContext(exchange, m_services.node.clock().now(), m_services.settings.defaultDeadline);
    if (!context)
        return context;
    context->team = std::move(*team);
    context->requestId = base::toHex(outcome::randomId(m_services.node.random()));
    return context;
}

void caller_api::complete(const node::exchange_ptr& exchange)
{
    auto caller = identify(*exchange);
    if (!caller)
        return node::replyError(exchange, caller.error());
    auto request = parseCompletion(*exchange, std::move(*caller));
    if (!request)
        return node::replyError(exchange, request.error());
    std::make_shared<completion_session>(m_services, std::move(*request), exchange)->start();
}

void caller_api::callService(const node::exchange_ptr& exchange)
{
    auto caller = identify(*exchange);
    if (!caller)
        return node::replyError(exchange, caller.error());
    std::make_shared<service_session>(m_services, std::move(*caller), exchange)->start();
}

void caller_api::listModels(const node::exchange_ptr& exchange)
{
    if (const auto caller = identify(*exchange); !caller)
        return node::replyError(exchange, caller.error());
    nlohmann::json list = nlohmann::json::array();
    if (const auto* current = m_services.node.config().current())
        for (const auto& [name, model] : current->document.content().models)
            list.push_back({ { "id", name }, { "object", "model" } });
    node::replyJson(exchange, 200, nlohmann::json { { "object", "list" }, { "data", list } }.dump());
}

} // namespace marigold::entry
