#include "engine_service.h"

#include "engine_run.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::standin {

namespace {

constexpr auto endedRunRetention = std::chrono::seconds(60);

std::int64_t parseNumber(const std::optional<std::string>& text)
{
    std::int64_t value = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

struct published_event {
    std::uint64_t sequence;
    base::time_point visible;
    engine_cache::event change;
};

} // namespace

std::string engineToken(std::string_view prompt, std::string_view model, std::string_view version, int index)
{
    const std::uint64_t seed = base::hash64(prompt, base::hash64(model, base::hash64(version)));
    return fmt::format(" {:04x}", base::hash64(std::to_string(index), seed) & 0xffff);
}

struct engine_service::private_data {
    using exchange_ptr = std::shared_ptr<net::http_exchange>;
    using responder = standin_server::responder;
    using handler = void (private_data::*)(const net::http_exchange&, const responder&);

    net::event_loop& loop;
    standin_server& server;
    options opts;
    engine_cache cache;
    net::http_client client;
    base::random_source random;
    base::system_clock clock;
    std::string version;
    std::string role = "serve";
    std::vector<std::string> adapters;
    bool loading = false;
    std::uint64_t loadingId = 0;
    std::uint64_t highestToken = 0;
    int tokensSinceCold = 0;
    std::uint64_t nextOrder = 1;
    std::unordered_map<std::string, std::unique_ptr<engine_run>> runs;
    std::deque<published_event> events;
    std::uint64_t eventSequence = 0;
    nlohmann::json lastReport = nlohmann::json::object();

    bool isCold() const { return tokensSinceCold < opts.warmUpTokens; }
    std::vector<engine_run*> active() const;

    void add(const char* method, const char* path, handler function);
    void complete(const exchange_ptr& exchange, const fault_rule& fault);
    void resume(const exchange_ptr& exchange, const fault_rule& fault);
    void cancel(const net::http_exchange& exchange, const responder& respond);
    void state(const net::http_exchange& exchange, const responder& respond);
    void listEvents(const net::http_exchange& exchange, const responder& respond);
    void exportBlock(const net::http_exchange& exchange, const responder& respond);
    void importBlock(const net::http_exchange& exchange, const responder& respond);
    void chain(const net::http_exchange& exchange, const responder& respond);
    void order(const net::http_exchange& exchange, const responder& respond);
    void cancelLoading(const net::http_exchange& exchange, const responder& respond);
    void makeCold(const net::http_exchange& exchange, const responder& respond);

    void tick();
    void startQueued();
    void prefill(const std::vector<engine_run*>& running);
    void decode(const std::vector<engine_run*>& running);
    void finish(engine_run& run);
    void deliver(engine_run& run);
    void overload();
    void publish();
    void updateReport();
    void loadVersion(const std::string& requestedVersion, const responder& respond);
    void attach(engine_run& run, const exchange_ptr& exchange, const fault_rule& fault, int from);
};

void engine_service::private_data::add(const char* method, const char* path, handler function)
{
    server.route(method, path, [this, function](const exchange_ptr& exchange, const responder& respond) {
        try {
            (this->*function)(*exchange, respond);
        } catch (const nlohmann::json::exception& problem) {
            respond(errorResponse(400, problem.what()));
        }
    });
}

std::vector<engine_run*> engine_service::private_data::active() const
{
    std::vector<engine_run*> found;
    for (const auto& [id, run] : runs)
        if (!run->isDone && !run->version.empty())
            found.push_back(run.get());
    std::sort(found.begin(), found.end(), [](const engine_run* a, const engine_run* b) {
        return std::pair(-a->priority, a->order) < std::pair(-b->priority, b->order);
    });
    return found;
}

void engine_service::private_data::complete(const exchange_ptr& exchange, const fault_rule& fault)
{
    auto run = std::make_unique<engine_run>();
    try {
        const auto body = nlohmann::json::parse(exchange->body());
        run->requestId = body.at("request_id").get<std::string>();
        run->prompt = body.at("prompt").get<std::string>();
        run->salt = body.value("cache_salt", "");
        run->priority = body.value("priority", 0);
        run->maxTokens = std::max(1, body.value("max_tokens", 16));
        if (body.value("model", opts.model) != opts.model)
            return exchange->reply(errorResponse(404, "unknown model"));
        const std::string requestedVersion = body.value("version", "");
        if (!requestedVersion.empty() && requestedVersion != version)
            return exchange->reply(errorResponse(409, "another weight version is loaded"));
    } catch (const nlohmann::json::exception& problem) {
        return exchange->reply(errorResponse(400, problem.what()));
    }
    if (runs.contains(run->requestId))
        return exchange->reply(errorResponse(409, "the request id is already in use"));
    ++server.counter("runs_started");
    run->order = nextOrder++;
    run->blocks = cache.chain(run->salt, run->prompt);
    engine_run& started = *run;
    runs.emplace(run->requestId, std::move(run));
    attach(started, exchange, fault, 0);
    if (!loading)
        startQueued();
}

void engine_service::private_data::attach(
    engine_run& run, const exchange_ptr& exchange, const fault_rule& fault, int from)
{
    run.listener = exchange;
    run.delivered = std::max(0, from);
    run.chunksUntilCut = fault.kind == fault_kind::CutAnswer ? fault.after
        : fault.kind == fault_kind::LostAnswer               ? 0
                                                             : -1;
    exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
    deliver(run);
}

void engine_service::private_data::resume(const exchange_ptr& exchange, const fault_rule& fault)
{
    const auto found = runs.find(exchange->query("request_id").value_or(""));
    if (found == runs.end())
        return exchange->reply(errorResponse(404, "no such run"));
    if (found->second->wasCancelled)
        return exchange->reply(errorResponse(410, "the run was cancelled"));
    ++server.counter("runs_resumed");
    attach(*found->second, exchange, fault, static_cast<int>(parseNumber(exchange->query("from"))));
}

void engine_service::private_data::cancel(const net::http_exchange& exchange, const responder& respond)
{
    const auto found = runs.find(nlohmann::json::parse(exchange.body()).at("request_id").get<std::string>());
    if (found == runs.end())
        return respond(errorResponse(404, "no such run"));
    engine_run& run = *found->second;
    if (!run.isDone) {
        ++server.counter("runs_cancelled");
        run.isDone = true;
        run.wasCancelled = true;
        run.ended = clock.now();
        if (run.listener)
            run.listener->abort();
    }
    respond(jsonResponse(200, "{}"));
}

void engine_service::private_data::deliver(engine_run& run)
{
    if (!run.listener || !run.listener->isOpen())
        return;
    while (run.delivered < static_cast<int>(run.tokens.size())) {
        if (run.chunksUntilCut == 0)
            return run.listener->abort();
        if (run.chunksUntilCut > 0)
            --run.chunksUntilCut;
        const auto index = run.delivered++;
        run.listener->write(net::encodeEvent(
            nlohmann::json { { "index", index }, { "text", run.tokens[static_cast<std::size_t>(index)] } }
                .dump()));
    }
    if (!run.isDone || run.wasCancelled)
        return;
    if (run.chunksUntilCut >= 0)
        return run.listener->abort();
    const auto blockBytes = cache.limits().blockBytes;
    constexpr std::size_t bytesPerToken = 4;
    const nlohmann::json usage { { "prompt_tokens", run.prompt.size() / bytesPerToken },
        { "completion_tokens", run.tokens.size() },
        { "cached_tokens", run.cachedBlocks * blockBytes / bytesPerToken } };
    run.listener->write(net::encodeEvent(nlohmann::json { { "done", true }, { "finish_reason", "length" },
        { "usage", usage }, { "version", run.version },
        { "blocks", run.blocks } }.dump()));
    run.listener->endStream();
}

void engine_service::private_data::startQueued()
{
    auto running = static_cast<int>(active().size());
    std::vector<engine_run*> queued;
    for (const auto& [id, run] : runs)
        if (!run->isDone && run->version.empty())
            queued.push_back(run.get());
    std::sort(queued.begin(), queued.end(), [](const engine_run* a, const engine_run* b) {
        return std::pair(-a->priority, a->order) < std::pair(-b->priority, b->order);
    });
    for (engine_run* run : queued) {
        if (running >= opts.slots)
            break;
        run->version = version;
        run->cachedBlocks = cache.lookUp(run->blocks);
        run->isCorrupt = !cache.verify(run->blocks, run->cachedBlocks, version);
        if (run->isCorrupt)
            ++server.counter("corrupt_context");
        run->remainingPrefillBytes
            = static_cast<double>(run->prompt.size() - run->cachedBlocks * cache.limits().blockBytes);
        server.counter("prompt_bytes") += static_cast<std::int64_t>(run->prompt.size());
        server.counter("recomputed_bytes") += static_cast<std::int64_t>(run->remainingPrefillBytes);
        ++running;
    }
    if (isCold() && running > opts.coldBound)
        overload();
}

void engine_service::private_data::overload()
{
    ++server.counter("cold_overloads");
    tokensSinceCold = 0;
    for (engine_run* run : active()) {
        run->isDone = true;
        run->wasCancelled = true;
        run->ended = clock.now();
        if (run->listener)
            run->listener->abort();
    }
}

void engine_service::private_data::prefill(const std::vector<engine_run*>& running)
{
    const double seconds = std::chrono::duration<double>(opts.tokenTime).count();
    // A cold engine runs the same steps, but each takes longer (see `tick`).
    double budget = opts.prefillBytesPerSecond * seconds;
    for (engine_run* run : running) {
        if (run->isPrefilled)
            continue;
        const double used = std::min(budget, run->remainingPrefillBytes);
        run->remainingPrefillBytes -= used;
        budget -= used;
        if (run->remainingPrefillBytes > 0)
            return;
        run->isPrefilled = true;
        for (std::size_t i = run->cachedBlocks; i < run->blocks.size(); ++i)
            cache.insertComputed(run->blocks[i], run->version);
    }
}

void engine_service::private_data::decode(const std::vector<engine_run*>& running)
{
    for (engine_run* run : running) {
        if (!run->isPrefilled)
            continue;
        const int index = run->decoded++;
        run->tokens.push_back(
            run->isCorrupt ? " CORRUPT" : engineToken(run->prompt, opts.model, run->version, index));
        ++tokensSinceCold;
        ++server.counter("tokens");
        if (run->decoded >= run->maxTokens) {
            run->isDone = true;
            run->ended = clock.now();
            ++server.counter("runs_finished");
        }
        deliver(*run);
    }
}

void engine_service::private_data::tick()
{
    const auto interval = isCold()
        ? std::chrono::duration_cast<base::duration>(opts.tokenTime * opts.coldSlowdownFactor)
        : opts.tokenTime;
    loop.runAfter(interval, [this] { tick(); });
    const auto running = active();
    prefill(running);
    decode(running);
    if (!loading)
        startQueued();
    publish();
    std::erase_if(runs, [&](const auto& entry) {
        return entry.second->isDone && entry.second->ended + endedRunRetention < clock.now();
    });
}

void engine_service::private_data::publish()
{
    constexpr std::size_t maxEvents = 4096;
    for (auto& change : cache.takeEvents()) {
        ++eventSequence;
        if (random.uniform() < opts.eventGapProbability)
            continue;
        events.push_back({ .sequence = eventSequence,
            .visible = clock.now() + opts.eventLag,
            .change = std::move(change) });
    }
    while (events.size() > maxEvents)
        events.pop_front();
}

void engine_service::private_data::updateReport()
{
    int queued = 0;
    for (const auto& [id, run] : runs)
        queued += !run->isDone && run->version.empty();
    lastReport = { { "model", opts.model }, { "version", version }, { "role", role },
        { "adapters", adapters }, { "loading", loading }, { "checks_fencing", opts.checksFencing },
        { "highest_token", highestToken }, { "running", active().size() }, { "queued", queued },
        { "slots", opts.slots }, { "block_bytes", cache.limits().blockBytes },
        { "prefill_bytes_per_second", opts.prefillBytesPerSecond } };
}

void engine_service::private_data::state(const net::http_exchange&, const responder& respond)
{
    // Load values lag; values changed by an order are current.
    lastReport["version"] = version;
    lastReport["loading"] = loading;
    lastReport["role"] = role;
    lastReport["adapters"] = adapters;
    lastReport["highest_token"] = highestToken;
    respond(jsonResponse(200, lastReport.dump()));
}

void engine_service::private_data::listEvents(const net::http_exchange& exchange, const responder& respond)
{
    const auto after = static_cast<std::uint64_t>(parseNumber(exchange.query("after")));
    nlohmann::json list = nlohmann::json::array();
    for (const auto& event : events)
        if (event.sequence > after && event.visible <= clock.now())
            list.push_back({ { "sequence", event.sequence },
                { "kind", event.change.stored ? "stored" : "removed" }, { "block", event.change.block } });
    respond(jsonResponse(200, nlohmann::json { { "events", list } }.dump()));
}

void engine_service::private_data::exportBlock(const net::http_exchange& exchange, const responder& respond)
{
    auto content = cache.content(exchange.query("block").value_or(""));
    if (!content)
        return respond(errorResponse(404, "no such block"));
    ++server.counter("blocks_exported");
    respond({ .status = 200,
        .headers = { { "Content-Type", "application/octet-stream" } },
        .body = std::move(*content) });
}

void engine_service::private_data::importBlock(const net::http_exchange& exchange, const responder& respond)
{
    ++server.counter("blocks_imported");
    cache.insertImported(exchange.query("block").value_or(""), std::string(exchange.body()));
    respond(jsonResponse(200, "{}"));
}

void engine_service::private_data::chain(const net::http_exchange& exchange, const responder& respond)
{
    const auto body = nlohmann::json::parse(exchange.body());
    const auto names
        = cache.chain(body.at("cache_salt").get<std::string>(), body.at("prompt").get<std::string>());
    respond(
        jsonResponse(200, nlohmann::json { { "blocks", names }, { "held", cache.lookUp(names) } }.dump()));
}

void engine_service::private_data::order(const net::http_exchange& exchange, const responder& respond)
{
    const auto body = nlohmann::json::parse(exchange.body());
    const auto token = body.value("fencing_token", std::uint64_t { 0 });
    const auto kind = body.at("kind").get<std::string>();
    const auto value = body.at("value").get<std::string>();
    if (token < highestToken) {
        ++server.counter(opts.checksFencing ? "stale_orders_refused" : "stale_orders_obeyed");
        if (opts.checksFencing)
            return respond(
                errorResponse(409, fmt::format("fencing token {} is below {}", token, highestToken)));
    }
    highestToken = std::max(highestToken, token);
    ++server.counter("orders");
    if (kind == "change_role") {
        role = value;
        return respond(jsonResponse(200, "{}"));
    }
    if (kind == "load_adapter") {
        if (std::find(adapters.begin(), adapters.end(), value) == adapters.end())
            adapters.push_back(value);
        return respond(jsonResponse(200, "{}"));
    }
    loadVersion(value, respond);
}

void engine_service::private_data::loadVersion(const std::string& requestedVersion, const responder& respond)
{
    if (requestedVersion == version && !loading)
        return respond(jsonResponse(200, "{}"));
    if (loading)
        return respond(errorResponse(409, "weights are being loaded"));
    loading = true;
    const std::uint64_t id = ++loadingId;
    const auto loaded = [this, id, requestedVersion, respond](bool ok) {
        if (id != loadingId || !loading)
            return respond(errorResponse(409, "the loading was cancelled"));
        loading = false;
        if (!ok)
            return respond(errorResponse(502, "the weight store did not reply"));
        version = requestedVersion;
        cache.clear();
        tokensSinceCold = 0;
        ++server.counter("versions_loaded");
        respond(jsonResponse(200, "{}"));
    };
    if (!opts.weightStore) {
        constexpr auto loadTime = std::chrono::milliseconds(333);
        loop.runAfter(loadTime, [loaded] { loaded(true); });
        return;
    }
    client.send({ .to = *opts.weightStore,
                    .target = fmt::format("/weights/{}/{}", opts.model, requestedVersion),
                    .timeout = std::chrono::seconds(60) },
        [loaded](
            const base::result<net::http_response>& answer) { loaded(answer && answer->status == 200); });
}

void engine_service::private_data::cancelLoading(const net::http_exchange&, const responder& respond)
{
    loading = false;
    ++loadingId;
    respond(jsonResponse(200, "{}"));
}

void engine_service::private_data::makeCold(const net::http_exchange&, const responder& respond)
{
    tokensSinceCold = 0;
    cache.clear();
    respond(jsonResponse(200, "{}"));
}

engine_service::engine_service(net::event_loop& loop, standin_server& server, options opts)
    : d(new private_data { .loop = loop,
        .server = server,
        .opts = opts,
        .cache = engine_cache(opts.cache),
        .client = net::http_client(loop),
        .random = base::random_source(opts.seed),
        .clock = {},
        .version = opts.version,
        .adapters = {},
        .runs = {},
        .events = {} })
{
    using route = private_data;
    server.routeStream("POST", "/v1/completions",
        [this](const auto& exchange, const fault_rule& fault) { d->complete(exchange, fault); });
    server.routeStream("GET", "/engine/resume",
        [this](const auto& exchange, const fault_rule& fault) { d->resume(exchange, fault); });
    d->add("POST", "/engine/cancel", &route::cancel);
    d->add("GET", "/engine/state", &route::state);
    d->add("GET", "/engine/events", &route::listEvents);
    d->add("GET", "/engine/export", &route::exportBlock);
    d->add("PUT", "/engine/import", &route::importBlock);
    d->add("POST", "/engine/chain", &route::chain);
    d->add("POST", "/engine/orders", &route::order);
    d->add("POST", "/engine/cancel_loading", &route::cancelLoading);
    d->add("POST", "/standin/cold", &route::makeCold);
    d->updateReport();
    loop.runEvery(opts.loadReportLag, [this] { d->updateReport(); });
    d->tick();
}

engine_service::~engine_service() = default;

} // namespace marigold::standin
