#pragma once

#include "return_gaps.h"
#include "write_lease.h"

#include <array>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace marigold::context {

/// Chooses what leaves a tier of a store.
///
/// The value of a block is the expected returns a second (by team and time since the last use) times the
/// seconds of prefill that rebuilding it would take, divided by its size. Only the last kept block of a chain
/// is a candidate, since a block without its prefix is of no use. The candidate is the least valuable one of
/// a random sample, which needs no order to be maintained (Beckmann, Chen and Cidon 2018). Blocks are known
/// by the slot of the pool, which keeps a block at 40 bytes here.
class keep_policy {
public:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    struct options {
        const base::clock& time;
        std::uint64_t seed = 1; ///< For the sample.
        double prefillSecondsPerBlock = 0.05;
        double prefillSecondsPerPosition = 0.002; ///< A block takes this much longer for each one before it.
        double diskBytesPerSecond = 1e9; ///< Loading from disk saves only what prefill would take longer.
        std::size_t sampleSize = 32;
        return_gaps::options gaps = {};
    };

    struct kept_block {
        std::uint32_t slot = none;
        std::uint32_t parent = none; ///< Slot of the block before, or `none` for the first of a chain.
        team_number team = 0;
        std::uint16_t position = 0; ///< In the chain, from zero.
        std::uint32_t bytes = 0;
        block_tier tier = block_tier::Memory;
    };

    enum class action : std::uint8_t {
        Evict,
        MoveDown, ///< From memory to disk.
    };

    struct decision {
        std::uint32_t slot = none;
        keep_policy::action action = keep_policy::action::Evict;
    };

    explicit keep_policy(options opts);

    /// Records a request: learns from the gap since its context was used, and marks blocks as used.
    /// \param chain keys of the prompt
    /// \param slots for each key the slot of the block, or `none` when it is not kept
    void recordUse(team_number team, std::span<const block_key> chain, std::span<const std::uint32_t> slots);

    /// Adds a sealed block as used now.
    void insert(const kept_block& block);

    /// Records that a block has moved.
    void setTier(std::uint32_t slot, block_tier tier);

    /// Forgets a block that was freed. Blocks after it in its chain lose their value until `recordUse` sees
    /// the chain complete again.
    void erase(std::uint32_t slot);

    bool contains(std::uint32_t slot) const { return slot < m_records.size() && m_records[slot].inUse; }

    /// Chooses what to do to free space in \a tier. With a full disk, the block to go may be on disk although
    /// memory is what is needed. \return empty when nothing may leave
    std::optional<decision> choose(block_tier tier, bool diskHasRoom);

    /// Seconds of prefill saved per second and byte of keeping the block where it is.
    double valuePerByte(std::uint32_t slot);

    std::size_t blocks() const { return m_blocks; }

    /// Bytes for the records of blocks, including spare capacity.
    std::size_t memoryBytes() const;

    return_gaps& gaps() { return m_gaps; }

private:
    struct record {
        std::uint32_t parent = none;
        std::uint32_t lastUseSeconds = 0; ///< Since the policy began.
        std::uint32_t bytes = 0;
        std::uint32_t candidateAt = none; ///< Index in m_candidates of its tier.
        std::uint32_t children = 0; ///< 32 bits, since every prompt of a team may share its first block.
        std::uint32_t childrenInMemory = 0;
        std::uint32_t serial = 0; ///< Tells the blocks that have had this slot apart.
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
    return_gaps m_gaps;
    std::vector<record> m_records; ///< By slot.
    std::array<std::vector<std::uint32_t>, 2> m_candidates; ///< By tier.
    std::size_t m_blocks = 0;
};

} // namespace marigold::context
