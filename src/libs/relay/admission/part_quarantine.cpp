#include "part_quarantine.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Requests that are kept of one ended target; all relays that sent to it report theirs.
constexpr std::size_t maxRequestsPerEnd = 8;

constexpr std::string_view timeIsOver = "time is over";

} // namespace

std::string scopedPartName(std::string_view model, std::string_view isolatedTeam, std::string_view part)
{
    constexpr std::size_t maxIdBytes = 64; // The names are kept and sent to the other processes.
    std::string id(part);
    if (id.size() > maxIdBytes)
        id = fmt::format("hash-{:016x}", base::hash64(part));
    return fmt::format("{}/{}/{}", model, isolatedTeam, id);
}

part_quarantine::part_quarantine(const base::clock& time, observer calls, options opts)
    : m_clock(time)
    , m_calls(std::move(calls))
    , m_options(opts)
{
}

bool part_quarantine::contains(std::span<const std::string> parts, std::string_view part)
{
    return std::ranges::find(parts, part) != parts.end();
}

void part_quarantine::targetEnded(const target_end& end)
{
    const base::time_point now = m_clock.now();
    auto record = std::ranges::find(m_ends, end.target, &end_record::target);
    if (record == m_ends.end()) {
        if (m_ends.size() >= m_options.maxEnds)
            m_ends.erase(m_ends.begin());
        m_ends.push_back({ .target = end.target, .at = now });
        record = std::prev(m_ends.end());
    }
    const auto isSame = [&](const target_end& known) {
        return known.parts == end.parts && known.answerBegun == end.answerBegun
            && answerStage(known.events) == answerStage(end.events);
    };
    if (std::ranges::any_of(record->requests, isSame))
        return;
    addRequest(*record, end);
    const bool isRunning = answerStage(end.events) > 0;
    bool mayBlock = false;
    for (const std::string& part : end.parts) {
        suspect& item = m_suspects[part];
        ++item.mentions;
        const bool reportedSound = contains(end.soundParts, part);
        const bool isAnswered = wasAnswered(part);
        // Weak evidence is worth a report only once there is more of it.
        const bool isReported = isRunning ? item.mentions >= m_options.blockWeight : true;
        if (isReported && !reportedSound && !item.sound && isAnswered && m_calls.sound)
            m_calls.sound({ .part = part });
        item.sound = item.sound || reportedSound || isAnswered;
        mayBlock = mayBlock || item.mentions >= m_options.blockWeight || m_convictions.contains(part);
    }
    limitNames();
    if (mayBlock)
        recompute();
}

void part_quarantine::limitNames()
{
    std::size_t names = 0;
    for (const end_record& end : m_ends)
        for (const target_end& request : end.requests)
            names += request.parts.size();
    while (names > m_options.maxNames && m_ends.size() > 1) {
        for (const target_end& request : m_ends.front().requests)
            names -= request.parts.size();
        m_ends.erase(m_ends.begin());
    }
}

int part_quarantine::rankOf(const target_end& request)
{
    return request.answerBegun ? answerStage(request.events) : wholeAnswerStage;
}

void part_quarantine::addRequest(end_record& end, const target_end& request)
{
    end.answerBegun = end.answerBegun || request.answerBegun;
    if (end.requests.size() < maxRequestsPerEnd) {
        end.requests.push_back(request);
        return;
    }
    // Many streams may have run at the target; the one whose answer began last must not be crowded out.
    const auto last = std::ranges::max_element(end.requests, {}, rankOf);
    if (rankOf(request) < rankOf(*last))
        *last = request;
}

bool part_quarantine::wasAnswered(std::string_view part) const
{
    const auto found = m_answered.find(base::hash64(part));
    return found != m_answered.end() && m_clock.now() - found->second <= m_options.soundTime;
}

void part_quarantine::rememberAnswer(std::string_view part)
{
    const base::time_point now = m_clock.now();
    const std::uint64_t hash = base::hash64(part);
    if (m_answered.size() >= m_options.maxAnswered && !m_answered.contains(hash)) {
        std::erase_if(
            m_answered, [&](const auto& item) { return now - item.second > m_options.soundTime / 4; });
        if (m_answered.size() >= m_options.maxAnswered)
            m_answered.clear();
    }
    m_answered[hash] = now;
}

void part_quarantine::answered(std::span<const std::string> parts)
{
    bool isCleared = false;
    for (const std::string& part : parts) {
        rememberAnswer(part);
        const auto found = m_suspects.find(part);
        const bool blocked = m_blocks.contains(part);
        if (found == m_suspects.end() && !blocked)
            continue;
        if (!blocked && found->second.mentions == 0)
            continue;
        const evidence_list evidence = evidenceAgainst(part);
        // A part that all processes know to be sound is answered at many of them; one end less than required
        // is no danger.
        const bool isPending = blocked || weightOf(part, evidence) >= requiredWeight(part, evidence) - 1;
        if (evidence.empty() && !blocked)
            continue;
        clear(part, "answered");
        isCleared = true;
        if (isPending && m_calls.sound)
            m_calls.sound({ .part = part, .refutes = true });
    }
    if (isCleared)
        recompute();
}

void part_quarantine::stageReached(std::span<const std::string> parts, int stage)
{
    if (m_suspects.empty())
        return;
    bool isRefuted = false;
    for (const std::string& part : parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end() || found->second.mentions == 0)
            continue;
        const evidence_list evidence = evidenceAgainst(part);
        const bool isPending
            = m_blocks.contains(part) || weightOf(part, evidence) >= requiredWeight(part, evidence) - 1;
        if (evidence.empty() || !refute(part, stage))
            continue;
        isRefuted = true;
        if (isPending && m_calls.sound)
            m_calls.sound({ .part = part, .refutes = true, .stage = stage });
    }
    if (isRefuted)
        recompute();
}

bool part_quarantine::refute(std::string_view part, int stage)
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end())
        return false;
    const std::size_t before = evidenceAgainst(part).size();
    found->second.reachedAt.at(static_cast<std::size_t>(stage)) = m_clock.now();
    const evidence_list left = evidenceAgainst(part);
    if (left.size() == before)
        return false;
    const auto block = m_blocks.find(part);
    if (block != m_blocks.end() && !block->second.byOperator
        && weightOf(part, left) < requiredWeight(part, left))
        removeBlock(part, "answer goes on");
    return true;
}

void part_quarantine::soundReported(const sound_part& report)
{
    if (report.stage < wholeAnswerStage) {
        if (refute(report.part, report.stage))
            recompute();
        return;
    }
    rememberAnswer(report.part);
    if (report.refutes) {
        clear(report.part, "answered elsewhere");
        return recompute();
    }
    if (const auto suspected = m_suspects.find(report.part); suspected != m_suspects.end())
        suspected->second.sound = true;
    const auto found = m_blocks.find(report.part);
    if (found != m_blocks.end() && found->second.block.ends < m_options.soundBlockWeight)
        removeBlock(report.part, "answered elsewhere before");
    recompute();
}

bool part_quarantine::isRefuted(const blocked_part& block) const
{
    const auto item = m_suspects.find(block.part);
    if (item == m_suspects.end() || block.targets.empty())
        return false;
    const suspect& against = item->second;
    return std::ranges::all_of(block.targets, [&](const std::string& target) {
        const auto end = std::ranges::find(m_ends, target, &end_record::target);
        if (end == m_ends.end())
            return false;
        // The end may be known here from requests without the part only.
        const auto refutes = [&](const target_end& request) {
            return contains(request.parts, block.part)
                && isRefuted({ .end = &*end, .request = &request }, against);
        };
        return end->at <= against.clearedAt || std::ranges::any_of(end->requests, refutes);
    });
}

void part_quarantine::addEvidence(const blocked_part& block)
{
    for (const std::string& target : block.targets) {
        if (std::ranges::find(m_ends, target, &end_record::target) != m_ends.end())
            continue;
        if (m_ends.size() >= m_options.maxEnds)
            m_ends.erase(m_ends.begin());
        m_ends.push_back({ .target = target,
            .at = m_clock.now(),
            .requests
            = { { .target = target, .parts = block.with, .answerBegun = true, .events = unknownEvents } },
            .answerBegun = true });
        for (const std::string& part : block.with) {
            suspect& item = m_suspects[part];
            item.sound = item.sound || wasAnswered(part);
            ++item.mentions;
        }
    }
}

void part_quarantine::blockReported(const blocked_part& block, bool byOperator)
{
    if (byOperator)
        return addBlock(block, true);
    if (isRefuted(block)) {
        if (m_calls.sound)
            m_calls.sound({ .part = block.part, .refutes = true });
        return;
    }
    addEvidence(block);
    if (block.ends >= m_options.soundBlockWeight || !wasAnswered(block.part))
        addBlock(block, false);
    else if (m_calls.sound)
        m_calls.sound({ .part = block.part });
}

std::optional<int> part_quarantine::dueTrial(std::string_view part) const
{
    const auto found = m_blocks.find(part);
    if (found == m_blocks.end() || found->second.byOperator
        || m_clock.now() < std::max(found->second.nextTrial, m_trialsFrom))
        return std::nullopt;
    return found->second.trials;
}

void part_quarantine::trialStarted(const trial_start& trial)
{
    const auto found = m_blocks.find(trial.part);
    if (found == m_blocks.end() || trial.number < found->second.trials)
        return;
    found->second.trials = trial.number + 1;
    base::duration interval = m_options.trialInterval;
    for (int i = 0; i < found->second.trials && interval < m_options.blockTime; ++i)
        interval *= m_options.trialGrowth;
    found->second.nextTrial = m_clock.now() + interval;
}

void part_quarantine::withdrawn(std::string_view part)
{
    const auto found = m_blocks.find(part);
    if (found != m_blocks.end() && found->second.byOperator)
        removeBlock(part, "withdrawn");
}

const blocked_part* part_quarantine::find(std::span<const std::string> parts) const
{
    if (m_blocks.empty())
        return nullptr;
    for (const std::string& part : parts) {
        const auto found = m_blocks.find(part);
        if (found == m_blocks.end() || found->second.until <= m_clock.now())
            continue;
        const std::vector<std::string>& with = found->second.block.with;
        if (std::ranges::all_of(with, [&](const std::string& other) { return contains(parts, other); }))
            return &found->second.block;
    }
    return nullptr;
}

base::duration part_quarantine::remaining(std::string_view part) const
{
    const auto found = m_blocks.find(part);
    if (found == m_blocks.end())
        return base::duration::zero();
    if (found->second.byOperator)
        return m_options.blockTime;
    return std::max(base::duration::zero(), found->second.until - m_clock.now());
}

base::duration part_quarantine::retryAfter(std::string_view part) const
{
    constexpr base::duration shortest = std::chrono::seconds(1);
    const auto found = m_blocks.find(part);
    if (found == m_blocks.end() || found->second.byOperator)
        return remaining(part);
    return std::max(shortest, std::min(remaining(part), found->second.nextTrial - m_clock.now()));
}

std::vector<std::string> part_quarantine::answeredHere(std::span<const std::string> parts) const
{
    std::vector<std::string> found;
    std::ranges::copy_if(
        parts, std::back_inserter(found), [this](const std::string& part) { return wasAnswered(part); });
    return found;
}

std::vector<blocked_part> part_quarantine::blocks() const
{
    std::vector<blocked_part> out;
    for (const auto& [part, record] : m_blocks)
        out.push_back(record.block);
    return out;
}

std::vector<blocked_part> part_quarantine::ownBlocks() const
{
    std::vector<blocked_part> out;
    for (const auto& [part, record] : m_blocks)
        if (!record.byOperator)
            out.push_back(record.block);
    return out;
}

void part_quarantine::clear(std::string_view part, std::string_view reason)
{
    if (const auto found = m_suspects.find(part); found != m_suspects.end()) {
        found->second.clearedAt = m_clock.now();
        found->second.sound = true;
        found->second.mentions = 0;
    }
    if (const auto found = m_convictions.find(part); found != m_convictions.end())
        m_convictions.erase(found);
    const auto block = m_blocks.find(part);
    if (block != m_blocks.end() && !block->second.byOperator)
        removeBlock(part, reason);
}

void part_quarantine::addBlock(const blocked_part& block, bool byOperator)
{
    const base::time_point now = m_clock.now();
    const auto found = m_blocks.find(block.part);
    if (found != m_blocks.end()) {
        block_record& record = found->second;
        if (byOperator) {
            record.byOperator = true;
            record.until = base::time_point::max();
        }
        if (block.ends > record.block.ends) {
            record.block.ends = block.ends;
            record.block.targets = block.targets;
        }
        const std::size_t before = record.block.with.size();
        std::erase_if(
            record.block.with, [&](const std::string& other) { return !contains(block.with, other); });
        if (record.block.with.size() < before && m_calls.blocked)
            m_calls.blocked(record.block);
        return;
    }
    if (m_blocks.size() >= m_options.maxBlocks)
        m_blocks.erase(
            std::ranges::min_element(m_blocks, {}, [](const auto& item) { return item.second.until; }));
    conviction& past = m_convictions[block.part];
    base::duration time = m_options.blockTime;
    for (int i = 0; i < past.count && time < m_options.maxBlockTime; ++i)
        time *= 2;
    time = std::min(time, m_options.maxBlockTime);
    ++past.count;
    past.probationUntil = now + time + m_options.probation;
    const block_record& added = m_blocks
                                    .emplace(block.part,
                                        block_record { .block = block,
                                            .until = byOperator ? base::time_point::max() : now + time,
                                            .byOperator = byOperator,
                                            .nextTrial = now + m_options.trialInterval })
                                    .first->second;
    if (m_calls.blocked)
        m_calls.blocked(added.block);
}

void part_quarantine::removeBlock(std::string_view part, std::string_view reason)
{
    const auto found = m_blocks.find(part);
    if (found == m_blocks.end())
        return;
    const std::string name = found->first; // The argument may be a view of the key.
    m_blocks.erase(found);
    // Only a block whose time is over leaves the part on probation.
    if (reason != timeIsOver)
        m_convictions.erase(name);
    if (m_calls.released)
        m_calls.released(name, reason);
}

void part_quarantine::removeExpired()
{
    const base::time_point now = m_clock.now();
    std::vector<std::string> over;
    for (const auto& [part, record] : m_blocks)
        if (record.until <= now && !record.byOperator)
            over.push_back(part);
    for (const std::string& part : over)
        removeBlock(part, timeIsOver);
    std::erase_if(m_ends, [&](const end_record& end) { return now - end.at > m_options.blockTime; });
    std::erase_if(m_convictions, [&](const auto& item) { return item.second.probationUntil <= now; });
    std::erase_if(m_answered, [&](const auto& item) { return now - item.second > m_options.soundTime; });
    retainSuspects();
}

void part_quarantine::retainSuspects()
{
    std::set<std::string_view> accused;
    for (const end_record& end : m_ends)
        for (const target_end& request : end.requests)
            accused.insert(request.parts.begin(), request.parts.end());
    std::erase_if(m_suspects, [&](const auto& item) { return !accused.contains(item.first); });
}

} // namespace marigold::relay
