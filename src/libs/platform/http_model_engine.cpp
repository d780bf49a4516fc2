#include "http_model_engine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::platform {

namespace {

constexpr std::string_view kindNames[] { "load_model", "load_adapter", "load_version", "change_role" };

engine_state stateOf(const nlohmann::json& answer)
{
    return {
        .model = answer.at("model").get<std::string>(),
        .version = answer.at("version").get<std::string>(),
        .role = answer.value("role", ""),
        .adapters = answer.value("adapters", std::vector<std::string>()),
        .loading = answer.value("loading", false),
        .checksFencing = answer.value("checks_fencing", false),
        .highestToken = answer.value("highest_token", std::uint64_t { 0 }),
        .running = answer.value("running", 0),
        .queued = answer.value("queued", 0),
        .slots = answer.value("slots", 0),
    };
}

base::result<void> checkOrderResponse(const base::result<net::http_response>& answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status == 200)
        return {};
    const auto reason
        = answer->status == 409 ? base::error_reason::Conflict : base::error_reason::Unavailable;
    return base::notRun(
        reason, fmt::format("the engine replied to the order with status {}", answer->status));
}

} // namespace

void http_model_engine::state(callback<engine_state> done)
{
    m_client.send({ .to = m_options.engine, .target = "/engine/state", .timeout = m_options.stateTimeout },
        [done = std::move(done)](const base::result<net::http_response>& answer) {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            base::result<engine_state> outcome
                = base::notRun(base::error_reason::Unavailable, "the engine sent a malformed state");
            try {
                outcome = stateOf(nlohmann::json::parse(answer->body));
            } catch (const nlohmann::json::exception&) {
                // The outcome remains the error set above.
            }
            done(std::move(outcome));
        });
}

void http_model_engine::order(engine_order order, callback<void> done)
{
    const nlohmann::json body { { "kind", kindNames[static_cast<std::size_t>(order.kind)] },
        { "model", order.model }, { "value", order.value }, { "fencing_token", order.fencingToken } };
    m_client.send({ .to = m_options.engine,
                      .method = "POST",
                      .target = "/engine/orders",
                      .body = body.dump(),
                      .timeout = m_options.orderTimeout,
                      .freshConnection = true },
        [done = std::move(done)](
            const base::result<net::http_response>& answer) { done(checkOrderResponse(answer)); });
}

void http_model_engine::cancelLoading(callback<void> done)
{
    m_client.send({ .to = m_options.engine,
                      .method = "POST",
                      .target = "/engine/cancel_loading",
                      .timeout = m_options.stateTimeout },
        [done = std::move(done)](
            const base::result<net::http_response>& answer) { done(checkOrderResponse(answer)); });
}

} // namespace marigold::platform
