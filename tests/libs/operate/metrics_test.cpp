#include <operate/operate.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::operate;

namespace {

/// Returns the distinct values of the label `team` in \a text.
std::set<std::string> teamsIn(const std::string& text)
{
    std::set<std::string> teams;
    constexpr std::string_view label = "team=\"";
    for (std::size_t at = text.find(label); at != std::string::npos; at = text.find(label, at + 1)) {
        const std::size_t begin = at + label.size();
        teams.insert(text.substr(begin, text.find('"', begin) - begin));
    }
    return teams;
}

bool hasLine(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("every measured quantity appears under its fixed name")
{
    // Guards against a renamed metric, which would break dashboards and alerts without an error.
    base::manual_clock time;
    metrics measured(time);
    measured.timeToFirstToken("bergvik", std::chrono::milliseconds(300));
    measured.interTokenTime(std::chrono::milliseconds(33));
    measured.promptTokens("bergvik", 1000, 250);
    measured.linkBytes(link_tier::Disk, byte_direction::Received, 4096);
    measured.outcome(base::verdict::Ran, {});
    measured.outcome(base::verdict::NotRun, base::error_reason::Overloaded);
    measured.retry(retry_kind::Denied);
    measured.shed("bergvik");
    measured.rampState({ .step = 2, .steps = 8, .limit = 4 });
    measured.configurationVersion(77);
    measured.controlBytes(control_channel::Membership, byte_direction::Sent, 300);
    measured.kvCall(kv_operation::Put, base::error_reason::Conflict);
    const std::string text = measured.exposition();
    std::ostringstream page;
    page << std::ifstream(std::filesystem::path(MARIGOLD_SOURCE_ROOT) / "docs" / "api.md").rdbuf();
    constexpr std::string_view typeLine = "# TYPE ";
    for (std::size_t at = text.find(typeLine); at != std::string::npos; at = text.find(typeLine, at + 1)) {
        const std::size_t begin = at + typeLine.size();
        const std::string name = text.substr(begin, text.find(' ', begin) - begin);
        CHECK_MESSAGE(page.str().find("`" + name + "`") != std::string::npos, name, " is not in docs/api.md");
    }
    for (const std::string line : {
             R"(marigold_time_to_first_token_seconds_bucket{team="bergvik",le="0.25"} 0)",
             R"(marigold_time_to_first_token_seconds_bucket{team="bergvik",le="0.35"} 1)",
             R"(marigold_inter_token_seconds_bucket{le="0.03"} 0)",
             R"(marigold_inter_token_seconds_bucket{le="0.034"} 1)",
             R"(marigold_prompt_tokens_total{team="bergvik"} 1000)",
             R"(marigold_prompt_tokens_recomputed_total{team="bergvik"} 250)",
             R"(marigold_link_bytes_total{direction="received",tier="disk"} 4096)",
             R"(marigold_requests_total{reason="ok",verdict="ran"} 1)",
             R"(marigold_requests_total{reason="overloaded",verdict="not_run"} 1)",
             R"(marigold_retries_total{kind="denied"} 1)",
             R"(marigold_sheds_total{team="bergvik"} 1)",
             "marigold_ramp_step 2",
             "marigold_ramp_steps 8",
             "marigold_ramp_limit 4",
             "marigold_configuration_version 77",
             R"(marigold_control_bytes_total{channel="membership",direction="sent"} 300)",
             R"(marigold_kv_calls_total{operation="put",outcome="conflict"} 1)",
         })
        CHECK_MESSAGE(hasLine(text, line), line, "\n", text);
}

TEST_CASE("2,800 teams result in at most 50 labels and one \"other\"")
{
    // Guards against a time series for each of 2,800 teams in each of 370 entries.
    CHECK(rc::check("bounded label", [] {
        base::manual_clock time;
        metrics measured(time);
        const int rounds = *rc::gen::inRange(2, 5);
        for (int round = 0; round < rounds; ++round) {
            const int shift = *rc::gen::inRange(0, 2800);
            for (int i = 0; i < 2800; ++i) {
                const std::string team = "team-" + std::to_string((i + shift) % 2800);
                measured.promptTokens(team, static_cast<std::uint64_t>(1'000'000 / (i + 1)), 1);
                measured.shed(team);
            }
            time.advance(std::chrono::minutes(11));
            measured.shed("team-1");
            const auto teams = teamsIn(measured.exposition());
            RC_ASSERT(teams.size() <= 51U);
            RC_ASSERT(teams.contains("other"));
        }
    }));
}

TEST_CASE("the largest teams retain their labels")
{
    // Guards against labels for the first 50 teams instead of the largest ones.
    CHECK(rc::check("by volume", [] {
        base::manual_clock time;
        team_labels labels({ .named = 3, .tracked = 100 }, time);
        const auto volumes = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(1, 1000));
        for (std::size_t i = 0; i < volumes.size(); ++i)
            labels.label("t" + std::to_string(i), static_cast<std::uint64_t>(volumes[i]));
        RC_ASSERT(labels.refresh().empty());
        time.advance(std::chrono::minutes(10));
        labels.refresh();
        RC_ASSERT(labels.namedCount() == 3U);
        int smallestNamed = 1000;
        int largestOther = 0;
        for (std::size_t i = 0; i < volumes.size(); ++i) {
            const std::string team = "t" + std::to_string(i);
            if (labels.label(team, 0) == team)
                smallestNamed = std::min(smallestNamed, volumes[i]);
            else
                largestOther = std::max(largestOther, volumes[i]);
        }
        RC_ASSERT(static_cast<double>(largestOther) <= smallestNamed * 1.5);
    }));
}

TEST_CASE("a team with many tokens in few requests gets a label")
{
    // Guards against a volume that counts only requests, so that the team with the most tokens is "other".
    base::manual_clock time;
    metrics measured(time, { .named = 2 });
    for (const std::string team : { "a", "b", "large" })
        for (int i = 0; i < (team == "large" ? 1 : 10); ++i)
            measured.promptTokens(team, team == "large" ? 100'000 : 100, 0);
    CHECK(!teamsIn(measured.exposition()).contains("large"));
    time.advance(std::chrono::minutes(11));
    measured.promptTokens("large", 5, 0);
    CHECK(hasLine(measured.exposition(), R"(marigold_prompt_tokens_total{team="large"} 5)"));
}

TEST_CASE("the table of teams is limited, and idle teams are evicted")
{
    // Guards against memory that grows with team names chosen by callers.
    base::manual_clock time;
    team_labels labels({ .named = 2, .tracked = 10 }, time);
    for (int i = 0; i < 1000; ++i)
        labels.label("t" + std::to_string(i));
    CHECK(labels.trackedCount() == 10);
    for (int round = 0; round < 3; ++round) {
        time.advance(std::chrono::minutes(10));
        labels.refresh();
    }
    CHECK(labels.trackedCount() == 2);
    CHECK(labels.label("other") == team_labels::otherLabel);
}
