#include <entry/caller_request.h>

#include <doctest/doctest.h>

#include <string>

#include <rapidcheck.h>

using namespace marigold;

namespace {

/// Sends requests over HTTP and parses them as an entry does.
struct parser_fixture {
    net::event_loop loop;
    net::http_client client { loop };
    base::result<entry::completion_request> outcome
        = base::notRun(base::error_reason::Internal, "not parsed");
    net::http_server server { loop, {}, [this](const node::exchange_ptr& exchange) {
                                 auto context = entry::parseContext(
                                     *exchange, base::time_point(), std::chrono::seconds(60));
                                 if (context)
                                     outcome = entry::parseCompletion(*exchange, *context);
                                 else
                                     outcome = tl::unexpected(context.error());
                                 exchange->reply({});
                             } };

    parser_fixture() { REQUIRE(server.listen()); }

    const base::result<entry::completion_request>& parse(
        const std::string& path, const std::string& body, const net::http_headers& headers = {})
    {
        client.send({ .to = { "127.0.0.1", server.port() },
                        .method = "POST",
                        .target = path,
                        .headers = headers,
                        .body = body },
            [this](const auto&) { loop.stop(); });
        loop.run();
        return outcome;
    }
};

} // namespace

TEST_CASE("completions and chats are parsed, and the prompt of a chat is a prefix of the prompt of its "
          "continuation")
{
    // Guards against a chat whose cached context is not found in its next turn.
    parser_fixture fixture;
    const auto plain = fixture.parse(
        "/v1/completions", R"({"model":"m:a","prompt":"hi","max_tokens":5,"stream":true,"unknown":1})");
    REQUIRE(plain);
    CHECK(plain->model == "m");
    CHECK(plain->adapter == "a");
    CHECK(plain->maxTokens == 5);
    CHECK(plain->isStream);
    const std::string first = R"({"role":"user","content":"one"})";
    const auto one = fixture.parse("/v1/chat/completions", R"({"model":"m","messages":[)" + first + "]}");
    REQUIRE(one);
    const std::string prompt = one->prompt;
    const auto two = fixture.parse("/v1/chat/completions",
        R"({"model":"m","messages":[)" + first + R"(,{"role":"assistant","content":"two"}]})");
    REQUIRE(two);
    CHECK(two->prompt.starts_with(prompt));
}

TEST_CASE("an invalid request is rejected with the name of the invalid field")
{
    // Guards against errors that do not identify the invalid field, and against invalid values that are
    // replaced by defaults.
    struct invalid_case {
        const char* path;
        const char* body;
        const char* field;
    };
    const invalid_case cases[] {
        { "/v1/completions", "{", "body" },
        { "/v1/completions", "[]", "body" },
        { "/v1/completions", R"({"prompt":"x"})", "model" },
        { "/v1/completions", R"({"model":"m"})", "prompt" },
        { "/v1/completions", R"({"model":"m","prompt":["x"]})", "prompt" },
        { "/v1/completions", R"({"model":"m","prompt":"x","max_tokens":0})", "max_tokens" },
        { "/v1/completions", R"({"model":"m","prompt":"x","max_tokens":"9"})", "max_tokens" },
        { "/v1/completions", R"({"model":"m","prompt":"x","temperature":3})", "temperature" },
        { "/v1/completions", R"({"model":"m","prompt":"x","stream":1})", "stream" },
        { "/v1/chat/completions", R"({"model":"m","messages":[]})", "messages" },
        { "/v1/chat/completions", R"({"model":"m","messages":[{"role":"user"}]})", "messages[0].content" },
    };
    parser_fixture fixture;
    for (const auto& row : cases) {
        CAPTURE(row.body);
        const auto& parsed = fixture.parse(row.path, row.body);
        REQUIRE(!parsed);
        CHECK(parsed.error().verdict == base::verdict::NotRun);
        CHECK(parsed.error().field == row.field);
    }
    const std::string validBody = R"({"model":"m","prompt":"x"})";
    CHECK(fixture.parse("/v1/completions", validBody, { { "X-Deadline-Ms", "0" } }).error().field
        == "X-Deadline-Ms");
    CHECK(fixture.parse("/v1/completions", validBody, { { "X-Priority", "urgent" } }).error().field
        == "X-Priority");
    CHECK(fixture.parse("/v1/completions", validBody, { { "X-Priority", "batch" } })->caller.priority
        == routing::priority::Batch);
}

TEST_CASE("random request bodies never crash the process")
{
    // Guards against request bodies that raise an exception on the event loop.
    parser_fixture fixture;
    CHECK(rc::check("bytes", [&](const std::string& bytes) {
        const auto& parsed = fixture.parse("/v1/completions", bytes);
        RC_ASSERT(!parsed.has_value());
    }));
}
