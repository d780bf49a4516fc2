#include "eviction_policy.h"

#include <algorithm>

namespace marigold::context {

eviction_policy::eviction_policy(options opts)
    : m_options(opts)
    , m_start(opts.time.now())
    , m_random(opts.seed)
    , m_reuse(opts.reuse)
{
}

std::uint32_t eviction_policy::nowSeconds() const
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.time.now() - m_start).count());
}

void eviction_policy::recordUse(
    team_number team, std::span<const block_key> chain, std::span<const std::uint32_t> slots)
{
    m_reuse.recordUse(team, chain, m_options.time.now());
    std::uint32_t parent = none;
    for (const std::uint32_t slot : slots) {
        // Blocks after a missing one are unusable.
        if (!contains(slot))
            return;
        if (parent != none && !parentOf(m_records[slot]))
            link(slot, parent);
        m_records[slot].lastUseSeconds = nowSeconds();
        parent = slot;
    }
}

void eviction_policy::insert(const cached_block& block)
{
    if (block.slot >= m_records.size())
        m_records.resize(block.slot + 1);
    if (contains(block.slot))
        erase(block.slot);
    record& added = m_records[block.slot];
    const std::uint32_t serial = added.serial + 1;
    added = { .parent = none,
        .lastUseSeconds = nowSeconds(),
        .bytes = std::max<std::uint32_t>(block.bytes, 1),
        .candidateIndex = none,
        .children = 0,
        .childrenInMemory = 0,
        .serial = serial,
        .parentSerial = 0,
        .team = block.team,
        .position = block.position,
        .tier = block.tier,
        .inUse = true };
    ++m_blocks;
    updateCandidate(block.slot);
    if (contains(block.parent))
        link(block.slot, block.parent);
}

void eviction_policy::link(std::uint32_t slot, std::uint32_t parent)
{
    m_records[slot].parent = parent;
    m_records[slot].parentSerial = m_records[parent].serial;
    countChild(m_records[slot], 1);
}

eviction_policy::record* eviction_policy::parentOf(const record& block)
{
    if (!contains(block.parent) || m_records[block.parent].serial != block.parentSerial)
        return nullptr;
    return &m_records[block.parent];
}

void eviction_policy::countChild(const record& child, std::int32_t change)
{
    record* parent = parentOf(child);
    if (!parent)
        return;
    parent->children += static_cast<std::uint32_t>(change);
    if (child.tier == block_tier::Memory)
        parent->childrenInMemory += static_cast<std::uint32_t>(change);
    updateCandidate(child.parent);
}

void eviction_policy::setTier(std::uint32_t slot, block_tier tier)
{
    if (!contains(slot) || m_records[slot].tier == tier)
        return;
    removeCandidate(slot);
    countChild(m_records[slot], -1);
    m_records[slot].tier = tier;
    countChild(m_records[slot], 1);
    updateCandidate(slot);
}

void eviction_policy::erase(std::uint32_t slot)
{
    if (!contains(slot))
        return;
    removeCandidate(slot);
    countChild(m_records[slot], -1);
    m_records[slot].inUse = false;
    --m_blocks;
}

void eviction_policy::updateCandidate(std::uint32_t slot)
{
    record& block = m_records[slot];
    // A block in memory may move to disk once none of its children is in memory.
    const bool isLast = block.tier == block_tier::Memory ? block.childrenInMemory == 0 : block.children == 0;
    if (!isLast)
        return removeCandidate(slot);
    if (block.candidateIndex != none)
        return;
    auto& candidates = m_candidates[static_cast<std::size_t>(block.tier)];
    block.candidateIndex = static_cast<std::uint32_t>(candidates.size());
    candidates.push_back(slot);
}

void eviction_policy::removeCandidate(std::uint32_t slot)
{
    record& block = m_records[slot];
    if (block.candidateIndex == none)
        return;
    auto& candidates = m_candidates[static_cast<std::size_t>(block.tier)];
    candidates[block.candidateIndex] = candidates.back();
    m_records[candidates.back()].candidateIndex = block.candidateIndex;
    candidates.pop_back();
    block.candidateIndex = none;
}

double eviction_policy::savedSeconds(const record& block, block_tier tier) const
{
    const double recomputeSeconds
        = m_options.prefillSecondsPerBlock + m_options.prefillSecondsPerPosition * block.position;
    if (tier == block_tier::Memory)
        return recomputeSeconds;
    return std::max(recomputeSeconds - block.bytes / m_options.diskBytesPerSecond, 0.0);
}

double eviction_policy::valuePerByte(const record& block, block_tier tier)
{
    if (block.position > 0 && !parentOf(block))
        return 0;
    const base::duration age = std::chrono::seconds(nowSeconds() - block.lastUseSeconds);
    return m_reuse.returnsPerSecond(block.team, age) * savedSeconds(block, tier) / block.bytes;
}

double eviction_policy::valuePerByte(std::uint32_t slot)
{
    return contains(slot) ? valuePerByte(m_records[slot], m_records[slot].tier) : 0;
}

std::uint32_t eviction_policy::leastValuable(block_tier tier)
{
    const auto& candidates = m_candidates[static_cast<std::size_t>(tier)];
    const bool isExhaustive = candidates.size() <= m_options.sampleSize;
    std::uint32_t least = none;
    double leastValue = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < std::min(m_options.sampleSize, candidates.size()); ++i) {
        const std::uint32_t slot = candidates[isExhaustive ? i : m_random.below(candidates.size())];
        const double value = valuePerByte(m_records[slot], tier);
        if (value < leastValue) {
            least = slot;
            leastValue = value;
        }
    }
    return least;
}

std::optional<eviction_policy::decision> eviction_policy::choose(block_tier tier, bool diskHasSpace)
{
    const std::uint32_t slot = leastValuable(tier);
    if (slot == none)
        return std::nullopt;
    if (tier == block_tier::Disk)
        return decision { .slot = slot, .action = action::Evict };
    const record& block = m_records[slot];
    const double valueOnDisk = valuePerByte(block, block_tier::Disk);
    // Evicting a block with children on disk would make them unusable, so it has to move to disk as well.
    const bool mayEvict = block.children == 0;
    if (diskHasSpace && (valueOnDisk > 0 || !mayEvict))
        return decision { .slot = slot, .action = action::MoveDown };
    const std::uint32_t onDisk = leastValuable(block_tier::Disk);
    if (onDisk != none && (!mayEvict || valuePerByte(onDisk) < valueOnDisk))
        return decision { .slot = onDisk, .action = action::Evict };
    // If every block on disk is an ancestor of a block in memory, the chain is cut here: the remaining blocks
    // lose their value and are evicted next.
    return decision { .slot = slot, .action = action::Evict };
}

std::size_t eviction_policy::memoryBytes() const
{
    return m_records.capacity() * sizeof(record)
        + (m_candidates[0].capacity() + m_candidates[1].capacity()) * sizeof(std::uint32_t);
}

} // namespace marigold::context
