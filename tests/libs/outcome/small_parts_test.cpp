#include "uniform.h"

#include <outcome/outcome.h>

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::outcome;
using namespace marigold::outcome::testing;

namespace {

std::string uuidOf(std::uint64_t milliseconds, std::uint64_t random, char version = '7', char variant = 'a')
{
    return fmt::format("{:08x}-{:04x}-{}{:03x}-{}{:03x}-{:012x}", milliseconds >> 16, milliseconds & 0xffff,
        version, random & 0xfff, variant, (random >> 12) & 0xfff, (random >> 24) & 0xffffffffffff);
}

} // namespace

TEST_CASE("an idempotency key contains its creation time, and malformed text is refused as not_run")
{
    // Guards against a creation time that is parsed incorrectly, so that a valid key expires too early.
    CHECK(rc::check("round trip", [] {
        const auto milliseconds = *uniform<std::uint64_t>(0, std::uint64_t(1) << 48);
        const auto random = *rc::gen::arbitrary<std::uint64_t>();
        const auto key = parseIdempotencyKey(uuidOf(milliseconds, random));
        RC_ASSERT(key.has_value());
        RC_ASSERT(key->created().time_since_epoch() / std::chrono::milliseconds(1) == milliseconds);
        RC_ASSERT(parseIdempotencyKey(uuidOf(milliseconds, random + 1))->bytes != key->bytes);
    }));
    const std::string good = uuidOf(1'800'000'000'000, 7);
    for (const std::string& text : { std::string(), good.substr(1), good + "0", uuidOf(1, 7, '4'),
             uuidOf(1, 7, '7', 'c'), uuidOf(1, 7, '7', '7'), "g" + good.substr(1),
             good.substr(0, 8) + "0" + good.substr(9), good.substr(0, 35) + "-" }) {
        CAPTURE(text);
        const auto refused = parseIdempotencyKey(text);
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().verdict == base::verdict::NotRun);
        CHECK(refused.error().field == "Idempotency-Key");
    }
}

TEST_CASE("an idempotency key is valid for 1 h and up to 60 s before its creation time")
{
    // Guards against a key that is accepted after its claim may have been deleted.
    struct window_case {
        std::int64_t ageMilliseconds;
        bool valid;
    };
    const base::manual_clock time;
    const std::int64_t now = time.wallNow().time_since_epoch() / std::chrono::milliseconds(1);
    for (const auto& item :
        { window_case { 0, true }, window_case { 3'600'000, true }, window_case { 3'600'001, false },
            window_case { -60'000, true }, window_case { -60'001, false } }) {
        CAPTURE(item.ageMilliseconds);
        const auto key
            = parseIdempotencyKey(uuidOf(static_cast<std::uint64_t>(now - item.ageMilliseconds), 1));
        const auto checked = checkKeyWindow(*key, time.wallNow());
        CHECK(checked.has_value() == item.valid);
        if (!checked)
            CHECK(checked.error().verdict == base::verdict::NotRun);
    }
}

TEST_CASE("a resume token is accepted only for its team and only if unmodified")
{
    // Guards against a caller that reads the answer of another team with a forged or stolen event id.
    CHECK(rc::check("token", [](std::uint64_t seed, std::uint32_t epoch, std::uint64_t sequence) {
        base::random_source random(seed);
        const resume_token token { .run = randomId(random),
            .attempt = randomId(random),
            .epoch = epoch,
            .sequence = sequence,
            .target = "10.0.0.7:8080" };
        const resume_token_codec oldCodec({ "old" });
        const resume_token_codec codec({ "new", "old" });
        const std::string team = *rc::gen::string<std::string>();
        for (const auto& text : { codec.encode(token, team), oldCodec.encode(token, team) }) {
            RC_ASSERT(codec.decode(text, team) == token);
            RC_ASSERT(!codec.decode(text, team + "x"));
            std::string forged = text;
            const auto position = *uniform<std::size_t>(0, text.size());
            forged[position] = static_cast<char>(forged[position] ^ *uniform(1, 128));
            const auto refused = codec.decode(forged, team);
            RC_ASSERT(!refused.has_value());
            RC_ASSERT(refused.error().verdict != base::verdict::NotRun);
        }
        RC_ASSERT(!oldCodec.decode(codec.encode(token, team), team));
    }));
    const resume_token_codec codec({ "secret" });
    CHECK(codec.encode({ .target = "a b" }, "team").empty());
    CHECK(codec.decode(codec.encode({ .target = std::string(256, 'a') }, "team"), "team").has_value());
    CHECK(codec.encode({ .target = std::string(257, 'a') }, "team").empty());
}

TEST_CASE("a claims value round-trips through its encoding within its bound, and a truncated one is refused")
{
    // Guards against claims that are lost when a value is rewritten, and against values above the size limit.
    CHECK(rc::check("round trip", [](std::uint64_t seed) {
        base::random_source random(seed);
        claim_value value;
        const std::uint64_t records = random.below(40);
        for (std::uint64_t i = 0; i < records; ++i) {
            claim_record record { .key = randomId(random),
                .request = randomId(random),
                .nonce = random.next(),
                .state = static_cast<claim_state>(random.below(3)) };
            record.key[0] = static_cast<std::uint8_t>(random.below(4));
            if (record.state == claim_state::Done && random.below(2) == 0)
                record.answer = std::make_shared<const stored_answer>(stored_answer {
                    .status = 201, .contentType = "\xff", .body = random.hex(random.below(400)) });
            value.set(record, random.hex(random.below(3)));
        }
        const std::string text = value.encode();
        RC_ASSERT(text.size() <= value.encodedBound());
        const auto read = claim_value::decode(text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->encode() == text);
        RC_ASSERT(read->encodedBound() == value.encodedBound());
        RC_ASSERT(!claim_value::decode(text.substr(0, text.size() - 1)));
        RC_ASSERT(!claim_value::decode(text + '\0'));
    }));
    const std::string frame = "\x94\x01\x90"; // version 1 without claimers
    CHECK(claim_value::decode(frame + std::string("\xc4\x00\xc4\x00", 4)).has_value());
    for (const std::string& text : { std::string(), std::string("null"), frame + "\x90\x90",
             "\x94\x02" + std::string("\x90\xc4\x00\xc4\x00", 5),
             frame + "\xc4\x2d" + std::string(45, '\0') + std::string("\xc4\x00", 2),
             frame + std::string("\xc4\x00\xc4\x10", 4) + std::string(16, '\0') })
        CHECK_FALSE(claim_value::decode(text).has_value());
}

TEST_CASE("back-off grows with jitter and counts concurrent failures once")
{
    // Guards against processes that retry at the same time, and against 16 shards that multiply one failure.
    base::manual_clock time;
    base::random_source random(3);
    call_backoff backoff(random, {});
    base::duration minWait = std::chrono::milliseconds(100);
    std::set<base::duration> waits;
    for (int i = 0; i < 12; ++i) {
        for (int shard = 0; shard < 16; ++shard)
            backoff.failed(time.now());
        const base::duration wait = backoff.nextCallAt() - time.now();
        waits.insert(wait);
        CHECK(wait >= minWait);
        CHECK(wait <= 2 * minWait);
        minWait = std::min<base::duration>(2 * minWait, std::chrono::seconds(5));
        CHECK_FALSE(backoff.allowsCall(time.now()));
        time.advance(wait);
        CHECK(backoff.allowsCall(time.now()));
    }
    CHECK(waits.size() == 12);
    backoff.succeeded();
    CHECK_FALSE(backoff.isFailing());
}

TEST_CASE("every event of the library has a unique number in MB-15xx")
{
    // Guards against two events that cannot be distinguished in a log.
    std::set<std::string_view> ids;
    for (const auto& event : events::allEvents) {
        CHECK(event.id.starts_with("MB-15"));
        CHECK(ids.insert(event.id).second);
    }
}
