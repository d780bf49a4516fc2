#include <protocol/protocol.h>

#include <doctest/doctest.h>

#include <string>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::protocol;

namespace {

const std::string identifier(32, 'a');

run_request sampleRequest()
{
    return { .run = identifier,
        .attempt = identifier,
        .team = "t",
        .owner = "entry-1",
        .model = "m",
        .version = "v1",
        .prompt = "hello",
        .remaining = base::duration(5),
        .cacheSalt = "s",
        .blockKeys = { identifier } };
}

} // namespace

TEST_CASE("encoding and decoding preserve messages between processes")
{
    // Guards against a field that is lost or altered between entry and agent.
    CHECK(rc::check("piece", [] {
        run_chunk chunk { .attempt = identifier,
            .epoch = *rc::gen::arbitrary<std::uint32_t>(),
            .sequence = *rc::gen::arbitrary<std::uint64_t>(),
            .text = *rc::gen::string<std::string>(),
            .tokens = 1 };
        // JSON requires valid UTF-8, so the text is reduced to ASCII.
        for (char& c : chunk.text)
            c = static_cast<char>(c & 0x7f);
        const auto decoded = run_chunk::decode(chunk.encode());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->text == chunk.text);
        RC_ASSERT(decoded->sequence == chunk.sequence);
        RC_ASSERT(decoded->epoch == chunk.epoch);
        RC_ASSERT(!decoded->isFinal);
    }));
    const auto request = run_request::decode(sampleRequest().encode());
    REQUIRE(request);
    CHECK(request->prompt == "hello");
    CHECK(request->blockKeys.size() == 1);
}

TEST_CASE("malformed messages are refused with the name of the field, without an exception")
{
    // Guards against a process that is terminated by malformed input.
    CHECK(rc::check("random bytes", [](const std::string& bytes) {
        RC_ASSERT(!run_request::decode(bytes));
        RC_ASSERT(!run_chunk::decode(bytes));
        RC_ASSERT(!call_request::decode(bytes));
        const base::error fallback { .verdict = base::verdict::MayHaveRun, .message = "fallback" };
        RC_ASSERT(decodeError(bytes, fallback).verdict == base::verdict::MayHaveRun);
    }));
    struct invalid_case {
        void (*change)(run_request&);
        const char* field;
    };
    const invalid_case cases[] {
        { [](run_request& request) { request.run = "x"; }, "run" },
        { [](run_request& request) { request.maxTokens = 0; }, "max_tokens" },
        { [](run_request& request) { request.priority = 3; }, "priority" },
        { [](run_request& request) { request.loadBlocks = 2; }, "load_blocks" },
    };
    for (const auto& row : cases) {
        run_request request = sampleRequest();
        row.change(request);
        const auto decoded = run_request::decode(request.encode());
        REQUIRE(!decoded);
        CHECK(decoded.error().field == row.field);
    }
}

TEST_CASE("encoding and decoding preserve the verdict of an error")
{
    // Guards against reporting may_have_run as not_run.
    CHECK(rc::check("round trip", [] {
        const base::error problem { .verdict
            = *rc::gen::element(base::verdict::NotRun, base::verdict::MayHaveRun, base::verdict::Ran),
            .reason = *rc::gen::element(base::error_reason::InvalidRequest, base::error_reason::Conflict,
                base::error_reason::Overloaded, base::error_reason::Internal),
            .message = "m",
            .field = "f",
            .retryAfter = std::chrono::milliseconds(*rc::gen::inRange(0, 5000)) };
        const base::error decoded = decodeError(encodeError(problem), {});
        RC_ASSERT(decoded.verdict == problem.verdict);
        RC_ASSERT(decoded.reason == problem.reason);
        RC_ASSERT(decoded.field == problem.field);
        RC_ASSERT(decoded.retryAfter == problem.retryAfter);
    }));
}
