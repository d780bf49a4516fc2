#include "http_kv_store.h"

#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::platform {

namespace {

std::string encodeQuery(std::string_view text)
{
    char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result = encoded;
    std::free(encoded);
    return result;
}

/// Converts a response with an error status to an error. A call with an error status has had no effect.
base::error errorOf(const net::http_response& response)
{
    static constexpr std::pair<int, base::error_reason> reasons[] {
        { 404, base::error_reason::NotFound },
        { 409, base::error_reason::Conflict },
        { 413, base::error_reason::TooLarge },
        { 429, base::error_reason::Overloaded },
        { 400, base::error_reason::InvalidRequest },
    };
    base::error_reason reason = base::error_reason::Unavailable;
    for (const auto& [status, value] : reasons)
        if (status == response.status)
            reason = value;
    return { .verdict = base::verdict::NotRun,
        .reason = reason,
        .message = fmt::format("key-value service replied with status {}", response.status) };
}

kv_entry entryOf(const nlohmann::json& item)
{
    const auto value = base::decodeBase64(item.at("value").get<std::string>());
    if (!value)
        throw nlohmann::json::other_error::create(501, "value is not base64", &item);
    return { .key = item.at("key").get<std::string>(),
        .value = *value,
        .revision = item.at("revision").get<std::uint64_t>() };
}

std::vector<kv_entry> entriesOf(const nlohmann::json& list)
{
    std::vector<kv_entry> entries;
    for (const auto& item : list)
        entries.push_back(entryOf(item));
    return entries;
}

} // namespace

struct http_kv_store::private_data {
    net::http_client& client;
    options opts;
    call_counts counts;

    void reportCall(call_kind kind, std::optional<base::error_reason> reason) const
    {
        if (opts.onCall)
            opts.onCall(kind, reason);
    }

    /// Sends \a call, passes the parsed body of a successful response to \a parse and its result to \a done.
    template <typename T, typename Parse>
    void send(net::http_call call, call_kind kind, callback<T> done, Parse parse)
    {
        const bool isWrite = kind == call_kind::Put || kind == call_kind::Remove || kind == call_kind::Lease;
        ++(isWrite ? counts.writes : counts.reads);
        call.to = opts.service;
        if (call.timeout == base::duration::zero())
            call.timeout = opts.timeout;
        client.send(std::move(call),
            [this, kind, done = std::move(done), parse = std::move(parse)](
                base::result<net::http_response> answer) {
                if (!answer) {
                    ++counts.failures;
                    reportCall(kind, answer.error().reason);
                    return done(tl::unexpected(answer.error()));
                }
                if (answer->status != 200) {
                    const base::error problem = errorOf(*answer);
                    reportCall(kind, problem.reason);
                    return done(tl::unexpected(problem));
                }
                base::result<T> outcome = base::mayHaveRun(
                    base::error_reason::Internal, "the key-value service sent a malformed response");
                try {
                    outcome = parse(nlohmann::json::parse(answer->body));
                } catch (const nlohmann::json::exception&) {
                    ++counts.failures;
                }
                reportCall(kind, outcome ? std::nullopt : std::optional(outcome.error().reason));
                done(std::move(outcome));
            });
    }
};

http_kv_store::http_kv_store(net::http_client& client, options opts)
    : d(new private_data { .client = client, .opts = std::move(opts), .counts = {} })
{
}

http_kv_store::~http_kv_store() = default;

void http_kv_store::get(std::string_view key, callback<std::optional<kv_entry>> done)
{
    const auto mapped = [done = std::move(done)](base::result<kv_entry> found) {
        if (found)
            return done(std::optional(std::move(*found)));
        if (found.error().reason == base::error_reason::NotFound)
            return done(std::optional<kv_entry>());
        done(tl::unexpected(found.error()));
    };
    d->send<kv_entry>(
        { .target = fmt::format("/v1/kv/{}", key), .timeout = {} }, call_kind::Get, mapped, entryOf);
}

void http_kv_store::put(kv_write write, callback<std::uint64_t> done)
{
    nlohmann::json body { { "value", base::encodeBase64(write.value) } };
    if (write.expectedRevision)
        body["expected_revision"] = *write.expectedRevision;
    if (write.lease)
        body["lease"] = write.lease;
    d->send<std::uint64_t>({ .method = "PUT",
                               .target = fmt::format("/v1/kv/{}", write.key),
                               .body = body.dump(),
                               .timeout = {} },
        call_kind::Put, std::move(done),
        [](const nlohmann::json& answer) { return answer.at("revision").get<std::uint64_t>(); });
}

void http_kv_store::remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done)
{
    d->send<void>({ .method = "DELETE",
                      .target = fmt::format("/v1/kv/{}?expected_revision={}", key, expectedRevision),
                      .timeout = {} },
        call_kind::Remove, std::move(done), [](const nlohmann::json&) { return base::result<void>(); });
}

void http_kv_store::range(
    std::string_view prefix, std::string_view after, std::size_t limit, callback<std::vector<kv_entry>> done)
{
    const std::string target = fmt::format(
        "/v1/range?prefix={}&after={}&limit={}", encodeQuery(prefix), encodeQuery(after), limit);
    d->send<std::vector<kv_entry>>({ .target = target, .timeout = {} }, call_kind::Range, std::move(done),
        [](const nlohmann::json& answer) { return entriesOf(answer.at("entries")); });
}

void http_kv_store::grantLease(base::duration timeToLive, callback<std::uint64_t> done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeToLive).count();
    d->send<std::uint64_t>({ .method = "POST",
                               .target = "/v1/lease",
                               .body = nlohmann::json { { "ttl_ms", milliseconds } }.dump(),
                               .timeout = {} },
        call_kind::Lease, std::move(done),
        [](const nlohmann::json& answer) { return answer.at("lease").get<std::uint64_t>(); });
}

void http_kv_store::keepAlive(std::uint64_t lease, callback<void> done)
{
    d->send<void>({ .method = "POST", .target = fmt::format("/v1/lease/{}/keepalive", lease), .timeout = {} },
        call_kind::Lease, std::move(done), [](const nlohmann::json&) { return base::result<void>(); });
}

void http_kv_store::revokeLease(std::uint64_t lease, callback<void> done)
{
    d->send<void>({ .method = "DELETE", .target = fmt::format("/v1/lease/{}", lease), .timeout = {} },
        call_kind::Lease, std::move(done), [](const nlohmann::json&) { return base::result<void>(); });
}

void http_kv_store::watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
    callback<kv_watch_batch> done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(waitLimit).count();
    const std::string target = fmt::format(
        "/v1/watch?prefix={}&after={}&wait_ms={}", encodeQuery(prefix), afterRevision, milliseconds);
    d->send<kv_watch_batch>({ .target = target, .timeout = d->opts.timeout + waitLimit }, call_kind::Watch,
        std::move(done), [](const nlohmann::json& answer) {
            return kv_watch_batch { .changes = entriesOf(answer.at("changes")),
                .revision = answer.at("revision").get<std::uint64_t>() };
        });
}

const http_kv_store::call_counts& http_kv_store::counts() const
{
    return d->counts;
}

} // namespace marigold::platform
