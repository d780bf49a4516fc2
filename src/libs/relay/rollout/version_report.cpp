#include "version_report.h"

#include "rollout_record.h"
#include <relay/message/json_document.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace marigold::relay {

namespace {

using nlohmann::json;

/// Limits of what a peer may report; the figures of all processes are added up.
constexpr std::int64_t maxCount = 1'000'000'000;
constexpr std::size_t maxReports = 32;
constexpr std::size_t maxRoutes = 64;
constexpr std::size_t maxVersions = 16;
constexpr base::duration maxAge = std::chrono::hours(24);

std::uint64_t hashOf(const json& value)
{
    return integerOf(value, std::uint64_t { 0 }, std::numeric_limits<std::uint64_t>::max());
}

std::int64_t countOf(const json& value)
{
    return integerOf(value, std::int64_t { 0 }, maxCount);
}

const json& boundedArray(const json& value, std::size_t most)
{
    if (arrayOf(value).size() > most)
        throw document_error("too many elements");
    return value;
}

json toJson(const answer_counts& counts)
{
    json values = json::array({ counts.failed });
    for (std::size_t i = 0; i < answer_counts::buckets; ++i) {
        if (counts.byTime[i] == 0)
            continue;
        values.push_back(i);
        values.push_back(counts.byTime[i]);
    }
    return values;
}

answer_counts countsOf(const json& values)
{
    answer_counts counts { .failed = countOf(boundedArray(values, 2 * answer_counts::buckets + 1).at(0)) };
    for (std::size_t i = 1; i + 1 < values.size(); i += 2)
        counts.byTime[integerOf(values.at(i), std::size_t { 0 }, answer_counts::buckets - 1)]
            = countOf(values.at(i + 1));
    return counts;
}

json toJson(const version_report& report)
{
    json versions = json::array();
    for (const std::uint64_t version : report.usualVersions)
        versions.push_back(version);
    json routes = json::array();
    for (const auto& [route, answers] : report.answers)
        routes.push_back(json::array({ route, toJson(answers.usual), toJson(answers.candidate) }));
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count();
    return json::array({ report.service, report.request, age, static_cast<int>(report.phase), report.isBad,
        report.usualUnfinished, report.exposed, std::move(versions), std::move(routes) });
}

version_report reportOf(const json& value)
{
    version_report report { .service = hashOf(value.at(0)),
        .request = hashOf(value.at(1)),
        .age = millisecondsOf(value.at(2), maxAge),
        .phase = static_cast<rollout_phase>(integerOf(value.at(3), 0, static_cast<int>(rollout_phase::All))),
        .isBad = value.at(4).get<bool>(),
        .usualUnfinished = countOf(value.at(5)),
        .exposed = countOf(value.at(6)) };
    for (const json& version : boundedArray(value.at(7), maxVersions))
        report.usualVersions.insert(hashOf(version));
    for (const json& route : boundedArray(value.at(8), maxRoutes))
        report.answers[hashOf(route.at(0))]
            = { .usual = countsOf(route.at(1)), .candidate = countsOf(route.at(2)) };
    return report;
}

} // namespace

std::string_view nameOf(rollout_state state)
{
    constexpr std::array<std::string_view, 3> names { "running", "completed", "rolled_back" };
    return names[static_cast<std::size_t>(state)];
}

std::string_view nameOf(rollout_phase phase)
{
    constexpr std::array<std::string_view, 4> names { "observing", "quarter", "half", "all" };
    return names[static_cast<std::size_t>(phase)];
}

std::size_t answer_counts::bucketOf(base::duration time)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    if (milliseconds <= 1)
        return 0;
    const double bucket = std::ceil(std::log2(milliseconds) * bucketsPerOctave);
    return std::min(static_cast<std::size_t>(bucket), buckets - 1);
}

std::int64_t answer_counts::total() const
{
    return std::accumulate(byTime.begin(), byTime.end(), failed);
}

std::int64_t answer_counts::bad(std::size_t slowFrom) const
{
    const auto from = static_cast<std::ptrdiff_t>(std::min(slowFrom, buckets));
    return std::accumulate(byTime.begin() + from, byTime.end(), failed);
}

std::size_t answer_counts::median() const
{
    const std::int64_t sound = total() - failed;
    std::int64_t below = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        below += byTime[i];
        if (2 * below > sound)
            return i;
    }
    return buckets - 1;
}

answer_counts& answer_counts::operator+=(const answer_counts& other)
{
    failed += other.failed;
    for (std::size_t i = 0; i < buckets; ++i)
        byTime[i] += other.byTime[i];
    return *this;
}

answer_counts answer_counts::since(const answer_counts& earlier) const
{
    answer_counts added { .failed = std::max<std::int64_t>(failed - earlier.failed, 0) };
    for (std::size_t i = 0; i < buckets; ++i)
        added.byTime[i] = std::max<std::int64_t>(byTime[i] - earlier.byTime[i], 0);
    return added;
}

std::string encodeReports(std::span<const version_report> reports)
{
    json values = json::array();
    for (const version_report& report : reports)
        values.push_back(toJson(report));
    std::string bytes;
    json::to_msgpack(values, bytes);
    return bytes;
}

base::result<std::vector<version_report>> decodeReports(std::string_view bytes)
{
    try {
        const json values = parseMessagePack(bytes);
        std::vector<version_report> reports;
        for (const json& value : boundedArray(values, maxReports))
            reports.push_back(reportOf(value));
        return reports;
    } catch (const std::exception& error) { // Exceptions of nlohmann/json and document_error.
        return base::notRun(base::error_reason::InvalidRequest, error.what());
    }
}

} // namespace marigold::relay
