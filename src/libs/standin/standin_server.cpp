#include "standin_server.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace marigold::standin {

namespace {

constexpr std::array<std::pair<std::string_view, fault_kind>, 7> faultNames { {
    { "unavailable", fault_kind::Unavailable },
    { "lost_request", fault_kind::LostRequest },
    { "lost_answer", fault_kind::LostAnswer },
    { "delay", fault_kind::Delay },
    { "freeze", fault_kind::Freeze },
    { "duplicate", fault_kind::Duplicate },
    { "cut_answer", fault_kind::CutAnswer },
} };

std::vector<fault_rule> parseFaults(std::string_view text)
{
    std::vector<fault_rule> rules;
    for (const auto& item : nlohmann::json::parse(text)) {
        fault_rule rule;
        rule.match = item.value("match", "/");
        rule.remaining = item.value("count", -1);
        rule.probability = item.value("probability", 1.0);
        rule.delay = std::chrono::milliseconds(item.value("delay_ms", 0));
        rule.after = item.value("after", 1);
        const auto kind = item.at("kind").get<std::string>();
        const auto* found = std::find_if(
            faultNames.begin(), faultNames.end(), [&](const auto& entry) { return entry.first == kind; });
        if (found == faultNames.end())
            throw std::invalid_argument("unknown fault kind");
        rule.kind = found->second;
        rules.push_back(rule);
    }
    return rules;
}

} // namespace

net::http_response jsonResponse(int status, std::string body)
{
    return {
        .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(body)
    };
}

net::http_response errorResponse(int status, std::string_view message)
{
    return jsonResponse(status, nlohmann::json { { "error", message } }.dump());
}

struct standin_server::private_data {
    struct route_entry {
        std::string method;
        std::string prefix;
        route_handler handler;
        stream_handler stream;
    };

    net::event_loop& loop;
    options opts;
    base::random_source random;
    std::unique_ptr<net::http_server> server;
    std::vector<route_entry> routes;
    std::vector<fault_rule> faults;
    std::map<std::string, std::int64_t, std::less<>> counters;

    void handle(const std::shared_ptr<net::http_exchange>& exchange);
    bool handleControl(const std::shared_ptr<net::http_exchange>& exchange);
    const route_entry* find(const net::http_exchange& exchange) const;
    fault_rule nextFault(std::string_view path);
    void applyFault(const std::shared_ptr<net::http_exchange>& exchange, const route_entry& entry,
        const fault_rule& fault);
};

bool standin_server::private_data::handleControl(const std::shared_ptr<net::http_exchange>& exchange)
{
    if (exchange->path() == "/standin/counters") {
        exchange->reply(jsonResponse(200, nlohmann::json(counters).dump()));
        return true;
    }
    if (exchange->path() != "/standin/faults")
        return false;
    try {
        faults = exchange->method() == "DELETE" ? std::vector<fault_rule>() : parseFaults(exchange->body());
        exchange->reply(jsonResponse(200, "{}"));
    } catch (const std::exception& problem) {
        exchange->reply(errorResponse(400, problem.what()));
    }
    return true;
}

const standin_server::private_data::route_entry* standin_server::private_data::find(
    const net::http_exchange& exchange) const
{
    const route_entry* best = nullptr;
    for (const auto& entry : routes)
        if (entry.method == exchange.method() && exchange.path().starts_with(entry.prefix)
            && (!best || entry.prefix.size() > best->prefix.size()))
            best = &entry;
    return best;
}

fault_rule standin_server::private_data::nextFault(std::string_view path)
{
    for (auto& rule : faults) {
        if (!path.starts_with(rule.match) || rule.remaining == 0 || random.uniform() >= rule.probability)
            continue;
        if (rule.remaining > 0)
            --rule.remaining;
        return rule;
    }
    return {};
}

void standin_server::private_data::handle(const std::shared_ptr<net::http_exchange>& exchange)
{
    if (handleControl(exchange))
        return;
    const route_entry* entry = find(*exchange);
    if (!entry)
        return exchange->reply(errorResponse(404, "no such path"));
    applyFault(exchange, *entry, nextFault(exchange->path()));
}

void standin_server::private_data::applyFault(
    const std::shared_ptr<net::http_exchange>& exchange, const route_entry& entry, const fault_rule& fault)
{
    if (fault.kind == fault_kind::Unavailable)
        return exchange->reply(errorResponse(503, "unavailable"));
    if (fault.kind == fault_kind::LostRequest)
        return exchange->abort();
    if (fault.kind == fault_kind::Freeze) {
        constexpr auto holdTime = std::chrono::minutes(10);
        loop.runAfter(holdTime, [exchange] { exchange->abort(); });
        return;
    }
    if (entry.stream)
        return entry.stream(exchange, fault);
    if (fault.kind == fault_kind::Duplicate)
        entry.handler(exchange, [](const net::http_response&) {});
    entry.handler(exchange, [this, exchange, fault](net::http_response response) {
        if (fault.kind == fault_kind::LostAnswer || fault.kind == fault_kind::CutAnswer)
            return exchange->abort();
        if (fault.kind == fault_kind::Delay) {
            loop.runAfter(fault.delay, [exchange, response] { exchange->reply(response); });
            return;
        }
        exchange->reply(response);
    });
}

standin_server::standin_server(net::event_loop& loop, options opts)
    : d(new private_data { .loop = loop,
        .opts = opts,
        .random = base::random_source(opts.seed),
        .server = {},
        .routes = {},
        .faults = {},
        .counters = {} })
{
    d->server = std::make_unique<net::http_server>(loop,
        net::http_server::options { .address = opts.address, .port = opts.port },
        [this](const auto& exchange) { d->handle(exchange); });
}

standin_server::~standin_server() = default;

base::result<void> standin_server::listen()
{
    return d->server->listen();
}

std::uint16_t standin_server::port() const
{
    return d->server->port();
}

void standin_server::route(std::string method, std::string prefix, route_handler handler)
{
    d->routes.push_back({ std::move(method), std::move(prefix), std::move(handler), {} });
}

void standin_server::routeStream(std::string method, std::string prefix, stream_handler handler)
{
    d->routes.push_back({ std::move(method), std::move(prefix), {}, std::move(handler) });
}

std::int64_t& standin_server::counter(std::string_view name)
{
    const auto found = d->counters.find(name);
    if (found != d->counters.end())
        return found->second;
    return d->counters[std::string(name)];
}

} // namespace marigold::standin
