#include "admission.h"

#include <algorithm>
#include <utility>

namespace marigold::routing {

namespace {

constexpr std::int64_t smoothingSteps = 8; // the mean service time covers about the last eight runs
constexpr std::chrono::milliseconds minRetryDelay { 50 };
constexpr std::chrono::milliseconds maxRetryDelay { 30'000 };
constexpr std::chrono::milliseconds retryDelayWithoutHistory { 1'000 };

std::chrono::milliseconds retryAfter(base::duration wait)
{
    if (wait == base::duration::zero())
        return retryDelayWithoutHistory;
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), minRetryDelay, maxRetryDelay);
}

base::error refusal(base::error_reason reason, const char* message, base::duration wait)
{
    return {
        .verdict = base::verdict::NotRun, .reason = reason, .message = message, .retryAfter = retryAfter(wait)
    };
}

} // namespace

std::string_view nameOf(priority value)
{
    constexpr std::array<std::string_view, 3> names { "interactive", "normal", "batch" };
    return names[static_cast<std::size_t>(value)];
}

admission::admission(const base::clock& time, options opts, int adopted)
    : m_clock(time)
    , m_options(std::move(opts))
    , m_adopted(std::max(adopted, 0))
{
    m_options.bound = std::max(m_options.bound, 1);
}

int admission::queued() const
{
    std::size_t count = 0;
    for (const auto& queue : m_queues)
        count += queue.size();
    return static_cast<int>(count);
}

bool admission::isLong(const work& item) const
{
    return item.priority != priority::Interactive && item.prefillTokens > m_options.longPrefillTokens;
}

bool admission::canStart(const work& item) const
{
    if (running() >= m_options.bound)
        return false;
    if (item.priority == priority::Interactive)
        return true;
    // Adopted work is of unknown class and counts as non-interactive.
    const int reserve = std::min(m_options.interactiveReserve, m_options.bound - 1);
    if (m_nonInteractive + m_adopted >= m_options.bound - reserve)
        return false;
    return !isLong(item) || m_longPrefills < m_options.longPrefills;
}

base::duration admission::expectedWait(priority urgency) const
{
    // Runs end at the rate of the bound divided by the mean time for which a run occupies a slot.
    std::int64_t ahead = 1;
    for (std::size_t level = 0; level <= static_cast<std::size_t>(urgency); ++level)
        ahead += static_cast<std::int64_t>(m_queues[level].size());
    return m_serviceTime * ahead / m_options.bound;
}

base::duration admission::prefillTime(std::int64_t tokens) const
{
    const double seconds = static_cast<double>(tokens) / m_options.prefillTokensPerSecond;
    return base::duration(static_cast<std::int64_t>(seconds * 1e6));
}

base::time_point admission::firstTokenAt(const work& item) const
{
    return m_clock.now() + prefillBacklog() + prefillTime(item.prefillTokens);
}

base::duration admission::prefillBacklog() const
{
    return std::max(m_prefillBacklogEnd - m_clock.now(), base::duration::zero());
}

std::int64_t admission::pendingPrefillTokens() const
{
    const double seconds = std::chrono::duration<double>(prefillBacklog()).count();
    return static_cast<std::int64_t>(seconds * m_options.prefillTokensPerSecond);
}

base::result<admission_outcome> admission::submit(const work& item)
{
    expire();
    // A prefill that ends after the deadline delays work that could still meet its deadline; under overload,
    // all work would be late.
    const base::time_point firstToken = firstTokenAt(item);
    if (item.deadline <= firstToken)
        return tl::unexpected(refusal(base::error_reason::DeadlineExceeded,
            "the first token is expected after the deadline", prefillBacklog()));
    // Queued work starts as soon as possible, so work that can start now does not overtake queued work that
    // could start as well.
    if (canStart(item)) {
        if (prefillBacklog() > item.waitLimit)
            return tl::unexpected(refusal(
                base::error_reason::Overloaded, "the prefill backlog is above the limit", prefillBacklog()));
        begin(item);
        return admission_outcome::Started;
    }
    const base::duration wait = expectedWait(item.priority);
    if (wait > item.waitLimit)
        return tl::unexpected(
            refusal(base::error_reason::Overloaded, "the expected wait is above the limit", wait));
    if (item.deadline - firstToken < wait)
        return tl::unexpected(
            refusal(base::error_reason::DeadlineExceeded, "the queue is too long for the deadline", wait));
    if (static_cast<std::size_t>(queued()) >= m_options.queueCapacity && !shedLessUrgent(item.priority))
        return tl::unexpected(refusal(base::error_reason::Overloaded, "the queue is full", wait));
    m_queues[static_cast<std::size_t>(item.priority)].push_back(item);
    return admission_outcome::Queued;
}

bool admission::shedLessUrgent(priority urgency)
{
    for (std::size_t level = m_queues.size() - 1; level > static_cast<std::size_t>(urgency); --level) {
        if (m_queues[level].empty())
            continue;
        const work last = m_queues[level].back();
        m_queues[level].pop_back();
        shed(last, base::error_reason::Overloaded, "displaced from the queue by more urgent work");
        return true;
    }
    return false;
}

void admission::begin(const work& item)
{
    m_running.emplace(item.id, run { .item = item, .startedAt = m_clock.now() });
    m_pendingTokens += item.prefillTokens;
    m_prefillBacklogEnd = std::max(m_prefillBacklogEnd, m_clock.now()) + prefillTime(item.prefillTokens);
    if (item.priority != priority::Interactive)
        ++m_nonInteractive;
    if (isLong(item))
        ++m_longPrefills;
}

void admission::prefillDone(work_id id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || !found->second.prefilling)
        return;
    found->second.prefilling = false;
    m_pendingTokens -= found->second.item.prefillTokens;
    // Corrects the estimate when a prefill was slower than expected, for example because the blocks of its
    // prompt were still being transferred.
    m_prefillBacklogEnd = m_clock.now() + prefillTime(m_pendingTokens);
    if (!isLong(found->second.item))
        return;
    --m_longPrefills;
    startQueued();
}

void admission::finish(work_id id)
{
    prefillDone(id);
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const base::duration slotTime = m_clock.now() - found->second.startedAt;
    m_serviceTime = m_serviceTime == base::duration::zero()
        ? slotTime
        : m_serviceTime + (slotTime - m_serviceTime) / smoothingSteps;
    if (found->second.item.priority != priority::Interactive)
        --m_nonInteractive;
    m_running.erase(found);
    startQueued();
}

bool admission::cancelQueued(work_id id)
{
    std::size_t removed = 0;
    for (auto& queue : m_queues)
        removed += std::erase_if(queue, [&](const work& item) { return item.id == id; });
    return removed > 0;
}

void admission::setBound(int bound)
{
    m_options.bound = std::max(bound, 1);
    startQueued();
}

void admission::engineReported(int running, base::time_point measuredAt)
{
    // Subtracts the runs of this agent that are certainly included in the report; the rest is an upper bound
    // of the adopted runs.
    int own = 0;
    for (const auto& [id, entry] : m_running)
        own += entry.startedAt <= measuredAt - m_options.startLag ? 1 : 0;
    m_adopted = std::min(m_adopted, std::max(running - own, 0));
    startQueued();
}

void admission::startQueued()
{
    // A start callback may end work synchronously and call this function again; the outer loop then
    // continues.
    if (std::exchange(m_starting, true))
        return;
    expire();
    while (startOne()) { }
    m_starting = false;
}

bool admission::startOne()
{
    for (auto& queue : m_queues) {
        const auto next = std::ranges::find_if(queue, [&](const work& item) { return canStart(item); });
        if (next == queue.end())
            continue;
        const work item = *next;
        queue.erase(next);
        begin(item);
        if (m_options.start)
            m_options.start(item);
        return true;
    }
    return false;
}

void admission::expire()
{
    std::deque<work> expired;
    for (auto& queue : m_queues)
        std::erase_if(queue, [&](const work& item) {
            if (item.deadline > firstTokenAt(item))
                return false;
            expired.push_back(item);
            return true;
        });
    for (const work& item : expired)
        shed(item, base::error_reason::DeadlineExceeded, "the first token is expected after the deadline");
}

void admission::shed(const work& item, base::error_reason reason, const char* message) const
{
    if (m_options.refuse)
        m_options.refuse(item, refusal(reason, message, expectedWait(item.priority)));
}

base::time_point admission::nextDeadline() const
{
    base::time_point earliest = base::time_point::max();
    for (const auto& queue : m_queues)
        for (const work& item : queue)
            earliest = std::min(earliest, item.deadline - prefillTime(item.prefillTokens));
    return earliest;
}

} // namespace marigold::routing
