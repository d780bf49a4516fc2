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

/// Lines of the platform and of other processes are shown from this long before the request.
constexpr milliseconds lookBack { 2000 };

/// Two processes wrote their last lines at the same time if these are not further apart.
constexpr milliseconds sameEnd { 1500 };

/// What is known of a request when its cause is looked for.
struct facts {
    const log_collection& logs;
    const log_record& end;
    std::vector<const log_record*> failedAttempts;
    milliseconds arrival { 0 }; ///< By the clock of the process that served it.
    milliseconds standstill { 0 }; ///< Time of its life in which the process wrote nothing.

    milliseconds age() const { return end.duration("age_ms").value_or(milliseconds(0)); }
    std::string_view reason() const { return end.field("reason"); }
    std::string_view outcome() const { return end.field("outcome"); }
    std::string_view target() const { return end.field("target"); }
    bool isRefused(std::string_view reason) const
    {
        return outcome() == "own_answer" && this->reason() == reason;
    }
};

std::string lastFailure(const facts& of)
{
    if (of.failedAttempts.empty())
        return {};
    const log_record& last = *of.failedAttempts.back();
    return fmt::format(" Last attempt, at {}: {} ({}).", last.field("target"), last.field("reason"),
        last.field("verdict") == "not_run"   ? "it did not run"
            : last.field("verdict") == "ran" ? "it ran"
                                             : "it may have run");
}

/// Says in which part of its life a request spent most of its time.
std::string longestPart(const facts& of)
{
    const auto placed = of.end.duration("placed_ms");
    const auto first = of.end.duration("first_ms");
    if (!placed)
        return fmt::format("It waited {} ms for a target and was sent to none.", of.age().count());
    const std::string kept = of.end.field("shared_tokens") == "0"
        ? std::string()
        : fmt::format(" ({} of {} shared prompt tokens were fetched, the rest was read)",
            of.end.field("kept_tokens"), of.end.field("shared_tokens"));
    if (!first)
        return fmt::format("It waited {} ms for a place at {}, which then gave no first byte in {} ms{}.",
            placed->count(), of.target(), (of.age() - *placed).count(), kept);
    const milliseconds prefill = *first - *placed;
    const milliseconds rest = of.age() - *first;
    if (*placed >= prefill && *placed >= rest && !of.failedAttempts.empty())
        return fmt::format(
            "Most of its time, {} ms, passed before its last send, with {} failed attempt(s).{}",
            placed->count(), of.failedAttempts.size(), lastFailure(of));
    if (*placed >= prefill && *placed >= rest)
        return fmt::format("Most of its time, {} ms, it waited for a place at a target.", placed->count());
    if (prefill >= rest)
        return fmt::format("Most of its time, {} ms, {} took to its first byte, where {} ms were expected{}.",
            prefill.count(), of.target(), of.end.field("expected_ms"), kept);
    return fmt::format(
        "Most of its time, {} ms, the answer took after its first byte, which came after {} ms; "
        "its longest pause was {} ms.",
        rest.count(), first->count(), of.end.duration("pause_ms").value_or(milliseconds(0)).count());
}

bool targetFailed(const facts& of)
{
    return of.outcome() == "answered" && of.end.field("status").starts_with('5');
}

/// A request whose process stood still for a third of its life.
bool stoodStill(const facts& of)
{
    constexpr milliseconds shortest { 500 };
    return of.standstill >= shortest && of.standstill * 3 >= of.age();
}

struct cause_row {
    bool (*applies)(const facts&);
    std::string (*tell)(const facts&);
};

const std::array<cause_row, 13> causes { {
    { [](const facts& of) { return of.isRefused("targets_busy"); },
        [](const facts& of) {
            return fmt::format(
                "Refused after {} ms, not run: no target of its service had room for it in time.{}",
                of.age().count(), lastFailure(of));
        } },
    { [](const facts& of) { return of.isRefused("no_target"); },
        [](const facts& of) {
            return fmt::format(
                "Refused after {} ms, not run: no target of its service could be used (none was "
                "registered, in service, or on the new weights in time).{}",
                of.age().count(), lastFailure(of));
        } },
    { [](const facts& of) { return of.isRefused("no_service"); },
        [](const facts&) {
            return std::string("Refused, not run: the route names a service that has no targets.");
        } },
    { [](const facts& of) { return of.isRefused("no_configuration"); },
        [](const facts&) { return std::string("Refused, not run: the process had no configuration yet."); } },
    { [](const facts& of) { return of.isRefused("stopping"); },
        [](const facts&) {
            return std::string("Refused, not run: the process was stopping, and the caller still came.");
        } },
    { [](const facts& of) { return of.isRefused("no_route") || of.isRefused("unknown_key"); },
        [](const facts& of) {
            return fmt::format("Refused, not run: {} in configuration {}.",
                of.reason() == "no_route" ? "no route has its host and path" : "its key is not known",
                of.end.field("config"));
        } },
    { [](const facts& of) { return of.isRefused("time_limit"); },
        [](const facts& of) {
            return fmt::format("Its time limit passed after {} ms, and it {}. {}{}", of.age().count(),
                of.end.field("verdict") == "not_run" ? "did not run" : "may have run", longestPart(of),
                lastFailure(of));
        } },
    { stoodStill,
        [](const facts& of) {
            return fmt::format(
                "The process that served it stood still or was cut off for {} ms of its {} ms, "
                "as it wrote no line; it ended as {}.",
                of.standstill.count(), of.age().count(), of.outcome());
        } },
    { [](const facts& of) { return of.outcome() == "caller_gone"; },
        [](const facts& of) {
            return fmt::format(
                "The caller left after {} ms. {}{}", of.age().count(), longestPart(of), lastFailure(of));
        } },
    { [](const facts& of) { return of.outcome() == "broken"; },
        [](const facts& of) {
            return fmt::format(
                "The answer of {} broke off after it had begun ({}).", of.target(), of.reason());
        } },
    { targetFailed,
        [](const facts& of) {
            return fmt::format("The target {} answered {} itself, after {} attempt(s) in all.{}", of.target(),
                of.end.field("status"), of.end.field("attempts"), lastFailure(of));
        } },
    { [](const facts& of) { return of.outcome() == "own_answer"; },
        [](const facts& of) {
            return fmt::format("Answered with {} by the process itself ({}).{}", of.end.field("status"),
                of.reason(), lastFailure(of));
        } },
    { [](const facts&) { return true; },
        [](const facts& of) {
            return fmt::format("Answered with {} after {} ms by {}. {}", of.end.field("status"),
                of.age().count(), of.target(), longestPart(of));
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

/// Tells what became of the process that sent a request to a target and logged no end of it.
std::string fateOf(const log_record& placed, const log_collection& logs)
{
    const process_activity& activity = logs.processes().at(placed.process);
    const auto restart = std::ranges::find_if(
        activity.restarts, [&](const process_restart& each) { return each.at >= placed.time; });
    if (restart == activity.restarts.end())
        return fmt::format("{} ended or was cut off for good: it wrote nothing after {} ms.", placed.process,
            (activity.last - placed.time).count());
    return fmt::format("{} ended without a farewell: its last line came {} ms after the send, and it started "
                       "again after {} ms.",
        placed.process, (restart->lastLine - placed.time).count(), (restart->at - placed.time).count());
}

/// Lists what may have kept the processes from logging a request.
std::vector<std::string> doubtsAbout(const log_collection& logs)
{
    std::vector<std::string> out;
    milliseconds last { 0 };
    for (const auto& [process, activity] : logs.processes())
        last = std::max(last, activity.last);
    for (const auto& [process, activity] : logs.processes()) {
        if (activity.droppedLines > 0)
            out.push_back(
                fmt::format("{} left out {} lines, which may be its lines", process, activity.droppedLines));
        if (last - activity.last > sameEnd)
            out.push_back(fmt::format(
                "{} wrote nothing in the last {} ms of these logs", process, (last - activity.last).count()));
        if (!activity.restarts.empty())
            out.push_back(fmt::format("{} ended and started again {} time(s), the first time after {} ms",
                process, activity.restarts.size(), (activity.restarts.front().at - activity.first).count()));
    }
    return out;
}

/// Explains that no process logged the end of the request, by what happened to the processes.
request_explanation explainMissing(const log_collection& logs)
{
    request_explanation out;
    const auto placed = std::ranges::find(logs.ofRequest(), requestPlaced, &log_record::name);
    if (placed == logs.ofRequest().end()) {
        out.cause
            = "No process logged this request: it reached none, or the one that held it ended before it "
              "found a target.";
        out.evidence = doubtsAbout(logs);
    } else {
        out.process = placed->process;
        out.cause = fmt::format("It was sent to {} and its end was not logged. {}", placed->field("target"),
            fateOf(*placed, logs));
    }
    for (const log_record& record : logs.ofRequest())
        out.timeline.push_back({ .at = record.time - logs.ofRequest().front().time,
            .process = record.process,
            .name = record.name,
            .detail = detailOf(record) });
    return out;
}

/// Lines that tell of no request and may have to do with it: those of its process, and those that name one of
/// \a targets.
bool isRelated(const log_record& record, std::string_view process, const std::set<std::string_view>& targets)
{
    const std::string_view target = record.field("target");
    if (!target.empty())
        return targets.contains(target) && (record.process == process || record.name == "relay_order_ended");
    return record.process == process;
}

/// Collects what is known of the request that ended with \a end.
facts factsOf(const log_collection& logs, const log_record& end)
{
    facts known { .logs = logs, .end = end };
    known.arrival = end.time - known.age();
    for (const log_record& record : logs.ofRequest()) {
        known.arrival = std::min(known.arrival, record.time); // Ages are rounded.
        if (record.name == attemptFailed)
            known.failedAttempts.push_back(&record);
    }
    for (const log_gap& gap : logs.processes().at(end.process).gaps) {
        const milliseconds overlap = std::min(gap.end, end.time) - std::max(gap.begin, known.arrival);
        known.standstill = std::max(known.standstill, overlap);
    }
    return known;
}

std::vector<std::string> evidenceOf(const facts& known, const clock_offsets& clocks)
{
    constexpr milliseconds around { 1000 };
    std::vector<std::string> out;
    const std::string& process = known.end.process;
    const auto others = known.reason().empty()
        ? 0
        : known.logs.endedWith(process, known.reason(), known.end.time - around, known.end.time + around);
    if (others > 0)
        out.push_back(fmt::format(
            "{} other requests ended at {} with the same reason within a second", others, process));
    if (const auto dropped = known.logs.processes().at(process).droppedLines; dropped > 0)
        out.push_back(fmt::format("{} left out {} lines", process, dropped));
    for (const auto& [other, offset] : clocks.differing())
        out.push_back(fmt::format("the clock of {} is {} ms {}; its times are corrected", other,
            std::chrono::abs(offset).count(), offset > milliseconds(0) ? "ahead" : "behind"));
    return out;
}

std::vector<explained_event> timelineOf(const facts& known, const clock_offsets& clocks)
{
    std::set<std::string_view> targets { known.target() };
    for (const log_record* attempt : known.failedAttempts)
        targets.insert(attempt->field("target"));
    targets.erase("");
    std::vector<explained_event> out { { .process = known.end.process, .name = "request_arrived" } };
    const auto add = [&](const log_record& record) {
        out.push_back({ .at = record.time - clocks.of(record.process) - known.arrival,
            .process = record.process,
            .name = record.name,
            .detail = detailOf(record) });
    };
    for (const log_record& record : known.logs.ofRequest())
        add(record);
    for (const log_record& record : known.logs.general()) {
        const milliseconds time = record.time - clocks.of(record.process);
        if (time >= known.arrival - lookBack && time <= known.end.time
            && isRelated(record, known.end.process, targets))
            add(record);
    }
    std::ranges::stable_sort(out, {}, &explained_event::at);
    return out;
}

} // namespace

request_explanation explain(const log_collection& logs)
{
    const auto end = std::ranges::find(logs.ofRequest(), requestEnded, &log_record::name);
    if (end == logs.ofRequest().end())
        return explainMissing(logs);
    const facts known = factsOf(logs, *end);
    const clock_offsets clocks(logs.general(), end->process);
    const auto row = std::ranges::find_if(causes, [&](const cause_row& each) { return each.applies(known); });
    return { .found = true,
        .process = end->process,
        .cause = row->tell(known),
        .evidence = evidenceOf(known, clocks),
        .timeline = timelineOf(known, clocks) };
}

} // namespace marigold::diagnose
