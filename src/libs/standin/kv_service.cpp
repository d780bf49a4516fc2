#include "kv_service.h"

#include <charconv>
#include <list>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::standin {

namespace {

constexpr std::size_t maxValueBytes = 1 << 20;

std::uint64_t parseNumber(const std::optional<std::string>& text)
{
    std::uint64_t value = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

struct stored_value {
    std::string value;
    std::uint64_t revision = 0;
};

struct lease_record {
    base::duration timeToLive {};
    base::time_point expiry {};
    std::vector<std::string> keys;
};

struct pending_watch {
    std::string prefix;
    std::uint64_t after = 0;
    base::time_point expiry {};
    standin_server::responder respond;
};

} // namespace

struct kv_service::private_data {
    using exchange_ptr = std::shared_ptr<net::http_exchange>;
    using handler = void (private_data::*)(const net::http_exchange&, const standin_server::responder&);

    net::event_loop& loop;
    standin_server& server;
    options opts;
    base::system_clock clock;
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, lease_record> leases;
    std::list<pending_watch> watches;
    std::uint64_t revision = 0;
    std::uint64_t lastLease = 0;
    std::int64_t readsThisSecond = 0;
    std::int64_t writesThisSecond = 0;

    void add(const char* method, const char* prefix, bool isWrite, handler function);
    bool admit(bool isWrite);
    void get(const net::http_exchange& exchange, const standin_server::responder& respond);
    void put(const net::http_exchange& exchange, const standin_server::responder& respond);
    void remove(const net::http_exchange& exchange, const standin_server::responder& respond);
    void range(const net::http_exchange& exchange, const standin_server::responder& respond);
    void watch(const net::http_exchange& exchange, const standin_server::responder& respond);
    void grantOrRenewLease(const net::http_exchange& exchange, const standin_server::responder& respond);
    void endLease(const net::http_exchange& exchange, const standin_server::responder& respond);
    void removeLease(std::uint64_t id);
    void expireLeasesAndWatches();
    void replyToWatches();
    bool replyToWatch(const pending_watch& entry, bool expired) const;
};

namespace {

constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view leasePrefix = "/v1/lease/";

nlohmann::json describe(const std::string& key, const stored_value& stored)
{
    return { { "key", key }, { "value", base::encodeBase64(stored.value) }, { "revision", stored.revision } };
}

} // namespace

void kv_service::private_data::add(const char* method, const char* prefix, bool isWrite, handler function)
{
    server.route(method, prefix,
        [this, isWrite, function](const exchange_ptr& exchange, const standin_server::responder& respond) {
            if (!admit(isWrite))
                return respond(errorResponse(429, "the rate limit of the service is exceeded"));
            try {
                (this->*function)(*exchange, [this, respond](const net::http_response& response) {
                    loop.runAfter(opts.answerTime, [respond, response] { respond(response); });
                });
            } catch (const nlohmann::json::exception& problem) {
                respond(errorResponse(400, problem.what()));
            }
        });
}

bool kv_service::private_data::admit(bool isWrite)
{
    ++server.counter(isWrite ? "writes" : "reads");
    std::int64_t& count = isWrite ? writesThisSecond : readsThisSecond;
    std::int64_t& peak = server.counter(isWrite ? "peak_writes_per_second" : "peak_reads_per_second");
    ++count;
    peak = std::max(peak, count);
    if (count <= (isWrite ? opts.writesPerSecond : opts.readsPerSecond))
        return true;
    ++server.counter("over_rate");
    return false;
}

void kv_service::private_data::get(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const std::string key(exchange.path().substr(keyPrefix.size()));
    const auto found = values.find(key);
    if (found == values.end())
        return respond(errorResponse(404, "no such key"));
    respond(jsonResponse(200, describe(key, found->second).dump()));
}

void kv_service::private_data::put(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const std::string key(exchange.path().substr(keyPrefix.size()));
    const auto body = nlohmann::json::parse(exchange.body());
    const auto value = base::decodeBase64(body.at("value").get<std::string>());
    if (!value)
        return respond(errorResponse(400, "the value is not base64"));
    if (value->size() > maxValueBytes)
        return respond(errorResponse(413, "the value exceeds 1 MB"));
    const auto found = values.find(key);
    const std::uint64_t current = found == values.end() ? 0 : found->second.revision;
    if (body.contains("expected_revision") && body["expected_revision"].get<std::uint64_t>() != current)
        return respond(errorResponse(409, "the revision does not match"));
    const std::uint64_t lease = body.value("lease", std::uint64_t { 0 });
    if (lease != 0) {
        const auto record = leases.find(lease);
        if (record == leases.end())
            return respond(errorResponse(404, "the lease has ended"));
        record->second.keys.push_back(key);
    }
    values[key] = { .value = *value, .revision = ++revision };
    replyToWatches();
    respond(jsonResponse(200, nlohmann::json { { "revision", revision } }.dump()));
}

void kv_service::private_data::remove(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const std::string key(exchange.path().substr(keyPrefix.size()));
    const auto found = values.find(key);
    if (found == values.end() || found->second.revision != parseNumber(exchange.query("expected_revision")))
        return respond(errorResponse(409, "the revision does not match"));
    values.erase(found);
    respond(jsonResponse(200, "{}"));
}

void kv_service::private_data::range(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const std::string prefix = exchange.query("prefix").value_or("");
    const std::string after = exchange.query("after").value_or("");
    const std::uint64_t limit = parseNumber(exchange.query("limit"));
    nlohmann::json entries = nlohmann::json::array();
    for (auto it = values.lower_bound(std::max(prefix, after)); it != values.end() && entries.size() < limit;
         ++it) {
        if (!it->first.starts_with(prefix))
            break;
        if (it->first > after)
            entries.push_back(describe(it->first, it->second));
    }
    respond(jsonResponse(200, nlohmann::json { { "entries", entries } }.dump()));
}

void kv_service::private_data::watch(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const auto wait = std::chrono::milliseconds(parseNumber(exchange.query("wait_ms")));
    watches.push_back({ .prefix = exchange.query("prefix").value_or(""),
        .after = parseNumber(exchange.query("after")),
        .expiry = clock.now() + wait,
        .respond = respond });
    std::int64_t& peak = server.counter("peak_waiting_watches");
    peak = std::max(peak, static_cast<std::int64_t>(watches.size()));
    replyToWatches();
}

bool kv_service::private_data::replyToWatch(const pending_watch& entry, bool expired) const
{
    std::map<std::uint64_t, nlohmann::json> changes;
    for (auto it = values.lower_bound(entry.prefix);
         it != values.end() && it->first.starts_with(entry.prefix); ++it)
        if (it->second.revision > entry.after)
            changes.emplace(it->second.revision, describe(it->first, it->second));
    if (changes.empty() && !expired)
        return false;
    nlohmann::json list = nlohmann::json::array();
    for (auto& [number, change] : changes)
        list.push_back(std::move(change));
    const std::uint64_t next = changes.empty() ? entry.after : changes.rbegin()->first;
    entry.respond(jsonResponse(200, nlohmann::json { { "changes", list }, { "revision", next } }.dump()));
    return true;
}

void kv_service::private_data::replyToWatches()
{
    for (auto it = watches.begin(); it != watches.end();)
        it = replyToWatch(*it, it->expiry <= clock.now()) ? watches.erase(it) : std::next(it);
}

void kv_service::private_data::grantOrRenewLease(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    const std::string_view path = exchange.path();
    constexpr std::string_view keepAliveSuffix = "/keepalive";
    if (path.starts_with(leasePrefix) && path.ends_with(keepAliveSuffix)) {
        const auto found = leases.find(parseNumber(std::string(path.substr(leasePrefix.size()))));
        if (found == leases.end())
            return respond(errorResponse(404, "the lease has ended"));
        found->second.expiry = clock.now() + found->second.timeToLive;
        return respond(jsonResponse(200, "{}"));
    }
    const auto timeToLive
        = std::chrono::milliseconds(nlohmann::json::parse(exchange.body()).at("ttl_ms").get<std::int64_t>());
    leases[++lastLease] = { .timeToLive = timeToLive, .expiry = clock.now() + timeToLive, .keys = {} };
    respond(jsonResponse(200, nlohmann::json { { "lease", lastLease } }.dump()));
}

void kv_service::private_data::endLease(
    const net::http_exchange& exchange, const standin_server::responder& respond)
{
    removeLease(parseNumber(std::string(exchange.path().substr(leasePrefix.size()))));
    respond(jsonResponse(200, "{}"));
}

void kv_service::private_data::removeLease(std::uint64_t id)
{
    const auto found = leases.find(id);
    if (found == leases.end())
        return;
    for (const auto& key : found->second.keys)
        values.erase(key);
    leases.erase(found);
}

void kv_service::private_data::expireLeasesAndWatches()
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, record] : leases)
        if (record.expiry <= clock.now())
            expired.push_back(id);
    for (const std::uint64_t id : expired)
        removeLease(id);
    replyToWatches();
}

kv_service::kv_service(net::event_loop& loop, standin_server& server, options opts)
    : d(new private_data { .loop = loop,
        .server = server,
        .opts = opts,
        .clock = {},
        .values = {},
        .leases = {},
        .watches = {} })
{
    d->add("GET", "/v1/kv/", false, &private_data::get);
    d->add("PUT", "/v1/kv/", true, &private_data::put);
    d->add("DELETE", "/v1/kv/", true, &private_data::remove);
    d->add("GET", "/v1/range", false, &private_data::range);
    d->add("GET", "/v1/watch", false, &private_data::watch);
    d->add("POST", "/v1/lease", true, &private_data::grantOrRenewLease);
    d->add("DELETE", "/v1/lease/", true, &private_data::endLease);
    loop.runEvery(std::chrono::milliseconds(20), [this] { d->expireLeasesAndWatches(); });
    loop.runEvery(std::chrono::seconds(1), [this] { d->readsThisSecond = d->writesThisSecond = 0; });
}

kv_service::~kv_service() = default;

} // namespace marigold::standin
