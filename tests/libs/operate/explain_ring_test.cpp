#include <operate/operate.h>

#include <doctest/doctest.h>

#include <string>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::operate;

TEST_CASE("a request is explained with its candidates and attempts")
{
    // Guards against an explanation without the reason for a choice or the verdict of an attempt.
    base::manual_clock time;
    explain_ring ring(time);
    ring.begin("r1", "bergvik", "transcribe-8b");
    ring.addDecision("r1",
        { .at = std::chrono::microseconds(1500),
            .chosen = "e2",
            .candidates = { { .target = "e1", .costMs = 90, .reason = "draining" },
                { .target = "e2", .costMs = 120.5, .reason = "context_hint" } } });
    ring.addAttempt("r1",
        { .target = "e2",
            .start = std::chrono::milliseconds(2),
            .elapsed = std::chrono::milliseconds(5),
            .verdict = base::verdict::NotRun,
            .reason = "overloaded" });
    time.advance(std::chrono::milliseconds(20));
    const auto running = nlohmann::json::parse(ring.find("r1").value());
    CHECK(running["finished"].is_null());
    ring.finish("r1", base::verdict::Ran, "");
    const auto out = nlohmann::json::parse(ring.find("r1").value());
    CHECK(out["team"] == "bergvik");
    CHECK(out["decisions"][0]["at_ms"] == 1.5);
    CHECK(out["decisions"][0]["candidates"][1]["cost_ms"] == 120.5);
    CHECK(out["decisions"][0]["candidates"][0]["reason"] == "draining");
    CHECK(out["attempts"][0]["verdict"] == "not_run");
    CHECK(out["attempts"][0]["elapsed_ms"] == 5.0);
    CHECK(out["finished"]["elapsed_ms"] == 20.0);
    CHECK(!ring.find("r2"));
}

TEST_CASE("the ring stays within its limits and stores the latest requests, for any texts")
{
    // Guards against unbounded memory usage under load, and against returning the record of another id.
    CHECK(rc::check("bounds", [] {
        base::manual_clock time;
        const explain_ring::options limits { .requests = *rc::gen::inRange<std::size_t>(1, 30),
            .bytes = *rc::gen::inRange<std::size_t>(2000, 40'000),
            .candidates = 2,
            .decisions = 2,
            .attempts = 2,
            .textBytes = 16 };
        explain_ring ring(limits, time);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::string>>>(
            rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::arbitrary<std::string>()));
        for (const auto& [number, text] : steps) {
            const std::string id = "r" + std::to_string(number);
            ring.begin(id, text, text);
            for (int i = 0; i < 3; ++i) {
                ring.addDecision(id, { .chosen = text, .candidates = { 3, { text, 1.0, text } } });
                ring.addAttempt(id, { .target = text, .reason = text });
            }
            ring.finish(id, base::verdict::Ran, text);
            RC_ASSERT(ring.size() <= limits.requests);
            RC_ASSERT(ring.bytes() <= limits.bytes);
            const auto found = ring.find(id);
            RC_ASSERT(found.has_value());
            const auto out = nlohmann::json::parse(*found);
            RC_ASSERT(out["request_id"] == id);
            RC_ASSERT(out["decisions"].size() == 2U);
            RC_ASSERT(out["omitted_decisions"] == 1);
            RC_ASSERT(out["decisions"][0]["omitted_candidates"] == 1);
            RC_ASSERT(out["omitted_attempts"] == 1);
        }
    }));
}

TEST_CASE("a faulty section does not affect the dump of the others")
{
    // Guards against losing the entire dump when one module fails.
    base::manual_clock time;
    std::string logged;
    const base::event_log log({ .output = [&](std::string_view line) { logged += line; } });
    state_dump dump({ .process = "e\"1", .sectionBytes = 100, .log = &log }, time);
    dump.add("good", [] { return std::string(R"({"n":1})"); });
    dump.add("broken", [] { return std::string("{"); });
    dump.add("large", [] { return "\"" + std::string(200, 'x') + "\""; });
    dump.add("throws", []() -> std::string { throw std::runtime_error("no \xff state"); });
    dump.add("gone", [] { return std::string("1"); });
    dump.remove("gone");
    const auto out = nlohmann::json::parse(dump.render());
    CHECK(out["process"] == "e\"1");
    CHECK(out["sections"].size() == 4);
    CHECK(out["sections"]["good"]["n"] == 1);
    for (const std::string section : { "broken", "large", "throws" }) {
        CHECK(out["sections"][section].contains("error"));
        CHECK(logged.find("section=" + section) != std::string::npos);
    }
}

TEST_CASE("a dump is valid JSON for any text that a section returns")
{
    // Guards against a section whose text modifies other parts of the dump.
    CHECK(rc::check("valid", [](const std::string& text) {
        base::manual_clock time;
        state_dump dump({ .process = text }, time);
        dump.add(text, [&] { return text; });
        RC_ASSERT(nlohmann::json::accept(dump.render()));
    }));
}
