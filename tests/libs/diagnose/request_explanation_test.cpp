#include <diagnose/diagnose.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace marigold::diagnose;

namespace {

/// Renders a log line in the format of the processes; \a fields is the text of additional JSON fields.
std::string line(int milliseconds, std::string_view process, std::string_view event, std::string_view name,
    std::string_view fields)
{
    return fmt::format(
        R"({{"time":"2026-12-04T07:30:{:02}.{:03}Z","level":"info","event":"{}","name":"{}","process":"{}"{}{}}})",
        milliseconds / 1000, milliseconds % 1000, event, name, process, fields.empty() ? "" : ",", fields);
}

std::string ended(int at, std::string_view request, std::string_view fields)
{
    return line(at, "relay-1", "MB-2001", "relay_request_ended",
        fmt::format(R"("request":"{}",{})", request, fields));
}

std::string config(int at, std::string_view process, int version)
{
    return line(at, process, "MB-2003", "relay_config_in_force", fmt::format(R"("version":"{}")", version));
}

request_explanation explained(const std::vector<std::string>& lines)
{
    log_collection logs({ .request = "r1" });
    for (const std::string& each : lines)
        logs.add(each);
    return explain(logs);
}

bool anyHas(const std::vector<std::string>& lines, std::string_view text)
{
    return std::ranges::any_of(
        lines, [&](const std::string& each) { return each.find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("the explanation of each outcome states its cause")
{
    // Guards against an explanation that only repeats the outcome.
    struct row {
        std::string_view fields;
        std::string_view cause;
    };
    const std::vector<row> rows {
        { R"("outcome":"own_answer","status":"503","age_ms":"180","reason":"no_target")",
            "no target of its service could be used" },
        { R"("outcome":"own_answer","status":"503","age_ms":"1500","reason":"targets_busy")",
            "no target of its service had free capacity" },
        { R"("outcome":"own_answer","status":"503","age_ms":"0","reason":"no_configuration")",
            "no configuration" },
        { R"("outcome":"own_answer","status":"503","age_ms":"0","reason":"stopping")", "was stopping" },
        { R"("outcome":"own_answer","status":"404","age_ms":"0","config":"9","reason":"no_route")",
            "configuration 9" },
        { R"("outcome":"own_answer","status":"401","age_ms":"0","config":"9","reason":"unknown_key")",
            "key is unknown" },
        { R"("outcome":"caller_gone","status":"0","age_ms":"900","attempts":"1","target":"t7","placed_ms":"700","first_ms":"-","shared_tokens":"0")",
            "waited 700 ms for a slot at t7" },
        { R"("outcome":"broken","status":"0","age_ms":"900","target":"t7","reason":"connection reset")",
            "was interrupted" },
        { R"("outcome":"answered","status":"500","age_ms":"90","target":"t7","attempts":"2")",
            "t7 itself returned status 500" },
        { R"("outcome":"own_answer","status":"502","age_ms":"90","target":"t7","reason":"reset")",
            "by the process itself (reset)" },
        { R"("outcome":"own_answer","status":"504","age_ms":"90","attempts":"1","target":"t7","placed_ms":"80","first_ms":"-","shared_tokens":"0","reason":"time_limit")",
            "time limit passed" },
        { R"("outcome":"answered","status":"200","age_ms":"600","target":"t7","placed_ms":"10","expected_ms":"80","first_ms":"550","shared_tokens":"900","kept_tokens":"100")",
            "540 ms, waiting for the first byte of t7; 80 ms were expected (100 of 900 shared" },
        { R"("outcome":"answered","status":"200","age_ms":"600","target":"t7","placed_ms":"400","first_ms":"550","shared_tokens":"0")",
            "400 ms, waiting for a slot" },
        { R"("outcome":"answered","status":"200","age_ms":"900","target":"t7","placed_ms":"0","first_ms":"50","pause_ms":"700","shared_tokens":"0")",
            "longest pause was 700 ms" },
    };
    for (const row& each : rows) {
        const auto out = explained({ ended(1000, "r1", each.fields) });
        CHECK(out.found);
        CHECK_MESSAGE(out.cause.find(each.cause) != std::string::npos, out.cause);
    }
}

TEST_CASE("a paused process is detected by a gap in its log")
{
    // Guards against attributing the pause of a VM to the target.
    const std::string end
        = R"("outcome":"answered","status":"200","age_ms":"12000","target":"t7","placed_ms":"0","first_ms":"400","shared_tokens":"0")";
    const std::string other = R"("outcome":"answered","status":"200","age_ms":"50","target":"t7")";
    std::vector<std::string> lines;
    for (int at = 0; at < 20'000; at += 100)
        if (at < 6'000 || at > 16'000)
            lines.push_back(ended(at, "other", other));
    lines.push_back(ended(20'000, "r1", end));
    const auto out = explained(lines);
    CHECK(out.cause.find("was paused or disconnected") != std::string::npos);
}

TEST_CASE("the timeline shows attempts, and lines of other processes only if they concern the target")
{
    // Guards against a timeline with unrelated lines.
    const auto out = explained({
        config(100, "relay-1", 3),
        line(1000, "relay-1", "MB-2002", "relay_attempt_failed",
            R"("request":"r1","target":"t6","verdict":"not_run","reason":"refused with 503","retry":"yes")"),
        line(1100, "relay-2", "MB-2011", "relay_order_ended", R"("target":"t7","outcome":"accepted")"),
        line(1110, "relay-2", "MB-2011", "relay_order_ended", R"("target":"t9","outcome":"accepted")"),
        line(1120, "relay-2", "MB-2006", "relay_store_lost", R"("message":"x")"),
        ended(
            1500, "r1", R"("outcome":"answered","status":"500","age_ms":"600","target":"t7","attempts":"2")"),
    });
    std::vector<std::string> names;
    for (const auto& event : out.timeline)
        names.push_back(event.name);
    CHECK(names
        == std::vector<std::string> { "relay_config_in_force", "request_arrived", "relay_attempt_failed",
            "relay_order_ended", "relay_request_ended" });
    CHECK(out.timeline.back().at == std::chrono::milliseconds(600));
    CHECK(out.cause.find("t6") != std::string::npos);
}

TEST_CASE("clock offsets are detected and corrected")
{
    // Guards against a wrong order of events because of clock offsets.
    CHECK(rc::check("clocks", [] {
        const int offset = *rc::gen::inRange(-5'000, 5'000);
        std::vector<log_record> records;
        for (int i = 0; i < 7; ++i) {
            const int spread = *rc::gen::inRange(0, 100);
            records.push_back(*parseLogLine(config(20'000 + 1000 * i, "a", i)));
            records.push_back(*parseLogLine(config(20'000 + 1000 * i + offset + spread, "b", i)));
        }
        const clock_offsets clocks(records, "a");
        RC_ASSERT(clocks.offsetOf("a").count() == 0);
        const auto found = clocks.offsetOf("b").count();
        if (std::abs(offset) > 400)
            RC_ASSERT(std::abs(found - offset) <= 100);
        else
            RC_ASSERT(found == 0 || std::abs(found - offset) <= 100);
    }));
}

TEST_CASE("a request that no process logged is explained by the activity of the processes")
{
    // Guards against a missing explanation for a request whose process ended.
    std::vector<std::string> lines { line(0, "relay-2", "MB-2012", "relay_process", R"("state":"started")"),
        line(50, "relay-2", "MB-2014", "relay_log_lines_dropped", R"("lines":"31")") };
    for (int at = 0; at < 9'000; at += 500)
        lines.push_back(config(at, at < 4'000 && at % 1000 == 0 ? "relay-1" : "relay-2", at));
    lines.push_back(line(8'600, "relay-2", "MB-2012", "relay_process", R"("state":"started")"));
    const auto out = explained(lines);
    CHECK_FALSE(out.found);
    CHECK(anyHas(out.evidence, "relay-1 logged nothing in the last 5600 ms"));
    CHECK(anyHas(out.evidence, "relay-2 dropped 31 log lines"));
    CHECK(anyHas(out.evidence, "relay-2 restarted 1 time(s), the first time after 8600 ms"));
}

TEST_CASE("a request whose process ended is explained by the last lines of that process")
{
    // Guards against a lost order that cannot be attributed to a killed process.
    const auto at = [](int time, std::string_view process) { return config(time, process, time); };
    std::vector<std::string> lines;
    for (int time = 0; time < 3'000; time += 200)
        lines.push_back(at(time, "relay-1"));
    lines.push_back(
        line(3'000, "relay-1", "MB-2016", "relay_request_placed", R"("request":"r1","target":"t7")"));
    lines.push_back(at(3'100, "relay-1"));
    for (int time = 0; time < 12'000; time += 200)
        lines.push_back(at(time, "relay-2"));
    const auto gone = explained(lines);
    CHECK_FALSE(gone.found);
    CHECK(gone.process == "relay-1");
    CHECK(gone.cause.find("sent to t7") != std::string::npos);
    CHECK(gone.cause.find("logged nothing after 100 ms") != std::string::npos);
    lines.push_back(line(6'000, "relay-1", "MB-2012", "relay_process", R"("state":"started")"));
    lines.push_back(at(6'100, "relay-1"));
    const auto back = explained(lines);
    CHECK(back.cause.find("last line was logged 100 ms after the send") != std::string::npos);
    CHECK(back.cause.find("restarted after 3000 ms") != std::string::npos);
}

TEST_CASE(
    "only other requests that ended for the same reason, at the same process and about the same time, are "
    "counted")
{
    // Guards against presenting one of many refusals in an overload as a single case.
    const std::string refused = R"("outcome":"own_answer","status":"503","age_ms":"9","reason":"no_target")";
    std::vector<std::string> lines { ended(8'000, "old", refused) };
    for (int i = 0; i < 5; ++i)
        lines.push_back(ended(10'000 + i, "x" + std::to_string(i), refused));
    lines.push_back(ended(10'010, "r1", refused));
    CHECK(anyHas(explained(lines).evidence, "5 other requests"));
}

TEST_CASE("lines that are not log lines are skipped")
{
    // Guards against failing on a corrupt log or on prefixes added by log collectors.
    CHECK(rc::check("bytes", [](const std::string& bytes) { parseLogLine(bytes); }));
    const std::string good = ended(1000, "r1", R"("outcome":"answered","status":"200","age_ms":"1")");
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        CHECK_FALSE(parseLogLine(good.substr(0, cut)));
    const auto prefixed = parseLogLine("  1.68 vm-7 " + good);
    REQUIRE(prefixed);
    CHECK(prefixed->process == "relay-1");
    CHECK(prefixed->field("status") == "200");
    for (const std::string_view bad : { R"({"time":"2026-13-04T07:30:00.000Z","event":"MB-1","process":"p"})",
             R"({"time":"yesterday","event":"MB-1","process":"p"})",
             R"({"time":7,"event":"MB-1","process":"p"})", R"([1,{"time":"x"}])",
             R"({"event":"MB-1","process":"p"})" })
        CHECK_FALSE(parseLogLine(bad));
}
