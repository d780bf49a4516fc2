#include "support/fake_kv_store.h"
#include "support/raw_server.h"

#include <agent/http_plain_service.h>

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include <fmt/format.h>

using namespace marigold;

namespace {

/// A caller with claims before a service that sends scripted bytes.
struct service_fixture {
    net::event_loop loop;
    base::system_clock clock;
    testing::raw_server server;
    net::http_client client { loop };
    testing::fake_kv_store store { clock, loop };
    base::random_source random { 7 };
    agent::http_plain_service service { client, loop, { .address = "127.0.0.1", .port = server.port } };
    outcome::claim_ledger ledger { store, clock, loop, random,
        { .service = "orders", .process = "agent@1", .isAlive = [](std::string_view) { return true; } } };
    agent::plain_caller caller { service, ledger };

    explicit service_fixture(testing::raw_server::options opts)
        : server(loop, std::move(opts))
    {
        store.delay = std::chrono::milliseconds(1);
    }

    std::string key() const
    {
        const auto milliseconds
            = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count() / 1000);
        return fmt::format("{:08x}-{:04x}-7000-8000-000000000001", milliseconds >> 16, milliseconds & 0xffff);
    }

    base::result<agent::plain_answer> call(const std::string& key, const std::string& body = "body")
    {
        std::optional<base::result<agent::plain_answer>> outcome;
        caller.call({ .team = "t",
                        .service = "orders",
                        .method = "POST",
                        .path = "/orders",
                        .idempotencyKey = key,
                        .remaining = std::chrono::seconds(5) },
            body, false, [&](base::result<agent::plain_answer> answer) {
                outcome = std::move(answer);
                loop.stop();
            });
        if (!outcome)
            loop.run();
        return *outcome;
    }
};

} // namespace

TEST_CASE("a reply that its service broke off is not kept as the reply to an order")
{
    // Guards against half a reply that each repeat of the same idempotency key gets again.
    struct row {
        std::string name;
        std::string reply;
        bool serviceEnds;
        bool complete;
    };
    const std::string json = "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n";
    const std::string text = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n";
    for (const row& item : { row { "cut JSON", json + "\r\n{\"order\": 12", false, false },
             row { "whole JSON", json + "\r\n{\"order\": 12}", false, true },
             row { "text of a running service", text + "\r\norder 12", false, true },
             row { "text of a service that ends", text + "\r\norder 1", true, false },
             row { "with a length, of a service that ends", text + "Content-Length: 8\r\n\r\norder 12", true,
                 true } }) {
        CAPTURE(item.name);
        service_fixture fixture({ .start = item.reply, .endsWithAnswer = item.serviceEnds });
        const std::string key = fixture.key();
        const auto first = fixture.call(key);
        REQUIRE(first.has_value() == item.complete);
        if (!first)
            CHECK(first.error().verdict == base::verdict::MayHaveRun);
        const auto repeated = fixture.call(key);
        CHECK(repeated.has_value() == item.complete);
        CHECK(fixture.server.requests == 1);
    }
}

TEST_CASE("a reply whose status is none is not kept")
{
    // Guards against a status such as 000 that each repeat of the same idempotency key gets.
    for (const std::string status : { "000", "099", "103", "600", "999" }) {
        CAPTURE(status);
        service_fixture fixture(
            { .start = "HTTP/1.1 " + status + " Created\r\nContent-Type: text/plain\r\n\r\norder 12" });
        const std::string key = fixture.key();
        const auto first = fixture.call(key);
        REQUIRE_FALSE(first);
        CHECK(first.error().verdict == base::verdict::MayHaveRun);
        CHECK_FALSE(fixture.call(key));
        CHECK(fixture.server.requests == 1);
    }
}
