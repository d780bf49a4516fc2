#include "part_quarantine.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Requests that are kept of one ended target; all relays that sent to it report theirs.
constexpr std::size_t maxRequestsPerEnd = 8;

/// Ended targets that a block names.
constexpr std::size_t maxTargetsPerBlock = 8;

constexpr std::string_view timeIsOver = "time is over";

bool contains(std::span<const std::string> parts, std::string_view part)
{
    return std::ranges::find(parts, part) != parts.end();
}

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
        return known.parts == end.parts && known.answerBegun == end.answerBegun;
    };
    if (record->requests.size() >= maxRequestsPerEnd || std::ranges::any_of(record->requests, isSame))
        return;
    record->requests.push_back(end);
    record->answerBegun = record->answerBegun || end.answerBegun;
    for (const std::string& part : end.parts) {
        suspect& item = m_suspects[part];
        const bool reportedSound = contains(end.soundParts, part);
        if (!reportedSound && !item.sound && wasAnswered(part) && m_calls.sound)
            m_calls.sound({ .part = part });
        item.sound = item.sound || reportedSound || wasAnswered(part);
        ++item.mentions;
    }
    recompute();
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
        const evidence_list evidence = evidenceAgainst(part);
        // A part that all processes know to be sound is answered at many of them; one end less than required
        // is no danger.
        const bool isPending = blocked || weightOf(part, evidence) >= requiredWeight(part) - 1;
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

void part_quarantine::soundReported(const sound_part& report)
{
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
    return std::ranges::all_of(block.targets, [&](const std::string& target) {
        const auto end = std::ranges::find(m_ends, target, &end_record::target);
        return end != m_ends.end() && end->at <= item->second.clearedAt;
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
            .requests = { { .target = target, .parts = block.with, .answerBegun = true } },
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
    if (found == m_blocks.end() || found->second.byOperator || m_clock.now() < found->second.nextTrial)
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

bool part_quarantine::accuses(const end_record& end, const target_end& request, std::string_view part) const
{
    // A request that waited did not end a target that had begun to answer another one.
    return (request.answerBegun || !end.answerBegun) && contains(request.parts, part);
}

part_quarantine::evidence_index part_quarantine::indexEvidence() const
{
    evidence_index index;
    for (const end_record& end : m_ends)
        for (const target_end& request : end.requests) {
            if (!request.answerBegun && end.answerBegun)
                continue;
            for (const std::string& part : request.parts) {
                evidence_list& evidence = index[part];
                if (evidence.empty() || evidence.back() != &end)
                    evidence.push_back(&end);
            }
        }
    for (auto& [part, evidence] : index)
        if (const auto item = m_suspects.find(part); item != m_suspects.end())
            std::erase_if(evidence, [&](const end_record* end) { return end->at <= item->second.clearedAt; });
    return index;
}

part_quarantine::evidence_list part_quarantine::evidenceAgainst(std::string_view part) const
{
    const auto item = m_suspects.find(part);
    const base::time_point clearedAt
        = item == m_suspects.end() ? base::time_point::min() : item->second.clearedAt;
    evidence_list evidence;
    for (const end_record& end : m_ends)
        if (end.at > clearedAt && std::ranges::any_of(end.requests, [&](const target_end& request) {
                return accuses(end, request, part);
            }))
            evidence.push_back(&end);
    return evidence;
}

double part_quarantine::weightOf(std::string_view part, const evidence_list& evidence) const
{
    const auto item = m_suspects.find(part);
    const bool sound = item != m_suspects.end() && item->second.sound;
    const base::duration separation = sound ? m_options.soundSeparation : m_options.separation;
    double weight = 0;
    double clusterWeight = 0;
    base::time_point clusterBegin = base::time_point::min();
    for (const end_record* end : evidence) {
        if (clusterBegin == base::time_point::min() || end->at - clusterBegin >= separation) {
            weight += clusterWeight;
            clusterWeight = 0;
            clusterBegin = end->at;
        }
        clusterWeight = std::max(clusterWeight, end->answerBegun ? 1.0 : m_options.unbegunWeight);
    }
    return weight + clusterWeight;
}

double part_quarantine::requiredWeight(std::string_view part) const
{
    const auto convicted = m_convictions.find(part);
    if (convicted != m_convictions.end() && m_clock.now() < convicted->second.probationUntil)
        return 1;
    const auto item = m_suspects.find(part);
    return item != m_suspects.end() && item->second.sound ? m_options.soundBlockWeight
                                                          : m_options.blockWeight;
}

std::vector<std::string> part_quarantine::commonParts(
    std::string_view part, const evidence_list& evidence) const
{
    std::vector<std::string> common;
    bool isFirst = true;
    for (const end_record* end : evidence) {
        std::vector<std::string> accused;
        for (const target_end& request : end->requests)
            if (accuses(*end, request, part))
                accused.insert(accused.end(), request.parts.begin(), request.parts.end());
        if (std::exchange(isFirst, false))
            common = accused;
        else
            std::erase_if(common, [&](const std::string& other) { return !contains(accused, other); });
    }
    std::ranges::sort(common);
    common.erase(std::unique(common.begin(), common.end()), common.end());
    std::erase_if(common, [&](const std::string& other) {
        const auto item = m_suspects.find(other);
        return other != part && item != m_suspects.end()
            && (item->second.sound || item->second.clearedAt != base::time_point::min());
    });
    return common;
}

std::vector<part_quarantine::accused_part> part_quarantine::accusedParts(const evidence_index& index) const
{
    std::vector<accused_part> accused;
    for (const auto& [part, item] : m_suspects) {
        const double required = requiredWeight(part);
        const auto found = index.find(part);
        if (item.mentions < required || found == index.end())
            continue;
        const double weight = weightOf(part, found->second);
        if (weight >= required)
            accused.push_back(
                { .part = part, .evidence = found->second, .weight = weight, .required = required });
    }
    return accused;
}

void part_quarantine::recompute()
{
    const evidence_index index = indexEvidence();
    std::vector<accused_part> accused = accusedParts(index);
    std::set<const end_record*> explained;
    const auto isExplained = [&](const end_record* end) { return explained.contains(end); };
    std::vector<blocked_part> found;
    while (!accused.empty()) {
        const auto worst = std::ranges::max_element(accused, {}, &accused_part::weight);
        explained.insert(worst->evidence.begin(), worst->evidence.end());
        found.push_back(blockFor(worst->part, worst->evidence));
        accused.erase(worst);
        for (accused_part& other : accused)
            if (std::erase_if(other.evidence, isExplained) > 0)
                other.weight = weightOf(other.part, other.evidence);
        std::erase_if(accused, [](const accused_part& item) { return item.weight < item.required; });
    }
    // What was taken for the cause before may be explained by another part now.
    std::vector<std::string> unfounded;
    for (const auto& [part, record] : m_blocks) {
        const auto accusing = index.find(part);
        const bool isFound = std::ranges::find(found, part, &blocked_part::part) != found.end();
        if (!record.byOperator && !isFound && accusing != index.end() && !accusing->second.empty()
            && std::ranges::all_of(accusing->second, isExplained))
            unfounded.push_back(part);
    }
    for (const blocked_part& block : found)
        addBlock(block, false);
    for (const std::string& part : unfounded)
        removeBlock(part, "explained by another part");
}

blocked_part part_quarantine::blockFor(std::string_view part, const evidence_list& evidence) const
{
    std::vector<std::string> targets;
    const std::size_t first = evidence.size() - std::min(evidence.size(), maxTargetsPerBlock);
    for (std::size_t i = first; i < evidence.size(); ++i)
        targets.push_back(evidence[i]->target);
    return { .part = std::string(part),
        .with = commonParts(part, evidence),
        .ends = static_cast<int>(evidence.size()),
        .targets = targets };
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
