#include "log_collection.h"

#include <algorithm>
#include <charconv>

namespace marigold::diagnose {

namespace {

constexpr std::string_view processState = "relay_process";
constexpr std::string_view linesDropped = "relay_log_lines_dropped";

/// Limits the memory for the refusals of a long log. Later refusals are omitted, so that counts are lower
/// bounds.
constexpr std::size_t maxRefusals = 500'000;

} // namespace

log_collection::log_collection(options opts)
    : m_options(std::move(opts))
{
}

void log_collection::add(std::string_view line)
{
    auto record = parseLogLine(line);
    if (!record) {
        ++m_skipped;
        return;
    }
    process_activity& activity = m_processes[record->process];
    const bool isStart = record->name == processState && record->field("state") == "started";
    if (isStart && activity.lines > 0)
        activity.restarts.push_back({ .lastLine = activity.last, .at = record->time });
    if (activity.lines++ == 0)
        activity.first = record->time;
    else if (record->time - activity.last >= m_options.minGap)
        activity.gaps.push_back({ .begin = activity.last, .end = record->time });
    activity.last = std::max(activity.last, record->time);
    if (record->name == linesDropped) {
        const std::string_view count = record->field("lines");
        std::uint64_t lines = 0;
        std::from_chars(count.data(), count.data() + count.size(), lines);
        activity.droppedLines += lines;
    }
    const std::string_view request = record->field("request");
    if (request == m_options.request && !request.empty()) {
        m_requestRecords.push_back(std::move(*record));
    } else if (request.empty()) {
        m_generalRecords.push_back(std::move(*record));
    } else if (const std::string_view reason = record->field("reason");
               !reason.empty() && m_refusals.size() < maxRefusals) {
        m_refusals.push_back(
            { .process = record->process, .reason = std::string(reason), .time = record->time });
    }
}

std::uint64_t log_collection::countEndedWith(
    std::string_view process, std::string_view reason, milliseconds begin, milliseconds end) const
{
    return static_cast<std::uint64_t>(std::ranges::count_if(m_refusals, [&](const refusal& one) {
        return one.process == process && one.reason == reason && one.time >= begin && one.time <= end;
    }));
}

} // namespace marigold::diagnose
