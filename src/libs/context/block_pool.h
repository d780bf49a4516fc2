#pragma once

#include "block_index.h"
#include "extent_arena.h"
#include "write_lease.h"

#include <array>
#include <functional>
#include <optional>
#include <unordered_map>

namespace marigold::context {

/// Lifecycle state of a block in the pool. Freed blocks have no record.
enum class block_state : std::uint8_t {
    Freed,
    Reserved, ///< Space is reserved; no data has arrived.
    Written, ///< Part of the data has arrived.
    Sealed, ///< Complete and verified; only sealed blocks can be read.
};

/// Returns the lower-case name of \a state.
std::string_view nameOf(block_state state);

/// Permission to write one block until it is sealed or abandoned, the lease times out, or the store crashes.
struct write_handle {
    std::uint64_t epoch = 0;
    std::uint64_t lease = 0;
};

/// Permission to copy a block to another tier.
struct move_handle {
    std::uint64_t epoch = 0;
    std::uint64_t move = 0;
};

/// Metadata of a sealed block. It is a hint, since the block may be freed or moved at any time; only a read
/// is verified, by `endRead`.
struct block_info {
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0; ///< Unique in the epoch; changes when the block is freed or moved.
    std::uint64_t length = 0; ///< Bytes.
    std::uint64_t checksum = 0;
    std::uint32_t slot = block_index::none; ///< Index of the block, reused after the block is freed.
    block_tier tier = block_tier::Memory;
};

/// A read in progress.
struct read_handle {
    block_key key;
    block_info block;
    std::uint64_t reader = 0;
};

/// Proof that the bytes received by a read are those of the sealed block. Functions that deliver context
/// require one as a parameter.
class verified_read {
public:
    const block_key& key() const { return m_key; }
    const block_info& block() const { return m_block; }

private:
    friend class block_pool;

    verified_read(const block_key& key, const block_info& block)
        : m_key(key)
        , m_block(block)
    {
    }

    block_key m_key;
    block_info m_block;
};

/// Stores sealed blocks of cached context in a memory tier and a disk tier with reused buffers.
///
/// Freed and partially written blocks are never delivered (I1): a read returns chunks of the live buffers,
/// and only `endRead` determines whether they may be delivered. It compares epoch and generation, which
/// detects buffers that were freed, reused or moved in the meantime, and the length and checksum of the
/// received bytes. The pool does not choose the blocks to evict; see eviction_policy. All errors have the
/// verdict `NotRun`: the pool is unchanged.
class block_pool {
public:
    /// Called when a sealed block is freed for any reason. Must not call the pool.
    using freed_callback = std::function<void(const block_key& key, std::uint32_t slot)>;

    struct options {
        const base::clock& time;
        extent_storage& memory; ///< All referenced objects must outlive the pool.
        extent_storage& disk;
        /// Greater than that of every earlier pool of this store, for example its start time.
        std::uint64_t epoch = 1;
        /// For writers and moves, between two chunks.
        base::duration leaseTimeout = std::chrono::seconds(30);
        base::duration pinTimeout = std::chrono::seconds(30); ///< For readers, between two chunks.
        std::size_t maxReservationsPerTeam = 8;
        std::size_t maxReaders = 4096;
        std::size_t maxMoves = 64;
        freed_callback freed = {};
        const base::event_log* log = nullptr;
    };

    struct reservation {
        std::string_view team;
        block_key key;
        std::uint64_t maximumBytes = 0; ///< Less than 4 GiB.
        block_tier tier = block_tier::Memory;
    };

    struct tier_usage {
        std::uint64_t capacityBytes = 0;
        std::uint64_t freeBytes = 0;
    };

    explicit block_pool(options opts);

    /// Reserves space for a block.
    /// \return `Conflict` if the block exists or is being written, `Overloaded` if the tier is full or the
    /// team has too many reservations, `TooLarge` if the block exceeds the capacity of the tier
    base::result<write_handle> reserve(const reservation& request);

    /// Writes a chunk of the block and extends the lease. Chunks may arrive in any order.
    /// \return `Conflict` if the lease has ended; for other errors see write_lease::write
    base::result<void> write(
        const write_handle& handle, std::uint64_t offset, std::span<const std::byte> bytes);

    /// Makes the block readable if exactly \a length bytes with \a checksum (block_checksum) have arrived.
    /// The lease remains valid after an error.
    base::result<block_info> seal(const write_handle& handle, std::uint64_t length, std::uint64_t checksum);

    /// Ends a reservation and frees its space.
    void abandon(const write_handle& handle);

    block_state stateOf(const block_key& key) const;

    /// Returns the metadata of a sealed block; empty if there is none.
    std::optional<block_info> find(const block_key& key) const;

    /// Pins a sealed block and starts a read. The pin prevents eviction and the completion of a move until
    /// the read ends or the reader is idle for the pin timeout.
    /// \return `NotFound`, or `Overloaded` if there are too many readers
    base::result<read_handle> beginRead(const block_key& key);

    /// Returns the chunk at \a offset. The span refers to the live buffer, so that its content may change; it
    /// is valid until the read ends.
    /// \return `Conflict` if the block was freed, moved or replaced since `beginRead`, or the read has timed
    /// out
    base::result<std::span<const std::byte>> read(const read_handle& handle, std::uint64_t offset);

    /// Ends a read and verifies it.
    /// \param receivedBytes number of bytes that the reader received
    /// \param receivedChecksum checksum of these bytes in order, computed by the reader
    /// \return `Conflict` if the block changed during the read or differs from the received bytes
    base::result<verified_read> endRead(
        const read_handle& handle, std::uint64_t receivedBytes, std::uint64_t receivedChecksum);

    /// Ends a read without verification; its bytes must be discarded.
    void abandonRead(const read_handle& handle);

    /// Frees a block without readers. \return `Conflict` while it is pinned, `NotFound` if it is absent
    base::result<void> evict(const block_key& key);

    /// Frees a block even if it is pinned; its readers then fail verification. \return whether it existed
    bool remove(const block_key& key);

    /// Starts copying a block to \a target; the original stays readable.
    /// \return `NotFound`, `Conflict` if the block is in \a target or being moved already, `Overloaded` if
    /// \a target is full or there are too many moves
    base::result<move_handle> beginMove(const block_key& key, block_tier target);

    /// Copies up to \a bytes.
    /// \return the number of bytes that remain; `Conflict` if the move has ended, for example because it
    /// timed out or the block was freed
    base::result<std::uint64_t> copyMove(const move_handle& handle, std::uint64_t bytes);

    /// Replaces the block by its copy and frees the original.
    /// \return `Conflict` if bytes remain, the block is pinned (may be retried) or the move has ended, for
    /// example because it timed out or the block was freed. `Internal` if the copy does not match the
    /// checksum; the block is freed then.
    base::result<block_info> finishMove(const move_handle& handle);

    void cancelMove(const move_handle& handle);

    /// Ends leases, moves and pins that have timed out. To be called by a timer; `reserve` calls it as well.
    void expire();

    /// Records the loss of the store's memory: starts a new epoch, which invalidates all handles, and frees
    /// everything except sealed blocks on disk.
    void crash();

    tier_usage usage(block_tier tier) const;
    std::size_t blocks() const { return m_index.size(); }
    std::size_t reservations() const { return m_leases.size(); }

    /// Allocated bytes for the records of sealed blocks, including spare capacity, without the extent tables.
    std::size_t memoryBytes() const;

private:
    struct record {
        std::uint64_t generation = 0;
        std::uint64_t checksum = 0;
        std::uint32_t length = 0;
        std::uint32_t firstExtent = 0;
        std::uint16_t pins = 0;
        block_tier tier = block_tier::Memory;
        bool moving = false;
    };

    struct reader {
        std::uint32_t slot = 0;
        std::uint64_t generation = 0;
        base::time_point deadline;
    };

    struct move_state {
        std::uint32_t slot = 0;
        block_tier target = block_tier::Disk;
        std::uint32_t firstExtent = 0;
        std::uint64_t copied = 0;
        base::time_point deadline;
        block_checksum checksum;
    };

    extent_arena& arena(block_tier tier) { return m_arenas[static_cast<std::size_t>(tier)]; }
    const extent_arena& arena(block_tier tier) const { return m_arenas[static_cast<std::size_t>(tier)]; }
    block_info infoOf(std::uint32_t slot) const;
    base::result<void> checkReservation(const reservation& request) const;
    write_lease* leaseOf(const write_handle& handle);
    void endLease(std::uint64_t lease);
    bool isCurrent(const read_handle& handle) const;
    void unpin(std::uint64_t reader);
    void free(std::uint32_t slot);
    void freeCorrupt(std::uint32_t slot);
    bool storedBytesMatch(std::uint32_t slot) const;
    move_state* moveOf(const move_handle& handle);
    void endMove(std::uint64_t move);
    void log(const base::event_definition& event, const block_key& key) const;

    options m_options;
    std::array<extent_arena, 2> m_arenas;
    block_index m_index;
    std::vector<record> m_records; ///< By slot.
    std::unordered_map<std::uint64_t, write_lease> m_leases;
    std::unordered_map<block_key, std::uint64_t, block_key_hash> m_leaseOfKey;
    std::unordered_map<std::string, std::size_t> m_leasesOfTeam;
    std::unordered_map<std::uint64_t, reader> m_readers;
    std::unordered_map<std::uint64_t, move_state> m_moves;
    std::uint64_t m_lastId = 0; ///< Shared by leases, readers and moves.
    std::uint64_t m_lastGeneration = 0;
};

} // namespace marigold::context
