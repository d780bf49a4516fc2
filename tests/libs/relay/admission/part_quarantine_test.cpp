#include <relay/admission/part_quarantine.h>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace marigold;
using namespace marigold::relay;

namespace {

using parts = std::vector<std::string>;

struct fixture {
    base::manual_clock clock;
    std::vector<std::string> blocked;
    std::vector<std::string> released; ///< "PART: REASON"
    std::vector<sound_part> sound;
    part_quarantine quarantine { clock,
        { .blocked = [this](const blocked_part& block) { blocked.push_back(block.part); },
            .released =
                [this](std::string_view part, std::string_view reason) {
                    released.push_back(std::string(part) + ": " + std::string(reason));
                },
            .sound = [this](const sound_part& report) { sound.push_back(report); } },
        {} };
    int targets = 0;

    void end(const parts& names, bool begun = true, const parts& soundNames = {})
    {
        quarantine.targetEnded({ .target = "t" + std::to_string(targets++),
            .parts = names,
            .soundParts = soundNames,
            .answerBegun = begun });
        clock.advance(std::chrono::seconds(1));
    }
    void endAfter(const parts& names, int events)
    {
        quarantine.targetEnded({ .target = "t" + std::to_string(targets++),
            .parts = names,
            .answerBegun = true,
            .events = events });
        clock.advance(std::chrono::seconds(1));
    }
    bool refuses(const parts& names) const { return quarantine.find(names) != nullptr; }
};

} // namespace

TEST_CASE(
    "a part under which targets end one after the other is blocked, and only with what its requests share")
{
    // Guards against placing requests that end targets again and again, and against refusing sound requests
    // that share all other parts with them.
    struct row {
        std::string name;
        std::vector<parts> ends;
        std::vector<parts> answers; ///< One after each end.
        parts request;
        bool refused;
    };
    const std::vector<row> rows {
        { "one end is no proof", { { "a", "x" } }, {}, { "a", "x" }, false },
        { "two ends", { { "a", "x" }, { "a", "x" } }, {}, { "a", "x" }, true },
        { "only one of the parts", { { "a", "x" }, { "a", "x" } }, {}, { "a", "b" }, false },
        { "another first part", { { "a", "x" }, { "b", "x" } }, {}, { "c", "x" }, true },
        { "first part of the crashing requests", { { "a", "x" }, { "b", "x" } }, {}, { "a" }, false },
        { "an answer in between", { { "a", "x" }, { "a", "x" } }, { { "a", "x" } }, { "a", "x" }, false },
        { "an answer on the other part", { { "a", "x" }, { "a", "x" } }, { { "a", "b" } }, { "c", "x" },
            true },
        { "the crashing part first", { { "x", "a" }, { "x", "b" } }, {}, { "x" }, true },
        { "no parts", { {}, {} }, {}, {}, false },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        fixture f;
        for (std::size_t i = 0; i < item.ends.size(); ++i) {
            f.end(item.ends[i]);
            if (i < item.answers.size())
                f.quarantine.answered(item.answers[i]);
        }
        CHECK(f.refuses(item.request) == item.refused);
    }
}

TEST_CASE("ends that no part explains do not block parts that are answered elsewhere")
{
    // Guards against a loss of many targets at once that makes the common parts of sound requests look
    // guilty.
    fixture f;
    f.quarantine.answered(parts { "team", "book" });
    for (int i = 0; i < 30; ++i)
        f.quarantine.targetEnded(
            { .target = "t" + std::to_string(i), .parts = { "team", "book" }, .answerBegun = true });
    CHECK_FALSE(f.refuses({ "team", "book" }));
    f.clock.advance(std::chrono::milliseconds(200));
    f.quarantine.answered(parts { "team", "page" });
    for (int i = 0; i < 3; ++i)
        f.end({ "team", "page" + std::to_string(i) });
    CHECK_FALSE(f.refuses({ "team", "other" }));
}

TEST_CASE("a part that was sound before is blocked after more ends")
{
    // Guards against a part that turns into one that ends targets, for example with new weights.
    fixture f;
    f.quarantine.answered(parts { "a", "x" });
    int ends = 0;
    for (; ends < 10 && !f.refuses({ "a", "x" }); ++ends) {
        f.quarantine.answered(parts { "a", "b" });
        f.end({ "a", "x" });
    }
    CHECK(ends == 4);
    CHECK_FALSE(f.refuses({ "a", "b" }));
}

TEST_CASE("requests that waited at an ended target count less, and nothing beside one that was begun")
{
    // Guards against accusing the requests that a target had not begun to answer when another one ended it.
    fixture f;
    for (int i = 0; i < 3; ++i) {
        f.quarantine.targetEnded(
            { .target = "t" + std::to_string(f.targets), .parts = { "w" }, .answerBegun = false });
        f.end({ "x" });
    }
    CHECK(f.refuses({ "x" }));
    CHECK_FALSE(f.refuses({ "w" }));
    int ends = 0;
    for (; ends < 10 && !f.refuses({ "v" }); ++ends)
        f.end({ "v" }, false);
    CHECK(ends == 4);
}

TEST_CASE(
    "an end is evidence however far the answer had come, less in the middle and not against sound parts")
{
    // Guards against a part that is never blocked since its targets end after their first event (review case
    // 12), and against blocking what the streams have in common that an end has cut.
    struct row {
        std::string name;
        int events; ///< Of the answers when their targets end.
        parts answered; ///< Before all ends.
        int reached; ///< Events of another answer with the part after each end; 0 if there is none.
        std::optional<int> ends; ///< After which the part is blocked.
    };
    const std::vector<row> rows {
        { "first event", 1, {}, 0, 2 },
        { "last event of the beginning", 7, {}, 0, 2 },
        { "middle of the stream", 8, {}, 0, 4 },
        { "long stream", 5000, {}, 0, 4 },
        { "first event, answered before", 1, { "x" }, 0, 4 },
        { "middle of the stream, answered before", 30, { "x" }, 0, std::nullopt },
        { "first event, another answer comes further", 1, {}, 8, std::nullopt },
        { "middle of the stream, another answer comes further", 30, {}, 32, std::nullopt },
        { "middle of the stream, another answer comes less far", 30, {}, 16, 4 },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.quarantine.answered(item.answered);
        int ends = 0;
        for (; ends < 12 && !f.refuses({ "a", "x" }); ++ends) {
            f.endAfter({ "a" + std::to_string(ends), "x" }, item.events);
            if (item.reached > 0)
                f.quarantine.stageReached(parts { "x" }, answerStage(item.reached));
        }
        CHECK(f.refuses({ "a", "x" }) == item.ends.has_value());
        if (item.ends)
            CHECK(ends == *item.ends);
    }
}

TEST_CASE("the answer that began last is kept of all that an end has cut")
{
    // Guards against a part that is never found beside the many streams that ran at its targets.
    fixture f;
    for (int end = 0; end < 2; ++end) {
        for (int stream = 0; stream < 20; ++stream)
            f.quarantine.targetEnded({ .target = "t" + std::to_string(end),
                .parts = { "s" + std::to_string(stream) + "." + std::to_string(end) },
                .answerBegun = true,
                .events = 100 + stream });
        f.quarantine.targetEnded(
            { .target = "t" + std::to_string(end), .parts = { "x" }, .answerBegun = true, .events = 1 });
        f.clock.advance(std::chrono::seconds(1));
    }
    CHECK(f.refuses({ "x" }));
}

TEST_CASE("a block ends when an answer with its part comes further, here or elsewhere")
{
    // Guards against a sound part that stays refused while its streams run, and against lifting a block for
    // an answer that has not come as far.
    fixture f;
    f.endAfter({ "x" }, 1);
    f.endAfter({ "x" }, 1);
    REQUIRE(f.refuses({ "x" }));
    f.quarantine.stageReached(parts { "x" }, 1);
    CHECK_FALSE(f.refuses({ "x" }));
    REQUIRE(f.sound.size() == 1);
    CHECK(f.sound[0].stage == 1);
    fixture other;
    other.endAfter({ "x" }, 1);
    other.endAfter({ "x" }, 1);
    other.quarantine.soundReported({ .part = "x", .refutes = true, .stage = 0 });
    CHECK(other.refuses({ "x" }));
    other.quarantine.soundReported(f.sound[0]);
    CHECK_FALSE(other.refuses({ "x" }));
    // Of a block that another process tells it is not known how far the answers had come.
    other.quarantine.blockReported({ .part = "y", .with = { "y" }, .ends = 2, .targets = { "u", "v" } });
    other.quarantine.stageReached(parts { "y" }, 3);
    CHECK(other.refuses({ "y" }));
}

TEST_CASE("while many targets end for other reasons, more ends are required")
{
    // Guards against a part of few requests that is at two of many ended targets by chance.
    fixture f;
    for (int i = 0; i < 12; ++i)
        f.end({ "other" + std::to_string(i) });
    int ends = 0;
    for (; ends < 10 && !f.refuses({ "x" }); ++ends)
        f.end({ "x" });
    CHECK(ends == 3);
}

TEST_CASE("an end that a blocked part explains is no evidence against others")
{
    // Guards against blocking the parts of sound requests that ran at the same targets.
    fixture f;
    f.end({ "x" });
    f.end({ "x" });
    for (int i = 0; i < 5; ++i) {
        f.quarantine.targetEnded(
            { .target = "t" + std::to_string(f.targets), .parts = { "rare" }, .answerBegun = true });
        f.end({ "x" });
    }
    CHECK(f.refuses({ "x" }));
    CHECK_FALSE(f.refuses({ "rare" }));
}

TEST_CASE("what was taken for the cause is released when another part explains the ends")
{
    // Guards against a sound part that stays refused since it was first seen with one that ends targets.
    fixture f;
    f.end({ "a", "x" });
    f.end({ "a", "x" });
    CHECK(f.refuses({ "a", "x" }));
    f.end({ "a", "y" });
    CHECK(f.refuses({ "a", "z" }));
    CHECK_FALSE(f.refuses({ "x" }));
    CHECK_FALSE(f.refuses({ "b", "x" }));
}

TEST_CASE("reports of other processes have the same effect as own answers, and are given where needed")
{
    // Guards against a sound part that stays refused where it is not answered.
    fixture f;
    f.end({ "x" });
    f.end({ "x" });
    REQUIRE(f.refuses({ "x" }));
    f.quarantine.soundReported({ .part = "x" });
    CHECK_FALSE(f.refuses({ "x" }));
    f.end({ "x" });
    f.end({ "x" });
    REQUIRE(f.refuses({ "x" }));
    f.quarantine.soundReported({ .part = "x", .refutes = true });
    CHECK_FALSE(f.refuses({ "x" }));

    fixture other;
    other.quarantine.answered(parts { "x" });
    other.quarantine.blockReported({ .part = "x", .with = { "x" }, .ends = 2 });
    CHECK_FALSE(other.refuses({ "x" }));
    REQUIRE(other.sound.size() == 1);
    CHECK_FALSE(other.sound[0].refutes);
    other.quarantine.blockReported({ .part = "x", .with = { "x" }, .ends = 4 });
    CHECK(other.refuses({ "x" }));
    other.quarantine.answered(parts { "x" });
    CHECK_FALSE(other.refuses({ "x" }));
    CHECK(other.sound.back().refutes);
}

TEST_CASE("a block ends by time, and one further end renews it for longer")
{
    // Guards against a row of ended targets after each release, and against blocks that never end.
    fixture f;
    f.end({ "x" });
    f.end({ "x" });
    const base::duration first = f.quarantine.remaining("x");
    CHECK(first <= std::chrono::minutes(10));
    f.clock.advance(std::chrono::minutes(11));
    f.quarantine.removeExpired();
    CHECK_FALSE(f.refuses({ "x" }));
    f.end({ "x" });
    CHECK(f.refuses({ "x" }));
    CHECK(f.quarantine.remaining("x") > std::chrono::minutes(15));
    f.clock.advance(std::chrono::hours(9));
    f.quarantine.removeExpired();
    f.end({ "x" });
    CHECK_FALSE(f.refuses({ "x" }));
}

TEST_CASE("a blocked part is tried from time to time, ever less often")
{
    // Guards against a sound part that stays refused, and against trials that end a row of targets.
    fixture f;
    f.end({ "x" });
    CHECK_FALSE(f.quarantine.dueTrial("x"));
    f.end({ "x" });
    CHECK_FALSE(f.quarantine.dueTrial("x"));
    CHECK(f.quarantine.retryAfter("x") <= std::chrono::seconds(20));
    std::vector<int> trials;
    for (int second = 0; second < 300; ++second) {
        f.clock.advance(std::chrono::seconds(1));
        if (const auto number = f.quarantine.dueTrial("x")) {
            trials.push_back(*number);
            f.quarantine.trialStarted({ .part = "x", .number = *number });
            f.quarantine.trialStarted({ .part = "x", .number = *number }); // As told by another process.
            f.quarantine.targetEnded(
                { .target = "trial" + std::to_string(*number), .parts = { "x" }, .answerBegun = true });
        }
    }
    CHECK(trials == std::vector<int> { 0, 1, 2 });
    f.quarantine.blockReported({ .part = "y", .with = { "y" } }, true);
    f.clock.advance(std::chrono::minutes(5));
    CHECK_FALSE(f.quarantine.dueTrial("y"));
}

TEST_CASE("an operator's block holds until it is withdrawn")
{
    // Guards against an answer that was on its way and lifts what an operator has decided.
    fixture f;
    f.quarantine.answered(parts { "x" });
    f.quarantine.blockReported({ .part = "x", .with = { "x" } }, true);
    CHECK(f.refuses({ "a", "x" }));
    f.quarantine.answered(parts { "x" });
    f.clock.advance(std::chrono::hours(48));
    f.quarantine.removeExpired();
    CHECK(f.refuses({ "a", "x" }));
    f.quarantine.withdrawn("x");
    CHECK_FALSE(f.refuses({ "a", "x" }));
}

TEST_CASE("the memory is bounded whatever parts callers name")
{
    // Guards against a caller that sends thousands of parts.
    fixture f;
    for (int i = 0; i < 20'000; ++i) {
        const std::string name = "p" + std::to_string(i);
        f.quarantine.answered(parts { "a" + name });
        f.quarantine.targetEnded(
            { .target = "t" + name, .parts = { name, name + "b" }, .answerBegun = true });
        f.quarantine.targetEnded(
            { .target = "u" + name, .parts = { name, name + "b" }, .answerBegun = true });
        f.clock.advance(std::chrono::milliseconds(150));
        if (i % 100 == 0)
            f.quarantine.removeExpired();
    }
    CHECK(f.quarantine.blocks().size() <= 1024);
    CHECK(f.quarantine.evidence() <= 128);
    CHECK(f.quarantine.suspects() <= 1024);
}

TEST_CASE("isolated teams share no names of parts, and long names are shortened")
{
    // Guards against a team that blocks the prompts of another one, which is isolated from it.
    CHECK(scopedPartName("m", "", "p") != scopedPartName("m", "team", "p"));
    CHECK(scopedPartName("m", "a", "p") != scopedPartName("m", "b", "p"));
    CHECK(scopedPartName("m", "", "p") != scopedPartName("n", "", "p"));
    CHECK(scopedPartName("m", "", std::string(5000, 'p')).size() < 100);
    CHECK(scopedPartName("m", "", std::string(5000, 'p')) != scopedPartName("m", "", std::string(5001, 'p')));
}
