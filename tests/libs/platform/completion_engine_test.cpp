#include "support/raw_server.h"

#include <platform/http_completion_engine.h>

#include <doctest/doctest.h>

#include <string>

#include <fmt/format.h>

using namespace marigold;

TEST_CASE("a block that an engine sends without its length is not kept")
{
    // Guards against a block that an ending engine broke off and that a store keeps with a matching checksum.
    struct row {
        std::string head;
        bool complete;
    };
    for (const row& item : { row { "HTTP/1.1 200 OK\r\n\r\n", false },
             row { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true } }) {
        CAPTURE(item.head);
        net::event_loop loop;
        testing::raw_server server(loop, { .start = item.head + "half" });
        net::http_client client(loop);
        platform::http_completion_engine engine(
            client, { .engine = { .address = "127.0.0.1", .port = server.port } });
        base::result<std::string> outcome = base::notRun(base::error_reason::Internal, "no callback");
        engine.exportBlock("a", [&](base::result<std::string> content) {
            outcome = std::move(content);
            loop.stop();
        });
        loop.run();
        CHECK(outcome.has_value() == item.complete);
    }
}

TEST_CASE("a run whose stream ends without its final event is not complete")
{
    // Guards against a completion that an ending engine broke off between two events, in any framing.
    const std::string event = "data: {\"index\": 0, \"text\": \"a\"}\n\n";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& answer : { fmt::format("{}\r\n{}", head, event),
             fmt::format("{}Content-Length: {}\r\n\r\n{}", head, event.size(), event),
             fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head, event.size(),
                 event) }) {
        CAPTURE(answer);
        net::event_loop loop;
        testing::raw_server server(loop, { .start = answer });
        net::http_client client(loop);
        platform::http_completion_engine engine(
            client, { .engine = { .address = "127.0.0.1", .port = server.port } });
        base::result<platform::engine_end> outcome = platform::engine_end {};
        int tokens = 0;
        engine.start(
            {}, [&](const auto&) { ++tokens; },
            [&](base::result<platform::engine_end> end) {
                outcome = std::move(end);
                loop.stop();
            });
        loop.run();
        CHECK(tokens == 1);
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().verdict == base::verdict::MayHaveRun);
    }
}
