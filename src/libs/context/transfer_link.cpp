#include "transfer_link.h"

#include "events.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace marigold::context {

namespace {

// The initial rate has the weight of an observation of this many seconds.
constexpr double initialSeconds = 1;

constexpr double minimumSeconds = 1e-6;

double secondsOf(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

base::duration durationOf(double seconds)
{
    // Longer times would overflow and make no difference to any decision.
    constexpr double maximumSeconds = 1e9;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(seconds, maximumSeconds)));
}

} // namespace

std::string_view nameOf(transfer_priority priority)
{
    constexpr std::array<std::string_view, 4> names { "interactive", "normal", "batch", "background" };
    return names[static_cast<std::size_t>(priority)];
}

transfer_link::transfer_link(options opts)
    : m_options(opts)
    , m_observedBytes(opts.initialBytesPerSecond * initialSeconds)
    , m_observedSeconds(initialSeconds)
    , m_budgetTime(opts.time.now())
{
    m_options.chunkBytes = std::max<std::uint64_t>(m_options.chunkBytes, 1);
}

base::result<transfer_id> transfer_link::submit(const transfer_request& request)
{
    if (request.bytes == 0)
        return base::notRun(
            base::error_reason::InvalidRequest, "a transfer must have at least one byte", "bytes");
    if (m_transfers.size() >= m_options.maximumTransfers)
        return base::notRun(base::error_reason::Overloaded, "too many transfers are queued");
    const transfer_id id { .priority = request.priority, .sequence = ++m_lastSequence };
    m_transfers.emplace(
        id, transfer { .bytes = request.bytes, .sent = 0, .recomputeTime = request.recomputeTime });
    return id;
}

void transfer_link::backlog::add(const transfer_id& id, double bytes)
{
    all += bytes;
    background += id.priority == transfer_priority::Background ? bytes : 0;
}

std::optional<transfer_chunk> transfer_link::nextChunk()
{
    if (m_sending)
        return std::nullopt;
    const auto next = m_transfers.begin();
    if (next == m_transfers.end())
        return std::nullopt;
    if (next->first.priority == transfer_priority::Background && backgroundBudget() <= 0)
        return std::nullopt;
    transfer& chosen = next->second;
    const transfer_chunk chunk { .id = next->first,
        .offset = chosen.sent,
        .bytes = std::min(m_options.chunkBytes, chosen.bytes - chosen.sent) };
    if (chunk.id.priority == transfer_priority::Background) {
        m_backgroundBytes = backgroundBudget() - static_cast<double>(chunk.bytes);
        m_budgetTime = m_options.time.now();
    }
    chosen.sent += chunk.bytes;
    m_sending = { .chunk = chunk, .start = m_options.time.now() };
    return chunk;
}

double transfer_link::backgroundBudget() const
{
    const double rate = m_options.backgroundShare * bytesPerSecond();
    const double accumulated = rate * secondsOf(m_options.time.now() - m_budgetTime);
    return std::min(m_backgroundBytes + accumulated, rate * secondsOf(m_options.backgroundBurst));
}

std::optional<base::duration> transfer_link::backgroundWait() const
{
    if (m_sending || m_transfers.empty()
        || m_transfers.begin()->first.priority != transfer_priority::Background)
        return std::nullopt;
    const double missing = std::max(-backgroundBudget(), 0.0);
    // Plus a microsecond, since the budget must be greater than zero.
    return durationOf(missing / (m_options.backgroundShare * bytesPerSecond())) + base::duration(1);
}

base::duration transfer_link::elapsed() const
{
    return m_options.time.now() - m_sending->start;
}

bool transfer_link::chunkDone()
{
    if (!m_sending)
        return false;
    const double seconds = std::max(secondsOf(elapsed()), minimumSeconds);
    const double decay = std::exp2(-seconds / secondsOf(m_options.rateHalfLife));
    m_observedBytes = m_observedBytes * decay + static_cast<double>(m_sending->chunk.bytes);
    m_observedSeconds = m_observedSeconds * decay + seconds;
    const auto found = m_transfers.find(m_sending->chunk.id);
    m_sending.reset();
    if (found == m_transfers.end() || found->second.sent < found->second.bytes)
        return false;
    m_transfers.erase(found);
    return true;
}

void transfer_link::chunkFailed()
{
    if (!m_sending)
        return;
    m_transfers.erase(m_sending->chunk.id);
    m_sending.reset();
}

bool transfer_link::cancel(const transfer_id& id)
{
    return m_transfers.erase(id) > 0;
}

double transfer_link::bytesPerSecond() const
{
    const double estimated = m_observedBytes / m_observedSeconds;
    if (!m_sending)
        return estimated;
    const auto bytes = static_cast<double>(m_sending->chunk.bytes);
    const double seconds = secondsOf(elapsed());
    if (seconds * estimated <= bytes)
        return estimated;
    const double decay = std::exp2(-seconds / secondsOf(m_options.rateHalfLife));
    return (m_observedBytes * decay + bytes) / (m_observedSeconds * decay + seconds);
}

double transfer_link::outstandingSeconds() const
{
    if (!m_sending)
        return 0;
    // An overdue chunk is expected to take as long again as it is overdue; otherwise a stalled chunk would
    // always be considered nearly done.
    const double expected = static_cast<double>(m_sending->chunk.bytes) * m_observedSeconds / m_observedBytes;
    return std::abs(expected - secondsOf(elapsed()));
}

base::duration transfer_link::timeFor(transfer_priority priority, const backlog& ahead, double bytes) const
{
    const double rate = bytesPerSecond();
    if (priority != transfer_priority::Background || bytes <= 0)
        return durationOf(outstandingSeconds() + (ahead.all + bytes) / rate);
    // Background transfers start after all others, with the budget accumulated by then. The last chunk is
    // sent as soon as the budget covers the preceding ones.
    const double start = outstandingSeconds() + (ahead.all - ahead.background) / rate;
    const double share = m_options.backgroundShare * rate;
    const double budget
        = std::min(backgroundBudget() + share * start, share * secondsOf(m_options.backgroundBurst));
    const double lastChunk = bytes
        - (std::ceil(bytes / static_cast<double>(m_options.chunkBytes)) - 1)
            * static_cast<double>(m_options.chunkBytes);
    const double limited = (ahead.background + bytes - lastChunk - budget) / share + lastChunk / rate;
    return durationOf(start + std::max((ahead.background + bytes) / rate, limited));
}

base::duration transfer_link::estimate(transfer_priority priority, std::uint64_t bytes) const
{
    backlog ahead;
    for (const auto& [id, queued] : m_transfers)
        if (id.priority <= priority)
            ahead.add(id, static_cast<double>(queued.bytes - queued.sent));
    return timeFor(priority, ahead, static_cast<double>(bytes));
}

std::optional<base::duration> transfer_link::remaining(const transfer_id& id) const
{
    backlog ahead;
    for (const auto& [other, queued] : m_transfers) {
        const auto remainingBytes = static_cast<double>(queued.bytes - queued.sent);
        if (other == id)
            return timeFor(id.priority, ahead, remainingBytes);
        ahead.add(other, remainingBytes);
    }
    return std::nullopt;
}

std::vector<transfer_id> transfer_link::cancelLate()
{
    std::vector<transfer_id> late;
    backlog ahead;
    for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        const auto remainingBytes = static_cast<double>(it->second.bytes - it->second.sent);
        const auto expected = timeFor(it->first.priority, ahead, remainingBytes);
        if (!it->second.recomputeTime
            || secondsOf(expected) <= secondsOf(*it->second.recomputeTime) * m_options.recomputeMargin) {
            ahead.add(it->first, remainingBytes);
            ++it;
            continue;
        }
        if (m_options.log)
            m_options.log->write(events::transferCancelled,
                { { "priority", std::string(nameOf(it->first.priority)) },
                    { "expected_us", fmt::format("{}", expected.count()) },
                    { "recompute_us", fmt::format("{}", it->second.recomputeTime->count()) } });
        late.push_back(it->first);
        it = m_transfers.erase(it);
    }
    return late;
}

} // namespace marigold::context
