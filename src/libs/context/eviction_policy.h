#pragma once

#include "reuse_estimator.h"
#include "write_lease.h"

#include <array>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace marigold::context {

/// Eviction policy of a store: chooses the block that leaves a tier.
///
/// The value of a block is its expected number of returns per second (by team and time since the last use)
/// times the seconds of prefill needed to recompute it, divided by its size. Only the last cached block of a
/// chain is a candidate, since a block is useless without its prefix. The policy takes the least valuable
/// candidate of a random sample, which avoids maintaining an order (Beckmann, Chen and Cidon 2018). Blocks
/// are identified by their slot in the pool, which limits a record to 40 bytes.
class eviction_policy {
public:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    struct options {
        const base::clock& time;
        std::uint64_t seed = 1; ///< Seed of the random sample.
        double prefillSecondsPerBlock = 0.05;
        double prefillSecondsPerPosition = 0.002; ///< Additional time per preceding block of the chain.
        /// Loading time is subtracted from the prefill time that a block on disk saves.
        double diskBytesPerSecond = 1e9;
        std::size_t sampleSize = 32;
        reuse_estimator::options reuse = {};
    };

    struct cached_block {
        std::uint32_t slot = none;
        /// Slot of the preceding block, or `none` for the first block of a chain.
        std::uint32_t parent = none;
        team_number team = 0;
        std::uint16_t position = 0; ///< Zero-based position in the chain.
        std::uint32_t bytes = 0;
        block_tier tier = block_tier::Memory;
    };

    enum class action : std::uint8_t {
        Evict,
        MoveDown, ///< From memory to disk.
    };

    struct decision {
        std::uint32_t slot = none;
        eviction_policy::action action = eviction_policy::action::Evict;
    };

    explicit eviction_policy(options opts);

    /// Records a request: updates the return statistics and the last use of its blocks.
    /// \param chain block keys of the prompt
    /// \param slots slot of the block for each key, or `none` if the block is not cached
    void recordUse(team_number team, std::span<const block_key> chain, std::span<const std::uint32_t> slots);

    /// Adds a sealed block, with the present time as its last use.
    void insert(const cached_block& block);

    /// Records that a block has moved to \a tier.
    void setTier(std::uint32_t slot, block_tier tier);

    /// Removes a block that was freed. The blocks after it in the chain have no value until `recordUse` is
    /// called with the complete chain again.
    void erase(std::uint32_t slot);

    bool contains(std::uint32_t slot) const { return slot < m_records.size() && m_records[slot].inUse; }

    /// Chooses a block and an action to free space in \a tier. If the disk is full, a block on disk may be
    /// chosen to make space for one in memory. \return empty if there is no candidate
    std::optional<decision> choose(block_tier tier, bool diskHasSpace);

    /// Seconds of prefill saved per byte and per second that the block remains cached in its tier.
    double valuePerByte(std::uint32_t slot);

    std::size_t blocks() const { return m_blocks; }

    /// Allocated bytes for the records of blocks, including spare capacity.
    std::size_t memoryBytes() const;

    reuse_estimator& reuse() { return m_reuse; }

private:
    struct record {
        std::uint32_t parent = none;
        std::uint32_t lastUseSeconds = 0; ///< Since the construction of the policy.
        std::uint32_t bytes = 0;
        std::uint32_t candidateIndex = none; ///< Index in the candidates of its tier, or `none`.
        std::uint32_t children = 0; ///< 32 bits, since all prompts of a team may share their first block.
        std::uint32_t childrenInMemory = 0;
        std::uint32_t serial = 0; ///< Distinguishes successive blocks in the same slot.
        std::uint32_t parentSerial = 0;
        team_number team = 0;
        std::uint16_t position = 0;
        block_tier tier = block_tier::Memory;
        bool inUse = false;
    };

    std::uint32_t nowSeconds() const;
    record* parentOf(const record& block);
    void link(std::uint32_t slot, std::uint32_t parent);
    void countChild(const record& child, std::int32_t change);
    void updateCandidate(std::uint32_t slot);
    void removeCandidate(std::uint32_t slot);
    double savedSeconds(const record& block, block_tier tier) const;
    double valuePerByte(const record& block, block_tier tier);
    std::uint32_t leastValuable(block_tier tier);

    options m_options;
    base::time_point m_start;
    base::random_source m_random;
    reuse_estimator m_reuse;
    std::vector<record> m_records; ///< By slot.
    std::array<std::vector<std::uint32_t>, 2> m_candidates; ///< By tier.
    std::size_t m_blocks = 0;
};

} // namespace marigold::context
