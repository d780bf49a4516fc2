#include <relay/exchange/quarantine_record.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::relay;

using parts = std::vector<std::string>;

TEST_CASE("records survive their encoding, and other bytes are rejected")
{
    // Guards against records that another process misreads, and against bytes of any other sender.
    const quarantine_batch batch { .process = "p",
        .records = { { .sequence = 1,
                         .record = target_end { .target = "t",
                             .parts = { "a", "b" },
                             .soundParts = { "a" },
                             .answerBegun = true,
                             .events = 7 } },
            { .sequence = 2,
                .record = blocked_part { .part = "b", .with = { "a", "b" }, .ends = 3, .targets = { "t" } } },
            { .sequence = 3, .record = sound_part { .part = "a", .refutes = true, .stage = 2 } },
            { .sequence = 4, .record = trial_start { .part = "b", .number = 2 } } } };
    for (const auto& decoded :
        { decodeQuarantineText(encodeText(batch)), decodeQuarantineDatagram(encodeDatagram(batch)) }) {
        REQUIRE(decoded);
        CHECK(decoded->process == "p");
        REQUIRE(decoded->records.size() == 4);
        CHECK(decoded->records[2].sequence == 3);
        CHECK(std::get<target_end>(decoded->records[0].record).soundParts == parts { "a" });
        CHECK(std::get<target_end>(decoded->records[0].record).events == 7);
        CHECK(std::get<sound_part>(decoded->records[2].record).stage == 2);
        CHECK(std::get<blocked_part>(decoded->records[1].record).with == parts { "a", "b" });
        CHECK(std::get<blocked_part>(decoded->records[1].record).targets == parts { "t" });
        CHECK(std::get<sound_part>(decoded->records[2].record).refutes);
        CHECK(std::get<trial_start>(decoded->records[3].record).number == 2);
    }
    for (const std::size_t count : { maxRecordParts, maxRecordParts + 1 }) {
        const quarantine_batch many { .process = "p",
            .records = { { .sequence = 1,
                .record = target_end { .target = "t", .parts = parts(count, "m//5c1e07a2") } } } };
        CHECK(decodeQuarantineText(encodeText(many)).has_value() == (count == maxRecordParts));
        CHECK(decodeQuarantineDatagram(encodeDatagram(many)).has_value() == (count == maxRecordParts));
    }
    CHECK(rc::check("random bytes", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!decodeQuarantineText(bytes));
        RC_ASSERT(!decodeQuarantineDatagram("Q" + bytes));
        RC_ASSERT(!decodeOperatorBlock(bytes));
    }));
    CHECK_FALSE(decodeQuarantineText(R"({"process":"p","records":[{"sequence":1,"blocked":""}]})"));
    CHECK_FALSE(decodeQuarantineText(
        R"({"process":"p","records":[{"sequence":1,"blocked":"a","with":[],"ends":"3"}]})"));
    CHECK(decodeOperatorBlock(R"({"part":"m//x"})")->with == parts { "m//x" });
    CHECK_FALSE(decodeOperatorBlock(R"({"part":7})"));
}
