#include "run_registry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::outcome {

namespace {

constexpr std::array<std::string_view, 3> stateNames { "running", "ended", "cancelled" };

std::size_t sizeOf(const answer_chunk& chunk)
{
    return sizeof(answer_chunk) + chunk.text.size();
}

tl::unexpected<base::error> unknownRun()
{
    return base::mayHaveRun(base::error_reason::NotFound, "this agent has no run with this id");
}

} // namespace

struct run_registry::run_record {
    run_start start;
    run_state state = run_state::Running;
    std::deque<answer_chunk> chunks = {};
    std::size_t bytes = 0;
    std::uint64_t lastSequence = 0;
    base::timer_id timer = 0; ///< Grace period while running, retention time afterwards.
    std::list<base::digest128>::iterator ended = {};
};

std::string_view nameOf(run_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

run_registry::run_registry(base::scheduler& timers, options opts)
    : m_scheduler(timers)
    , m_options(std::move(opts))
{
}

run_registry::~run_registry()
{
    for (const auto& [id, record] : m_runs)
        m_scheduler.cancel(record->timer);
}

base::result<void> run_registry::begin(run_start start)
{
    if (m_runs.contains(start.run))
        return base::notRun(base::error_reason::Conflict, "a run with this id already exists");
    if (m_runs.size() >= m_options.maxRuns && !eraseOldestEnded())
        return base::notRun(base::error_reason::Overloaded, "too many runs at this agent");
    const base::digest128 id = start.run;
    m_runs.emplace(id, std::make_unique<run_record>(run_record { .start = std::move(start) }));
    ++m_running;
    return {};
}

bool run_registry::append(const base::digest128& run, answer_chunk chunk)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end())
        return false;
    run_record& record = *it->second;
    if (record.state != run_state::Running || chunk.attempt != record.start.attempt
        || chunk.epoch != record.start.epoch || chunk.sequence != record.lastSequence + 1)
        return false;
    const bool isFinal = chunk.end.has_value();
    record.lastSequence = chunk.sequence;
    record.bytes += sizeOf(chunk);
    m_bytes += sizeOf(chunk);
    record.chunks.push_back(std::move(chunk));
    if (isFinal)
        finish(record, run_state::Ended);
    enforceMemoryLimits(record);
    return true;
}

void run_registry::cancelled(const base::digest128& run)
{
    const auto it = m_runs.find(run);
    if (it != m_runs.end() && it->second->state == run_state::Running)
        finish(*it->second, run_state::Cancelled);
}

base::result<run_tail> run_registry::resume(const base::digest128& run, const attempt_id& attempt,
    std::uint32_t epoch, std::string_view team, std::uint64_t sequence, std::string owner)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end())
        return unknownRun();
    run_record& record = *it->second;
    if (record.start.team != team || record.start.attempt != attempt || record.start.epoch != epoch)
        return unknownRun();
    const std::uint64_t firstRetained = record.lastSequence - record.chunks.size() + 1;
    if (sequence > record.lastSequence || sequence + 1 < firstRetained)
        return base::mayHaveRun(
            base::error_reason::StreamBroken, "the chunks after this sequence number are no longer stored");
    if (record.state == run_state::Cancelled)
        return base::mayHaveRun(base::error_reason::StreamBroken, "this run was cancelled");
    if (record.state == run_state::Running)
        m_scheduler.cancel(std::exchange(record.timer, 0));
    record.start.owner = std::move(owner);
    const auto skipped = static_cast<std::ptrdiff_t>(sequence + 1 - firstRetained);
    return run_tail { .state = record.state,
        .chunks = { record.chunks.begin() + skipped, record.chunks.end() } };
}

void run_registry::ownerLost(std::string_view owner)
{
    for (const auto& [id, record] : m_runs)
        if (record->start.owner == owner)
            startGrace(*record);
}

void run_registry::connectionLost(const base::digest128& run, std::string_view owner)
{
    const auto it = m_runs.find(run);
    if (it != m_runs.end() && it->second->start.owner == owner)
        startGrace(*it->second);
}

void run_registry::startGrace(run_record& record)
{
    if (record.state != run_state::Running || record.timer != 0)
        return;
    record.timer
        = m_scheduler.runAfter(m_options.ownerGrace, [this, run = record.start.run] { graceExpired(run); });
}

void run_registry::graceExpired(const base::digest128& run)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second->state != run_state::Running)
        return;
    it->second->timer = 0;
    finish(*it->second, run_state::Cancelled);
    if (m_options.cancel)
        m_options.cancel(run);
}

void run_registry::finish(run_record& record, run_state state)
{
    record.state = state;
    --m_running;
    m_scheduler.cancel(record.timer);
    record.ended = m_ended.insert(m_ended.end(), record.start.run);
    record.timer = m_scheduler.runAfter(m_options.endedRetention, [this, run = record.start.run] {
        const auto it = m_runs.find(run);
        if (it != m_runs.end())
            erase(it);
    });
}

void run_registry::erase(run_map::iterator it)
{
    run_record& record = *it->second;
    m_bytes -= record.bytes;
    m_scheduler.cancel(record.timer);
    if (record.state == run_state::Running)
        --m_running;
    else
        m_ended.erase(record.ended);
    m_runs.erase(it);
}

bool run_registry::eraseOldestEnded()
{
    if (m_ended.empty())
        return false;
    erase(m_runs.find(m_ended.front()));
    return true;
}

void run_registry::dropOldestChunk(run_record& record)
{
    const std::size_t size = sizeOf(record.chunks.front());
    record.bytes -= size;
    m_bytes -= size;
    record.chunks.pop_front();
}

run_registry::run_record* run_registry::longestRun()
{
    const auto it = std::max_element(m_runs.begin(), m_runs.end(),
        [](const auto& a, const auto& b) { return a.second->bytes < b.second->bytes; });
    return it == m_runs.end() || it->second->chunks.empty() ? nullptr : it->second.get();
}

void run_registry::enforceMemoryLimits(run_record& current)
{
    while (current.bytes > m_options.maxRunBytes)
        dropOldestChunk(current);
    while (m_bytes > m_options.maxTotalBytes) {
        if (eraseOldestEnded())
            continue;
        // Drops chunks of the longest run, so that short runs remain complete and resumable from any
        // position.
        run_record* longest = longestRun();
        if (!longest)
            return;
        dropOldestChunk(*longest);
    }
}

} // namespace marigold::outcome
