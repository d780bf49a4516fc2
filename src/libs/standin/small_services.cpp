#include "small_services.h"

#include <nlohmann/json.hpp>

namespace marigold::standin {

plain_service::plain_service(net::event_loop& loop, standin_server& server, options opts)
    : m_loop(loop)
    , m_server(server)
    , m_options(opts)
{
    server.route("POST", "/orders", [this](const auto& exchange, const standin_server::responder& respond) {
        const auto body = nlohmann::json::parse(exchange->body(), nullptr, false);
        if (!body.is_object() || !body.contains("order_id") || !body["order_id"].is_string())
            return respond(errorResponse(400, "order_id is missing"));
        const auto id = body["order_id"].template get<std::string>();
        const int count = ++m_executions[id];
        ++m_server.counter("orders_run");
        if (count > 1)
            ++m_server.counter("orders_run_twice");
        m_loop.runAfter(m_options.serviceTime, [respond, id] {
            respond(
                jsonResponse(201, nlohmann::json { { "order_id", id }, { "status", "accepted" } }.dump()));
        });
    });
    server.route("GET", "/orders/", [this](const auto& exchange, const standin_server::responder& respond) {
        constexpr std::string_view prefix = "/orders/";
        const std::string id(exchange->path().substr(prefix.size()));
        ++m_server.counter("lookups");
        const bool exists = m_executions.contains(id);
        m_loop.runAfter(m_options.serviceTime, [respond, id, exists] {
            respond(jsonResponse(exists ? 200 : 404,
                nlohmann::json { { "order_id", id }, { "status", exists ? "accepted" : "unknown" } }.dump()));
        });
    });
    server.route("GET", "/standin/executions", [this](const auto&, const standin_server::responder& respond) {
        respond(jsonResponse(200, nlohmann::json(m_executions).dump()));
    });
}

weight_store::weight_store(net::event_loop& loop, standin_server& server, options opts)
    : m_loop(loop)
    , m_server(server)
    , m_options(opts)
{
    server.route("GET", "/weights/", [this](const auto&, const standin_server::responder& respond) {
        ++m_running;
        ++m_server.counter("loads");
        std::int64_t& peak = m_server.counter("peak_loads");
        peak = std::max<std::int64_t>(peak, m_running);
        const int excess = std::max(1, m_running - m_options.bound + 1);
        m_loop.runAfter(m_options.loadTime * excess, [this, respond] {
            --m_running;
            respond(jsonResponse(200, "{}"));
        });
    });
}

vm_list_service::vm_list_service(net::event_loop& loop, standin_server& server, options opts)
{
    server.route(
        "PUT", "/vms", [this, &loop, opts](const auto& exchange, const standin_server::responder& respond) {
            loop.runAfter(opts.lag, [this, body = std::string(exchange->body())] { m_visibleList = body; });
            respond(jsonResponse(200, "{}"));
        });
    server.route("GET", "/vms", [this](const auto&, const standin_server::responder& respond) {
        respond(jsonResponse(200, m_visibleList));
    });
}

} // namespace marigold::standin
