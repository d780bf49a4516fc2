#include "support/raw_server.h"

#include <net/net.h>
#include <net/socket_state.h>

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

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

/// Returns how many bytes this process has written to its socket that is connected to \a port.
std::size_t bytesWrittenTo(std::uint16_t port)
{
    constexpr int maxSocket = 1024;
    for (int socket = 0; socket < maxSocket; ++socket) {
        sockaddr_in peer {};
        socklen_t length = sizeof(peer);
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) != 0
            || peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
            continue;
        tcp_info info {};
        socklen_t size = sizeof(info);
        if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
            return info.tcpi_bytes_acked + unacknowledgedBytes(socket);
    }
    return 0;
}

/// Returns the outcome of \a call to a server that answers as \a server says.
base::result<http_response> outcomeOf(testing::raw_server::options server, http_call call)
{
    event_loop loop;
    testing::raw_server remote(loop, std::move(server));
    http_client client(loop);
    base::result<http_response> outcome = http_response {};
    call.to = { .address = "127.0.0.1", .port = remote.port };
    client.send(std::move(call), [&](base::result<http_response> result) {
        outcome = std::move(result);
        loop.stop();
    });
    loop.run();
    return outcome;
}

} // namespace

TEST_CASE("a response without end is cut off")
{
    // Guards against a server in trouble that fills the memory of its client: heads had no limit.
    const std::string many(16 << 10, 'x');
    struct row {
        std::string name;
        std::string start;
        std::string flood;
    };
    const std::vector<row> rows {
        { "first line", "HTTP/1.1 200 ", many },
        { "one header line", "HTTP/1.1 200 OK\r\nX-More: ", many },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-More: " + many + "\r\n" },
        { "body until close", "HTTP/1.1 200 OK\r\n\r\n", many },
        { "body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4000\r\n" + many + "\r\n" },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        event_loop loop;
        testing::raw_server server(loop, { .start = item.start, .flood = item.flood });
        http_client client(loop);
        base::result<http_response> outcome = http_response {};
        client.send({ .to = { .address = "127.0.0.1", .port = server.port },
                        .method = "GET",
                        .target = "/",
                        .timeout = std::chrono::seconds(20),
                        .maxResponseBytes = 1 << 20 },
            [&](base::result<http_response> result) {
                outcome = std::move(result);
                loop.stop();
            });
        loop.run();
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().reason != base::error_reason::DeadlineExceeded);
        CHECK(outcome.error().verdict == base::verdict::MayHaveRun);
        CHECK(server.sentBytes < (16U << 20));
    }
}

TEST_CASE("a response whose head is cut is an error")
{
    // Guards against a cut head that is taken for a success without a body.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t size = 1; size < head.size(); ++size) {
        CAPTURE(size);
        const auto outcome = outcomeOf({ .start = head.substr(0, size) }, {});
        CHECK_FALSE(outcome);
    }
}

TEST_CASE("a success that the end of its connection ends before the request was written is an error")
{
    // Guards against a part of a body that is taken for all of it: a server that ends closes its connections
    // in order if it has read all that had arrived, and resets them when more arrives.
    struct row {
        std::string head;
        std::size_t upload;
        bool endsInOrder;
        bool complete;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    const std::string closes = ok + "Connection: close\r\n";
    const std::string framed = ok + "Content-Length: 4\r\n";
    const std::string partial = ok + "Content-Length: 4000\r\n";
    const std::string refused = "HTTP/1.1 413 Too Large\r\nContent-Type: text/plain\r\n";
    constexpr std::size_t few = 100;
    constexpr std::size_t some = 1'000'000; // Fits into the buffer of the socket.
    constexpr std::size_t many = 24'000'000;
    for (const row& item :
        { row { ok, few, true, true }, row { closes, few, true, true }, row { framed, few, true, true },
            row { refused, few, true, true }, row { refused, some, true, true },
            row { ok, some, true, false }, row { closes, some, true, false }, row { ok, many, true, false },
            row { closes, many, true, false }, row { ok, few, false, false }, row { ok, some, false, false },
            row { ok, many, false, false }, row { closes, many, false, false },
            row { partial, few, false, false }, row { partial, many, false, false } })
        for (const int delay : { 1, 20, 50 }) {
            CAPTURE(item.head);
            CAPTURE(item.upload);
            CAPTURE(item.endsInOrder);
            CAPTURE(delay);
            // Beside load, the client may still be writing when the delay is over.
            const auto isWritten = [&](std::uint16_t port) { return bytesWrittenTo(port) >= item.upload; };
            std::function<bool(std::uint16_t)> mayEnd;
            if (item.upload <= some && item.endsInOrder)
                mayEnd = isWritten;
            const auto outcome = outcomeOf({ .start = item.head + "\r\nhalf",
                                               .endAfter = std::chrono::milliseconds(delay),
                                               .endsInOrder = item.endsInOrder,
                                               .mayEnd = mayEnd },
                { .method = "POST",
                    .body = std::string(item.upload, 'u'),
                    .timeout = std::chrono::seconds(2) });
            REQUIRE(outcome.has_value() == item.complete);
            if (!outcome)
                CHECK(outcome.error().verdict == base::verdict::MayHaveRun);
        }
}

TEST_CASE("a response whose status is none is an error")
{
    // Guards against a server in trouble whose status, such as 000, is passed on or kept as an outcome.
    for (const std::string status :
        { "000", "00", "0", "099", "99", "-200", "101", "103", "199", "600", "999", "2000", "", "abc" }) {
        CAPTURE(status);
        const auto outcome
            = outcomeOf({ .start = "HTTP/1.1 " + status
                                + " Fine\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfake" },
                { .timeout = std::chrono::seconds(2) });
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().verdict == base::verdict::MayHaveRun);
    }
}

TEST_CASE("a response that only the end of its connection ends is marked")
{
    // Guards against a response that its server broke off and that a caller of the client takes for whole.
    struct row {
        std::string name;
        std::string start;
        bool endsWithConnection;
    };
    for (const row& item : { row { "neither", "HTTP/1.1 200 OK\r\n\r\ncut", true },
             row { "announced", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut", true },
             row { "length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall", false },
             row { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n",
                 false },
             row { "no content", "HTTP/1.1 204 No Content\r\n\r\n", false } }) {
        CAPTURE(item.name);
        event_loop loop;
        testing::raw_server server(loop, { .start = item.start });
        http_client client(loop);
        base::result<http_response> outcome = base::notRun(base::error_reason::Internal, "no callback");
        client.send({ .to = { .address = "127.0.0.1", .port = server.port } },
            [&](base::result<http_response> result) {
                outcome = std::move(result);
                loop.stop();
            });
        loop.run();
        REQUIRE(outcome);
        CHECK(outcome->endsWithConnection == item.endsWithConnection);
    }
}

TEST_CASE("a second copy of a response is not taken for the response to the next request")
{
    // Guards against a caller that gets the response to an earlier request on a reused connection.
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    struct row {
        std::string name;
        testing::raw_server::options server;
    };
    for (const row& item :
        { row { "one response each", { .start = first, .later = second } },
            row { "with the first response", { .start = first + first, .later = second } },
            row { "a part of a copy", { .start = first + "HTTP/1.1 200", .later = second } },
            row { "while the connection is idle", { .start = first, .later = second, .unasked = first } } }) {
        CAPTURE(item.name);
        event_loop loop;
        testing::raw_server server(loop, item.server);
        http_client client(loop);
        for (const std::string expected : { "first", "second" }) {
            base::result<http_response> outcome = base::notRun(base::error_reason::Internal, "no callback");
            client.send({ .to = { .address = "127.0.0.1", .port = server.port } },
                [&](base::result<http_response> result) {
                    outcome = std::move(result);
                    loop.runAfter(std::chrono::milliseconds(40), [&loop] { loop.stop(); });
                });
            loop.run();
            REQUIRE(outcome);
            CHECK(outcome->body == expected);
        }
    }
}

TEST_CASE("JSON that is cut off is told from JSON that is whole")
{
    // Guards against half a JSON text that is kept as the reply to an order, and against one that is no JSON.
    struct row {
        std::string type;
        std::string body;
        bool isCut;
    };
    for (const row& item : { row { "application/json", R"({"order": 12)", true },
             row { "application/json; charset=utf-8", "", true },
             row { "Application/Problem+JSON", R"(["a")", true },
             row { "application/json", R"({"order": 12})", false }, row { "text/plain", "{", false },
             row { "", "{", false } }) {
        CAPTURE(item.body);
        CHECK(isCutJson({ { "Content-Type", item.type } }, item.body) == item.isCut);
    }
}

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
