#include "part_quarantine.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Ended targets that a block names.
constexpr std::size_t maxTargetsPerBlock = 8;

} // namespace

bool part_quarantine::isRefuted(const mention& item, const suspect& against)
{
    const base::time_point at = item.end->at;
    if (at <= against.clearedAt)
        return true;
    if (item.request->events == unknownEvents)
        return false;
    const auto higher = std::span(against.reachedAt)
                            .subspan(static_cast<std::size_t>(answerStage(item.request->events)) + 1);
    return std::ranges::any_of(higher, [at](base::time_point reached) { return at <= reached; });
}

double part_quarantine::weightOf(const mention& item, const suspect& against) const
{
    const target_end& request = *item.request;
    // A request that waited did not end a target that had begun to answer another one.
    if (isRefuted(item, against) || (!request.answerBegun && item.end->answerBegun))
        return 0;
    if (!request.answerBegun)
        return m_options.unbegunWeight;
    if (answerStage(request.events) == 0)
        return 1;
    return against.sound ? 0 : m_options.runningWeight;
}

const part_quarantine::suspect& part_quarantine::suspectOf(std::string_view part) const
{
    static const suspect unknown;
    const auto found = m_suspects.find(part);
    return found == m_suspects.end() ? unknown : found->second;
}

part_quarantine::evidence_list part_quarantine::evidenceOf(
    std::string_view part, std::span<const mention> mentions) const
{
    const suspect& against = suspectOf(part);
    evidence_list evidence;
    for (const mention& item : mentions) {
        const double weight = weightOf(item, against);
        if (weight <= 0)
            continue;
        if (evidence.empty() || evidence.back().end != item.end)
            evidence.push_back({ .end = item.end, .weight = weight });
        else
            evidence.back().weight = std::max(evidence.back().weight, weight);
    }
    return evidence;
}

part_quarantine::evidence_index part_quarantine::indexEvidence() const
{
    std::unordered_map<std::string_view, std::vector<mention>> mentions;
    for (const end_record& end : m_ends)
        for (const target_end& request : end.requests)
            for (const std::string& part : request.parts)
                mentions[part].push_back({ .end = &end, .request = &request });
    evidence_index index;
    for (const auto& [part, items] : mentions)
        index.emplace(part, evidenceOf(part, items));
    return index;
}

part_quarantine::evidence_list part_quarantine::evidenceAgainst(std::string_view part) const
{
    std::vector<mention> mentions;
    for (const end_record& end : m_ends)
        for (const target_end& request : end.requests)
            if (contains(request.parts, part))
                mentions.push_back({ .end = &end, .request = &request });
    return evidenceOf(part, mentions);
}

double part_quarantine::weightOf(std::string_view part, const evidence_list& evidence) const
{
    const base::duration separation
        = suspectOf(part).sound ? m_options.soundSeparation : m_options.separation;
    double weight = 0;
    double clusterWeight = 0;
    base::time_point clusterBegin = base::time_point::min();
    for (const accusation& item : evidence) {
        if (clusterBegin == base::time_point::min() || item.end->at - clusterBegin >= separation) {
            weight += clusterWeight;
            clusterWeight = 0;
            clusterBegin = item.end->at;
        }
        clusterWeight = std::max(clusterWeight, item.weight);
    }
    return weight + clusterWeight;
}

std::size_t part_quarantine::recentEnds() const
{
    const auto first
        = std::ranges::lower_bound(m_ends, m_clock.now() - m_options.noiseTime, {}, &end_record::at);
    return static_cast<std::size_t>(std::distance(first, m_ends.end()));
}

double part_quarantine::requiredWeight(std::string_view part, const evidence_list& evidence) const
{
    const auto convicted = m_convictions.find(part);
    if (convicted != m_convictions.end() && m_clock.now() < convicted->second.probationUntil)
        return 1;
    if (suspectOf(part).sound)
        return m_options.soundBlockWeight;
    const bool isNoisy = recentEnds() >= evidence.size() + m_options.noisyEnds;
    return isNoisy ? m_options.noisyBlockWeight : m_options.blockWeight;
}

std::vector<std::string> part_quarantine::commonParts(
    std::string_view part, const evidence_list& evidence) const
{
    std::vector<std::string> common;
    bool isFirst = true;
    const suspect& against = suspectOf(part);
    for (const accusation& item : evidence) {
        std::vector<std::string> accused;
        for (const target_end& request : item.end->requests)
            if (contains(request.parts, part)
                && weightOf({ .end = item.end, .request = &request }, against) > 0)
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
        const auto found = index.find(part);
        if (found == index.end())
            continue;
        const double required = requiredWeight(part, found->second);
        if (item.mentions < required)
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
    const auto isExplained = [&](const accusation& item) { return explained.contains(item.end); };
    std::vector<blocked_part> found;
    while (!accused.empty()) {
        const auto worst = std::ranges::max_element(accused, {}, &accused_part::weight);
        for (const accusation& item : worst->evidence)
            explained.insert(item.end);
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
        targets.push_back(evidence[i].end->target);
    return { .part = std::string(part),
        .with = commonParts(part, evidence),
        .ends = static_cast<int>(weightOf(part, evidence)),
        .targets = targets };
}

} // namespace marigold::relay
