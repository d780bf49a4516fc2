#pragma once

#include <context/context.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace marigold::agent {

/// The cached blocks of a store: a pool in memory and on disk, and the policy that selects blocks to
/// move to disk or to evict.
class block_store {
public:
    struct options {
        const base::clock& time;
        std::uint64_t memoryBytes = 64 << 20;
        std::uint64_t diskBytes = 256 << 20;
        std::uint32_t extentBytes = 16 << 10;
        std::uint64_t epoch = 1; ///< Greater than that of every earlier process of this store.
        std::uint64_t seed = 1; ///< Random seed of the sampling by the policy.
        const base::event_log* log = nullptr;
    };

    /// A block to be stored.
    struct incoming_block {
        std::string team;
        context::block_key key;
        context::block_key parent; ///< Null for the first block of a chain.
        std::uint16_t position = 0;
        std::string_view content;
        std::uint64_t checksum = 0; ///< Computed by the sender.
    };

    struct held_blocks {
        std::size_t count = 0; ///< Leading blocks of the chain.
        std::uint64_t bytes = 0;
    };

    struct verified_block {
        std::string content;
        std::uint64_t checksum = 0;
    };

    struct counters {
        std::uint64_t reads = 0;
        std::uint64_t refusedReads = 0;
        std::uint64_t writes = 0;
        std::uint64_t evicted = 0;
        std::uint64_t movedDown = 0;
    };

    explicit block_store(options opts);

    /// Returns the leading blocks of \a chain that are held.
    held_blocks lookUp(std::span<const context::block_key> chain) const;

    /// Like `lookUp`, but also records the use by \a team for the policy.
    held_blocks recordUse(const std::string& team, std::span<const context::block_key> chain);

    /// Reads a block. The bytes are returned only after the read has been verified.
    base::result<verified_block> read(const context::block_key& key);

    /// Stores a block. If there is no space, less valuable blocks are moved to disk or evicted.
    base::result<void> write(const incoming_block& block);

    /// Cancels writes and reads that have timed out.
    void expire() { m_pool.expire(); }

    const context::block_pool& pool() const { return m_pool; }
    const counters& counts() const { return m_counters; }

private:
    context::team_number teamNumber(const std::string& team);
    bool freeSpace();
    bool moveDown(std::uint32_t slot);
    void blockFreed(const context::block_key& key, std::uint32_t slot);

    context::heap_storage m_memory;
    context::heap_storage m_disk;
    context::eviction_policy m_policy;
    context::block_pool m_pool;
    std::vector<context::block_key> m_keys; ///< By slot.
    std::map<std::string, context::team_number> m_teams;
    counters m_counters;
};

} // namespace marigold::agent
