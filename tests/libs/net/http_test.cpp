#include <net/net.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::net;

namespace {

/// A server and a client on one loop.
struct loopback {
    event_loop loop;
    http_client client { loop };
    std::unique_ptr<http_server> server;

    explicit loopback(http_server::handler handler, std::size_t maxBody = 1000)
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

TEST_CASE("a request and its answer arrive whole")
{
    // Guards against lost headers, query parameters and bodies, and against a broken reuse of connections.
    loopback pair([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->reply({ .status = 201,
            .headers = { { "X-Echo", std::string(exchange->header("x-one").value_or("")) } },
            .body = std::string(exchange->method()) + " " + std::string(exchange->path()) + " "
                + exchange->query("q").value_or("") + " " + std::string(exchange->body()) });
    });
    for (int i = 0; i < 3; ++i) {
        const auto answer = pair.send({ .method = "POST",
            .target = "/a/b?x=1&q=two%20words",
            .headers = { { "X-One", "1" } },
            .body = "body" });
        REQUIRE(answer);
        CHECK(answer->status == 201);
        CHECK(answer->headers.find("x-echo") == "1");
        CHECK(answer->body == "POST /a/b two words body");
    }
}

TEST_CASE("an answer in pieces arrives in order, and a cut one is an error")
{
    // Guards against a cut answer that looks complete.
    bool cut = false;
    loopback pair([&](const std::shared_ptr<http_exchange>& exchange) {
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        exchange->write("one");
        exchange->write("two");
        if (cut)
            exchange->abort();
        else
            exchange->endStream();
    });
    for (const bool shouldCut : { false, true, false }) {
        cut = shouldCut;
        std::string text;
        const auto answer = pair.send({ .onData = [&](std::string_view piece) { text += piece; } });
        if (shouldCut) {
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
    // Guards against a false not_run, which would let a non-idempotent call run twice.
    std::vector<std::shared_ptr<http_exchange>> held;
    loopback pair([&](const std::shared_ptr<http_exchange>& exchange) { held.push_back(exchange); });
    const auto late = pair.send({ .timeout = std::chrono::milliseconds(30) });
    REQUIRE(!late);
    CHECK(late.error().verdict == base::verdict::MayHaveRun);
    CHECK(late.error().reason == base::error_reason::DeadlineExceeded);
    REQUIRE(held.size() == 1);

    const std::uint16_t port = pair.server->port();
    pair.server->stopListening();
    base::result<http_response> refused = http_response {};
    pair.client.send(
        { .to = { "127.0.0.1", port }, .freshConnection = true }, [&](base::result<http_response> result) {
            refused = std::move(result);
            pair.loop.stop();
        });
    pair.loop.run();
    REQUIRE(!refused);
    CHECK(refused.error().verdict == base::verdict::NotRun);
}

TEST_CASE("a client that goes away is noticed, and later writes are dropped")
{
    // Guards against runs that go on for callers that have left, and against use of a freed request.
    std::shared_ptr<http_exchange> held;
    bool closed = false;
    loopback pair([&](const std::shared_ptr<http_exchange>& exchange) {
        held = exchange;
        exchange->startStream(200, {});
        exchange->write("first");
    });
    call_id id = 0;
    id = pair.client.send({ .to = { "127.0.0.1", pair.server->port() },
                              .onData =
                                  [&](std::string_view) {
                                      held->onClosed([&] {
                                          closed = true;
                                          pair.loop.stop();
                                      });
                                      pair.loop.runAfter(base::duration(0), [&] { pair.client.cancel(id); });
                                  } },
        [](const auto&) { FAIL("a cancelled call must not call back"); });
    pair.loop.run();
    CHECK(closed);
    CHECK(!held->isOpen());
    CHECK(!held->write("second"));
}

TEST_CASE("a body over the limit is refused with a clear error")
{
    // Guards against an oversized body that closes the connection without a word.
    loopback pair(
        [](const std::shared_ptr<http_exchange>& exchange) { exchange->reply({ .body = "fine" }); });
    const auto answer = pair.send({ .method = "POST", .body = std::string(5000, 'x') });
    REQUIRE(answer);
    CHECK(answer->status == 413);
    CHECK(answer->body.find("too_large") != std::string::npos);
    const auto next = pair.send({ .method = "POST", .body = std::string(500, 'x') });
    REQUIRE(next);
    CHECK(next->body == "fine");
}
