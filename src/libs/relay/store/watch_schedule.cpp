#include "watch_schedule.h"

#include <platform/platform.h>
#include <relay/message/json_document.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace marigold::relay {

namespace {

/// Key of the rendezvous hashing: any constant that all processes share.
constexpr std::string_view sentinelKey = "store-watch";

/// Bounds the time between two polls to 16 times the first.
constexpr int maxDoublings = 4;

} // namespace

watch_schedule::watch_schedule(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
{
}

void watch_schedule::setProcesses(std::span<const std::string_view> processes)
{
    std::vector<std::string_view> ranked(processes.begin(), processes.end());
    std::ranges::sort(ranked, std::greater<> {}, [](std::string_view process) {
        return std::pair(base::rendezvousScore(sentinelKey, process), process);
    });
    if (ranked.size() < m_options.minProcesses)
        ranked.clear();
    ranked.resize(std::min(ranked.size(), m_options.sentinels));
    m_isSentinel = std::ranges::find(ranked, m_options.process) != ranked.end();
    std::erase_if(
        m_reports, [&](const auto& entry) { return std::ranges::find(ranked, entry.first) == ranked.end(); });
    for (const std::string_view process : ranked)
        m_reports.emplace(process, sentinel_report {});
}

void watch_schedule::discardPositions()
{
    m_position = 0;
    m_urgentPosition = 0;
    for (auto& [process, known] : m_reports)
        known = {};
}

void watch_schedule::replyReceived(std::uint64_t position, base::time_point asOf)
{
    m_position = std::max(m_position, position);
    m_repliedAt = std::max(m_repliedAt, asOf);
    for (auto& [process, known] : m_reports)
        updateAhead(known);
}

void watch_schedule::updateAhead(sentinel_report& known) const
{
    const auto update = [this](base::time_point& since, std::uint64_t position) {
        if (position <= m_position)
            since = {};
        else if (since == base::time_point {})
            since = m_clock.now();
    };
    update(known.aheadSince, known.last.position);
    update(known.urgentSince, known.last.urgentPosition);
}

watch_schedule::report watch_schedule::own() const
{
    if (m_position == 0)
        return {};
    return {
        .position = m_position, .urgentPosition = m_urgentPosition, .replyAge = m_clock.now() - m_repliedAt
    };
}

void watch_schedule::reportReceived(std::string_view process, const report& received)
{
    const auto found = m_reports.find(process);
    if (found == m_reports.end() || received.position == 0)
        return;
    found->second.last = received;
    found->second.receivedAt = m_clock.now();
    updateAhead(found->second);
}

bool watch_schedule::isOfPresentEra(const sentinel_report& known) const
{
    return known.last.position > 0 && platform::eraOf(known.last.position) >= platform::eraOf(m_position);
}

bool watch_schedule::isCovered() const
{
    const base::time_point now = m_clock.now();
    return !m_isSentinel && std::ranges::any_of(m_reports, [&](const auto& entry) {
        const sentinel_report& known = entry.second;
        return isOfPresentEra(known) && now - known.receivedAt + known.last.replyAge <= m_options.trustedFor;
    });
}

base::time_point watch_schedule::confirmedAt() const
{
    base::time_point latest = m_repliedAt;
    if (m_isSentinel)
        return latest;
    for (const auto& [process, known] : m_reports)
        if (isOfPresentEra(known) && known.last.urgentPosition <= m_position)
            latest = std::max(latest, known.receivedAt - known.last.replyAge);
    return latest;
}

base::duration watch_schedule::waitLimit() const
{
    if (m_isSentinel)
        return m_options.sentinelWait;
    return isCovered() ? m_options.longWait : m_options.shortWait;
}

base::duration watch_schedule::interval() const
{
    return isCovered() ? m_options.longInterval : m_options.shortInterval;
}

bool watch_schedule::isReported(base::time_point now) const
{
    // The next watch of a sentinel is due before that.
    const base::duration gathering = m_isSentinel ? m_options.shortInterval : base::duration::zero();
    const auto isOverdue = [now](base::time_point since, base::duration delay) {
        return since != base::time_point {} && now - since >= delay;
    };
    return std::ranges::any_of(m_reports, [&](const auto& entry) {
        return isOverdue(entry.second.urgentSince, gathering + m_options.renewalDelay)
            || isOverdue(entry.second.aheadSince, m_options.longInterval + m_options.renewalDelay);
    });
}

watch_schedule::read_reason watch_schedule::mustRead(const pending_reads& pending) const
{
    const base::time_point now = m_clock.now();
    const int doublings = std::clamp(pending.polls - 1, 0, maxDoublings);
    if (now - pending.lastBegan < m_options.renewalDelay * (1 << doublings))
        return read_reason::None;
    if (isReported(now))
        return read_reason::Reported;
    // The reply to a short watch is due at its end.
    const bool isDue = pending.watchWait == base::duration::zero() || pending.watchWait > m_options.shortWait
        || now - pending.watchBegan >= pending.watchWait + m_options.renewalDelay;
    return isDue && now - confirmedAt() >= m_options.trustedFor ? read_reason::Unconfirmed
                                                                : read_reason::None;
}

std::optional<base::time_point> watch_schedule::urgentSince() const
{
    std::optional<base::time_point> earliest;
    for (const auto& [process, known] : m_reports)
        if (known.urgentSince != base::time_point {})
            earliest = std::min(earliest.value_or(known.urgentSince), known.urgentSince);
    return earliest;
}

std::vector<std::string_view> watch_schedule::sentinels() const
{
    std::vector<std::string_view> ids;
    for (const auto& [process, known] : m_reports)
        ids.push_back(process);
    return ids;
}

std::string_view nameOf(watch_schedule::read_reason reason)
{
    constexpr std::array<std::string_view, 3> names { "none", "reported", "unconfirmed" };
    return names[static_cast<std::size_t>(reason)];
}

std::string encode(const watch_schedule::report& item)
{
    using nlohmann::json;
    const std::uint64_t era = platform::eraOf(item.position);
    const std::uint64_t begin = platform::positionOf(era, 0);
    std::string bytes;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(item.replyAge);
    // Processes of an earlier version read the first three, and compare revisions.
    json::to_msgpack(json::array({ item.position - begin, std::max(item.urgentPosition, begin) - begin,
                         std::max<std::int64_t>(age.count(), 0), era }),
        bytes);
    return bytes;
}

base::result<watch_schedule::report> decodeWatchReport(std::string_view bytes)
{
    try {
        const nlohmann::json value = parseMessagePack(bytes);
        const auto integerAt = [&](std::size_t index, std::uint64_t highest) {
            return integerOf(value.at(index), std::uint64_t { 0 }, highest);
        };
        constexpr std::size_t eraIndex = 3;
        constexpr std::uint64_t maxRevision = (std::uint64_t { 1 } << platform::revisionBits) - 1;
        const std::uint64_t era = value.size() > eraIndex ? integerAt(eraIndex, platform::maxEra) : 0;
        return watch_schedule::report { .position = platform::positionOf(era, integerAt(0, maxRevision)),
            .urgentPosition = platform::positionOf(era, integerAt(1, maxRevision)),
            .replyAge = millisecondsOf(value.at(2)) };
    } catch (const std::exception& error) { // Exceptions of nlohmann/json and document_error.
        return base::notRun(base::error_reason::InvalidRequest, error.what());
    }
}

} // namespace marigold::relay
