#include <base/base.h>

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include <rapidcheck.h>

using namespace marigold::base;

TEST_CASE("combining the verdicts of attempts never understates the effect")
{
    // Guards against reporting not_run for a request if one attempt may have run.
    CHECK(rc::check("combine returns the verdict with the greater effect", [] {
        const auto a = *rc::gen::element(verdict::NotRun, verdict::MayHaveRun, verdict::Ran);
        const auto b = *rc::gen::element(verdict::NotRun, verdict::MayHaveRun, verdict::Ran);
        const verdict both = combine(a, b);
        RC_ASSERT(both >= a);
        RC_ASSERT(both >= b);
        RC_ASSERT((both == a || both == b));
        RC_ASSERT(verdictFromString(nameOf(both)) == both);
    }));
}

TEST_CASE("every error reason round-trips through its wire name and has an error status")
{
    // Guards against a reason that is decoded as a different one by another process.
    for (int i = 0; i <= static_cast<int>(error_reason::Internal); ++i) {
        const auto reason = static_cast<error_reason>(i);
        CHECK(reasonFromString(nameOf(reason)) == reason);
        CHECK(httpStatus(reason) >= 400);
    }
}

TEST_CASE("a digest round-trips through hexadecimal, and malformed hexadecimal is refused")
{
    // Guards against two different keys that are parsed as the same key.
    CHECK(rc::check("round trip", [](const std::string& data) {
        const digest128 digest = truncate(sha256(data));
        const std::string hex = toHex(digest);
        RC_ASSERT(digest128FromHex(hex) == digest);
        RC_ASSERT(!digest128FromHex(hex.substr(1)));
        RC_ASSERT(!digest128FromHex("g" + hex.substr(1)));
    }));
}

TEST_CASE("a log event is a single line for any field values")
{
    // Guards against log lines forged by a line break in a field.
    CHECK(rc::check("one line", [](const std::string& value) {
        std::vector<std::string> lines;
        for (const auto format : { log_format::KeyValue, log_format::Json }) {
            const event_log log({ .format = format, .process = "p", .output = [&](std::string_view line) {
                                     lines.emplace_back(line);
                                 } });
            log.write(
                { .id = "MB-0000", .name = "test", .meaning = "", .action = "" }, { { "value", value } });
            RC_ASSERT(lines.back().find('\n') == lines.back().size() - 1);
        }
    }));
}

TEST_CASE("base64 round-trips any bytes and refuses invalid text")
{
    // Guards against binary values that are altered by the key-value service adapter.
    CHECK(rc::check("round trip",
        [](const std::string& bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); }));
    for (const auto* text : { "a", "ab=", "a*==", "====x" })
        CHECK(!decodeBase64(text));
}
