#include <net/net.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::net;

namespace {

/// A server and a client on one event loop.
struct loopback_fixture {
    event_loop loop;
    http_client client { loop };
    std::unique_ptr<http_server> server;

    explicit loopback_fixture(http_server::handler handler, std::size_t maxBody = 1000)
    {
        server = std::make_unique<http_server>(
            loop, http_server::options { .maxBodyBytes = maxBody }, std::move(handler));
        REQUIRE(server->listen());
    }

    base::result<http_response> send(http_call call)
    {
        call.to = { .address = "127.0.0.1", .port = server->port() };
        base::result<http_response> outcome = base::notRun(base::error_reason::Internal, "no callback");
        client.send(std::move(call), [&](base::result<http_response> result) {
            outcome = std::move(result);
            loop.stop();
        });
        loop.run();
        return outcome;
    }
};

} // namespace

TEST_CASE("a request and its response are transferred completely")
{
    // Guards against lost headers, query parameters and bodies, and against invalid reuse of connections.
    loopback_fixture fixture([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->reply({ .status = 201,
            .headers = { { "X-Echo", std::string(exchange->header("x-one").value_or("")) } },
            .body = std::string(exchange->method()) + " " + std::string(exchange->path()) + " "
                + exchange->query("q").value_or("") + " " + std::string(exchange->body()) });
    });
    for (int i = 0; i < 3; ++i) {
        const auto answer = fixture.send({ .method = "POST",
            .target = "/a/b?x=1&q=two%20words",
            .headers = { { "X-One", "1" } },
            .body = "body" });
        REQUIRE(answer);
        CHECK(answer->status == 201);
        CHECK(answer->headers.find("x-echo") == "1");
        CHECK(answer->body == "POST /a/b two words body");
    }
}

TEST_CASE("a chunked response arrives in order, and a truncated one is an error")
{
    // Guards against a truncated response that appears to be complete.
    bool truncate = false;
    loopback_fixture fixture([&](const std::shared_ptr<http_exchange>& exchange) {
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        exchange->write("one");
        exchange->write("two");
        if (truncate)
            exchange->abort();
        else
            exchange->endStream();
    });
    for (const bool shouldTruncate : { false, true, false }) {
        truncate = shouldTruncate;
        std::string text;
        const auto answer = fixture.send({ .onData = [&](std::string_view chunk) { text += chunk; } });
        if (shouldTruncate) {
            REQUIRE(!answer);
            CHECK(answer.error().verdict == base::verdict::MayHaveRun);
        } else {
            REQUIRE(answer);
            CHECK(text == "onetwo");
        }
    }
}

TEST_CASE("a refused connection is not_run, a timeout after the request is may_have_run")
{
    // Guards against a wrong not_run verdict, with which a call that is not idempotent could run twice.
    std::vector<std::shared_ptr<http_exchange>> held;
    loopback_fixture fixture(
        [&](const std::shared_ptr<http_exchange>& exchange) { held.push_back(exchange); });
    const auto late = fixture.send({ .timeout = std::chrono::milliseconds(30) });
    REQUIRE(!late);
    CHECK(late.error().verdict == base::verdict::MayHaveRun);
    CHECK(late.error().reason == base::error_reason::DeadlineExceeded);
    REQUIRE(held.size() == 1);

    const std::uint16_t port = fixture.server->port();
    fixture.server->stopListening();
    base::result<http_response> refused = http_response {};
    fixture.client.send(
        { .to = { "127.0.0.1", port }, .freshConnection = true }, [&](base::result<http_response> result) {
            refused = std::move(result);
            fixture.loop.stop();
        });
    fixture.loop.run();
    REQUIRE(!refused);
    CHECK(refused.error().verdict == base::verdict::NotRun);
}

TEST_CASE("the disconnection of a client is detected, and later writes are dropped")
{
    // Guards against runs that continue for disconnected callers, and against use of a freed request.
    std::shared_ptr<http_exchange> held;
    bool closed = false;
    loopback_fixture fixture([&](const std::shared_ptr<http_exchange>& exchange) {
        held = exchange;
        exchange->startStream(200, {});
        exchange->write("first");
    });
    call_id id = 0;
    id = fixture.client.send({ .to = { "127.0.0.1", fixture.server->port() },
                                 .onData =
                                     [&](std::string_view) {
                                         held->onClosed([&] {
                                             closed = true;
                                             fixture.loop.stop();
                                         });
                                         fixture.loop.runAfter(
                                             base::duration(0), [&] { fixture.client.cancel(id); });
                                     } },
        [](const auto&) { FAIL("the callback of a cancelled call must not be called"); });
    fixture.loop.run();
    CHECK(closed);
    CHECK(!held->isOpen());
    CHECK(!held->write("second"));
}

TEST_CASE("a body that exceeds the limit is rejected with an error response")
{
    // Guards against an oversized body that closes the connection without a response.
    loopback_fixture fixture(
        [](const std::shared_ptr<http_exchange>& exchange) { exchange->reply({ .body = "fine" }); });
    const auto answer = fixture.send({ .method = "POST", .body = std::string(5000, 'x') });
    REQUIRE(answer);
    CHECK(answer->status == 413);
    CHECK(answer->body.find("too_large") != std::string::npos);
    const auto next = fixture.send({ .method = "POST", .body = std::string(500, 'x') });
    REQUIRE(next);
    CHECK(next->body == "fine");
}
