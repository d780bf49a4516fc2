#include "request_explanation.h"

#include "clock_offsets.h"

#include <algorithm>
#include <array>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace marigold::diagnose {

namespace {

constexpr std::string_view requestEnded = "relay_request_ended";
constexpr std::string_view attemptFailed = "relay_attempt_failed";
constexpr std::string_view requestPlaced = "relay_request_placed";

/// The timeline includes lines that belong to no request from this long before the arrival.
constexpr milliseconds timelineLookBack { 2000 };

/// Maximum time between the last lines of two processes that are considered to end at the same time.
constexpr milliseconds maxEndDifference { 1500 };

/// Data from which the cause of the end of a request is determined.
struct request_facts {
    const log_collection& logs;
    const log_record& end;
    std::vector<const log_record*> failedAttempts;
    milliseconds arrival { 0 }; ///< By the clock of the process that served it.
    milliseconds longestLogGap { 0 }; ///< Longest period of the request in which the process logged nothing.

    milliseconds age() const { return end.duration("age_ms").value_or(milliseconds(0)); }
    std::string_view reason() const { return end.field("reason"); }
    std::string_view outcome() const { return end.field("outcome"); }
    std::string_view target() const { return end.field("target"); }
    bool isRefused(std::string_view reason) const
    {
        return outcome() == "own_answer" && this->reason() == reason;
    }
};

std::string lastFailure(const request_facts& facts)
{
    if (facts.failedAttempts.empty())
        return {};
    const log_record& last = *facts.failedAttempts.back();
    return fmt::format(" Last attempt, at {}: {} ({}).", last.field("target"), last.field("reason"),
        last.field("verdict") == "not_run"   ? "it did not run"
            : last.field("verdict") == "ran" ? "it ran"
                                             : "it may have run");
}

/// Describes the phase in which a request spent most of its time.
std::string describeLongestPhase(const request_facts& facts)
{
    const auto placed = facts.end.duration("placed_ms");
    const auto first = facts.end.duration("first_ms");
    if (!placed)
        return fmt::format("It waited {} ms for a target and was never sent.", facts.age().count());
    const std::string fetchedNote = facts.end.field("shared_tokens") == "0"
        ? std::string()
        : fmt::format(" ({} of {} shared prompt tokens were fetched, the others were prefilled)",
            facts.end.field("kept_tokens"), facts.end.field("shared_tokens"));
    if (!first)
        return fmt::format("It waited {} ms for a slot at {}, which then sent no first byte within {} ms{}.",
            placed->count(), facts.target(), (facts.age() - *placed).count(), fetchedNote);
    const milliseconds prefill = *first - *placed;
    const milliseconds rest = facts.age() - *first;
    if (*placed >= prefill && *placed >= rest && !facts.failedAttempts.empty())
        return fmt::format("It spent most of its time, {} ms, before its last attempt was sent, with {} "
                           "failed attempt(s).{}",
            placed->count(), facts.failedAttempts.size(), lastFailure(facts));
    if (*placed >= prefill && *placed >= rest)
        return fmt::format(
            "It spent most of its time, {} ms, waiting for a slot at a target.", placed->count());
    if (prefill >= rest)
        return fmt::format(
            "It spent most of its time, {} ms, waiting for the first byte of {}; {} ms were expected{}.",
            prefill.count(), facts.target(), facts.end.field("expected_ms"), fetchedNote);
    return fmt::format("It spent most of its time, {} ms, receiving the answer after the first byte, which "
                       "arrived after {} ms; "
                       "the longest pause was {} ms.",
        rest.count(), first->count(), facts.end.duration("pause_ms").value_or(milliseconds(0)).count());
}

bool targetFailed(const request_facts& facts)
{
    return facts.outcome() == "answered" && facts.end.field("status").starts_with('5');
}

/// Whether the process logged nothing for at least 500 ms and at least a third of the duration of the
/// request.
bool wasPaused(const request_facts& facts)
{
    constexpr milliseconds shortest { 500 };
    return facts.longestLogGap >= shortest && facts.longestLogGap * 3 >= facts.age();
}

struct cause_row {
    bool (*applies)(const request_facts&);
    std::string (*describe)(const request_facts&);
};

const std::array<cause_row, 13> causes { {
    { [](const request_facts& facts) { return facts.isRefused("targets_busy"); },
        [](const request_facts& facts) {
            return fmt::format(
                "Refused after {} ms, not run: no target of its service had free capacity in time.{}",
                facts.age().count(), lastFailure(facts));
        } },
    { [](const request_facts& facts) { return facts.isRefused("no_target"); },
        [](const request_facts& facts) {
            return fmt::format(
                "Refused after {} ms, not run: no target of its service could be used (none was "
                "registered, in service, or on the new weights in time).{}",
                facts.age().count(), lastFailure(facts));
        } },
    { [](const request_facts& facts) { return facts.isRefused("no_service"); },
        [](const request_facts&) {
            return std::string("Refused, not run: the route names a service that has no targets.");
        } },
    { [](const request_facts& facts) { return facts.isRefused("no_configuration"); },
        [](const request_facts&) {
            return std::string("Refused, not run: the process had no configuration yet.");
        } },
    { [](const request_facts& facts) { return facts.isRefused("stopping"); },
        [](const request_facts&) {
            return std::string("Refused, not run: the process was stopping when the request arrived.");
        } },
    { [](const request_facts& facts) {
         return facts.isRefused("no_route") || facts.isRefused("unknown_key");
     },
        [](const request_facts& facts) {
            return fmt::format("Refused, not run: {} in configuration {}.",
                facts.reason() == "no_route" ? "no route has its host and path" : "its key is unknown",
                facts.end.field("config"));
        } },
    { [](const request_facts& facts) { return facts.isRefused("time_limit"); },
        [](const request_facts& facts) {
            return fmt::format("Its time limit passed after {} ms, and it {}. {}{}", facts.age().count(),
                facts.end.field("verdict") == "not_run" ? "did not run" : "may have run",
                describeLongestPhase(facts), lastFailure(facts));
        } },
    { wasPaused,
        [](const request_facts& facts) {
            return fmt::format(
                "The process that served it was paused or disconnected for {} ms of the {} ms of the "
                "request, since it logged nothing in that time; the outcome was {}.",
                facts.longestLogGap.count(), facts.age().count(), facts.outcome());
        } },
    { [](const request_facts& facts) { return facts.outcome() == "caller_gone"; },
        [](const request_facts& facts) {
            return fmt::format("The caller disconnected after {} ms. {}{}", facts.age().count(),
                describeLongestPhase(facts), lastFailure(facts));
        } },
    { [](const request_facts& facts) { return facts.outcome() == "broken"; },
        [](const request_facts& facts) {
            return fmt::format("The answer of {} was interrupted after it had started ({}).", facts.target(),
                facts.reason());
        } },
    { targetFailed,
        [](const request_facts& facts) {
            return fmt::format("The target {} itself returned status {}, after {} attempt(s) in total.{}",
                facts.target(), facts.end.field("status"), facts.end.field("attempts"), lastFailure(facts));
        } },
    { [](const request_facts& facts) { return facts.outcome() == "own_answer"; },
        [](const request_facts& facts) {
            return fmt::format("Answered with {} by the process itself ({}).{}", facts.end.field("status"),
                facts.reason(), lastFailure(facts));
        } },
    { [](const request_facts&) { return true; },
        [](const request_facts& facts) {
            return fmt::format("Answered with {} after {} ms by {}. {}", facts.end.field("status"),
                facts.age().count(), facts.target(), describeLongestPhase(facts));
        } },
} };

std::string detailOf(const log_record& record)
{
    std::string out;
    for (const auto& [key, value] : record.fields)
        if (key != "request" && !value.empty() && value != "-")
            out += fmt::format("{}{}={}", out.empty() ? "" : " ", key, value);
    return out;
}

/// Describes how the process ended that sent a request to a target and did not log the end of the request.
std::string describeProcessEnd(const log_record& placed, const log_collection& logs)
{
    const process_activity& activity = logs.processes().at(placed.process);
    const auto restart = std::ranges::find_if(
        activity.restarts, [&](const process_restart& each) { return each.at >= placed.time; });
    if (restart == activity.restarts.end())
        return fmt::format("{} ended or was disconnected permanently: it logged nothing after {} ms.",
            placed.process, (activity.last - placed.time).count());
    return fmt::format(
        "{} ended unexpectedly: its last line was logged {} ms after the send, and it restarted "
        "after {} ms.",
        placed.process, (restart->lastLine - placed.time).count(), (restart->at - placed.time).count());
}

/// Lists possible reasons why the processes did not log a request.
std::vector<std::string> possibleReasonsForMissingLines(const log_collection& logs)
{
    std::vector<std::string> out;
    milliseconds last { 0 };
    for (const auto& [process, activity] : logs.processes())
        last = std::max(last, activity.last);
    for (const auto& [process, activity] : logs.processes()) {
        if (activity.droppedLines > 0)
            out.push_back(fmt::format("{} dropped {} log lines, which may include those of the request",
                process, activity.droppedLines));
        if (last - activity.last > maxEndDifference)
            out.push_back(fmt::format("{} logged nothing in the last {} ms of these logs", process,
                (last - activity.last).count()));
        if (!activity.restarts.empty())
            out.push_back(fmt::format("{} restarted {} time(s), the first time after {} ms", process,
                activity.restarts.size(), (activity.restarts.front().at - activity.first).count()));
    }
    return out;
}

/// Explains a request whose end was not logged, from the activity of the processes.
request_explanation explainMissing(const log_collection& logs)
{
    request_explanation out;
    const auto placed = std::ranges::find(logs.requestRecords(), requestPlaced, &log_record::name);
    if (placed == logs.requestRecords().end()) {
        out.cause
            = "No process logged this request: it reached no process, or the process that received it ended "
              "before it found a target.";
        out.evidence = possibleReasonsForMissingLines(logs);
    } else {
        out.process = placed->process;
        out.cause = fmt::format("It was sent to {} and its end was not logged. {}", placed->field("target"),
            describeProcessEnd(*placed, logs));
    }
    for (const log_record& record : logs.requestRecords())
        out.timeline.push_back({ .at = record.time - logs.requestRecords().front().time,
            .process = record.process,
            .name = record.name,
            .detail = detailOf(record) });
    return out;
}

/// Whether \a record, which belongs to no request, may be related to the request: it is from \a process, or
/// it concerns one of \a targets.
bool isRelated(const log_record& record, std::string_view process, const std::set<std::string_view>& targets)
{
    const std::string_view target = record.field("target");
    if (!target.empty())
        return targets.contains(target) && (record.process == process || record.name == "relay_order_ended");
    return record.process == process;
}

/// Collects the facts about the request that ended with \a end.
request_facts collectFacts(const log_collection& logs, const log_record& end)
{
    request_facts facts { .logs = logs, .end = end };
    facts.arrival = end.time - facts.age();
    for (const log_record& record : logs.requestRecords()) {
        facts.arrival = std::min(facts.arrival, record.time); // Logged ages are rounded.
        if (record.name == attemptFailed)
            facts.failedAttempts.push_back(&record);
    }
    for (const log_gap& gap : logs.processes().at(end.process).gaps) {
        const milliseconds overlap = std::min(gap.end, end.time) - std::max(gap.begin, facts.arrival);
        facts.longestLogGap = std::max(facts.longestLogGap, overlap);
    }
    return facts;
}

std::vector<std::string> evidenceOf(const request_facts& facts, const clock_offsets& clocks)
{
    constexpr milliseconds window { 1000 };
    std::vector<std::string> out;
    const std::string& process = facts.end.process;
    const auto others = facts.reason().empty() ? 0
                                               : facts.logs.countEndedWith(process, facts.reason(),
                                                   facts.end.time - window, facts.end.time + window);
    if (others > 0)
        out.push_back(fmt::format(
            "{} other requests ended at {} with the same reason within a second", others, process));
    if (const auto dropped = facts.logs.processes().at(process).droppedLines; dropped > 0)
        out.push_back(fmt::format("{} dropped {} log lines", process, dropped));
    for (const auto& [other, offset] : clocks.differing())
        out.push_back(fmt::format("the clock of {} is {} ms {}; its times are corrected", other,
            std::chrono::abs(offset).count(), offset > milliseconds(0) ? "ahead" : "behind"));
    return out;
}

std::vector<explained_event> timelineOf(const request_facts& facts, const clock_offsets& clocks)
{
    std::set<std::string_view> targets { facts.target() };
    for (const log_record* attempt : facts.failedAttempts)
        targets.insert(attempt->field("target"));
    targets.erase("");
    std::vector<explained_event> out { { .process = facts.end.process, .name = "request_arrived" } };
    const auto add = [&](const log_record& record) {
        out.push_back({ .at = record.time - clocks.offsetOf(record.process) - facts.arrival,
            .process = record.process,
            .name = record.name,
            .detail = detailOf(record) });
    };
    for (const log_record& record : facts.logs.requestRecords())
        add(record);
    for (const log_record& record : facts.logs.generalRecords()) {
        const milliseconds time = record.time - clocks.offsetOf(record.process);
        if (time >= facts.arrival - timelineLookBack && time <= facts.end.time
            && isRelated(record, facts.end.process, targets))
            add(record);
    }
    std::ranges::stable_sort(out, {}, &explained_event::at);
    return out;
}

} // namespace

request_explanation explain(const log_collection& logs)
{
    const auto end = std::ranges::find(logs.requestRecords(), requestEnded, &log_record::name);
    if (end == logs.requestRecords().end())
        return explainMissing(logs);
    const request_facts facts = collectFacts(logs, *end);
    const clock_offsets clocks(logs.generalRecords(), end->process);
    const auto row = std::ranges::find_if(causes, [&](const cause_row& each) { return each.applies(facts); });
    return { .found = true,
        .process = end->process,
        .cause = row->describe(facts),
        .evidence = evidenceOf(facts, clocks),
        .timeline = timelineOf(facts, clocks) };
}

} // namespace marigold::diagnose
