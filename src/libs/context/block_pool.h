#pragma once

#include "block_index.h"
#include "extent_arena.h"
#include "write_lease.h"

#include <array>
#include <functional>
#include <optional>
#include <unordered_map>

namespace marigold::context {

/// Life of a block in the pool. A freed block leaves no trace.
enum class block_state : std::uint8_t {
    Freed,
    Reserved, ///< A writer holds space and has sent nothing.
    Written, ///< A writer has sent a part.
    Sealed, ///< Complete and checked; only such a block can be read.
};

/// Returns the lower-case name of \a state.
std::string_view nameOf(block_state state);

/// Right to write one block, until it is sealed or abandoned, the lease times out, or the store crashes.
struct write_handle {
    std::uint64_t epoch = 0;
    std::uint64_t lease = 0;
};

/// Right to copy a block to another tier.
struct move_handle {
    std::uint64_t epoch = 0;
    std::uint64_t move = 0;
};

/// What the pool says of a sealed block. It is a hint for everyone but a reader, who has it verified.
struct block_info {
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0; ///< Unique in the epoch; changes when the block is freed or moved.
    std::uint64_t length = 0; ///< Bytes.
    std::uint64_t checksum = 0;
    std::uint32_t slot = block_index::none; ///< Dense number of the block, reused after it is freed.
    block_tier tier = block_tier::Memory;
};

/// A read in progress.
struct read_handle {
    block_key key;
    block_info block;
    std::uint64_t reader = 0;
};

/// Proof that the bytes of a read are the sealed block. Code that delivers context takes one as a parameter.
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

/// Sealed blocks of cached context in a memory and a disk tier, whose buffers are reused.
///
/// A freed or partially written block is never read (I1): a read hands out pieces of the live buffers, and
/// only `endRead` says whether they may be delivered. It compares epoch and generation, so that it notices a
/// buffer that was freed, reused or moved, and length and checksum of what the reader received. The pool
/// decides nothing about what to keep; see keep_policy. Errors are `NotRun`: nothing has changed.
class block_pool {
public:
    /// Runs when a sealed block is freed for any reason. It must not call the pool.
    using freed_callback = std::function<void(const block_key& key, std::uint32_t slot)>;

    struct options {
        const base::clock& time;
        extent_storage& memory; ///< Outlives the pool, as the others do.
        extent_storage& disk;
        std::uint64_t epoch
            = 1; ///< Above that of every earlier pool of this store, for instance its start time.
        base::duration leaseTimeout = std::chrono::seconds(30); ///< For writers and moves between two pieces.
        base::duration pinTimeout = std::chrono::seconds(30); ///< For readers between two pieces.
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
    /// \return `Conflict` when the block exists or is being written, `Overloaded` when the tier is full or
    /// the team has too many reservations, `TooLarge` when the tier could never hold it
    base::result<write_handle> reserve(const reservation& wanted);

    /// Stores a piece of the block; pieces may arrive in any order. Extends the lease.
    /// \return `Conflict` when the lease has ended; otherwise see write_lease::write
    base::result<void> write(
        const write_handle& handle, std::uint64_t offset, std::span<const std::byte> bytes);

    /// Makes the block readable if exactly \a length bytes with \a checksum (block_checksum) have arrived.
    /// After an error the lease goes on.
    base::result<block_info> seal(const write_handle& handle, std::uint64_t length, std::uint64_t checksum);

    /// Ends a reservation and frees its space.
    void abandon(const write_handle& handle);

    block_state stateOf(const block_key& key) const;

    /// Finds a sealed block.
    std::optional<block_info> find(const block_key& key) const;

    /// Pins a sealed block and starts a read. The pin keeps `evict` and moves away until the read ends or the
    /// reader is silent for the pin timeout.
    /// \return `NotFound`, or `Overloaded` when there are too many readers
    base::result<read_handle> beginRead(const block_key& key);

    /// Returns the piece at \a offset. It shows whatever is in the buffer and is valid until the read ends.
    /// \return `Conflict` when the block is no longer the one the read began with
    base::result<std::span<const std::byte>> read(const read_handle& handle, std::uint64_t offset);

    /// Ends a read and verifies it.
    /// \param receivedBytes number of bytes that the reader received
    /// \param receivedChecksum checksum over them in order, computed by the reader
    /// \return `Conflict` unless the block was unchanged throughout and is what the reader received
    base::result<verified_read> endRead(
        const read_handle& handle, std::uint64_t receivedBytes, std::uint64_t receivedChecksum);

    /// Ends a read whose bytes are dropped.
    void abandonRead(const read_handle& handle);

    /// Frees a block that nobody reads. \return `Conflict` while it is pinned, `NotFound` when absent
    base::result<void> evict(const block_key& key);

    /// Frees a block in any case; its readers fail verification. \return whether it was there
    bool remove(const block_key& key);

    /// Starts a copy of a block to \a target; the block stays readable where it is.
    /// \return `NotFound`, `Conflict` when it is there or moving already, `Overloaded` when \a target is full
    base::result<move_handle> beginMove(const block_key& key, block_tier target);

    /// Copies up to \a bytes. \return how many bytes remain; `Conflict` when the block is gone
    base::result<std::uint64_t> copyMove(const move_handle& handle, std::uint64_t bytes);

    /// Makes the copy the block and frees the original.
    /// \return `Conflict` when bytes remain, the block is pinned (try again) or is gone. A copy that does not
    /// match the checksum frees the block with `Internal`.
    base::result<block_info> finishMove(const move_handle& handle);

    void cancelMove(const move_handle& handle);

    /// Ends leases, moves and pins that have timed out. To be called by a timer; `reserve` does so, too.
    void expire();

    /// Records that the store has lost its memory: a new epoch begins, every handle of the old one is void,
    /// and only sealed blocks on disk remain.
    void crash();

    tier_usage usage(block_tier tier) const;
    std::size_t blocks() const { return m_index.size(); }
    std::size_t reservations() const { return m_leases.size(); }

    /// Bytes for the records of sealed blocks, including spare capacity, without the extent tables.
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
        block_checksum sum;
    };

    extent_arena& arena(block_tier tier) { return m_arenas[static_cast<std::size_t>(tier)]; }
    const extent_arena& arena(block_tier tier) const { return m_arenas[static_cast<std::size_t>(tier)]; }
    block_info infoOf(std::uint32_t slot) const;
    base::result<void> checkReservation(const reservation& wanted) const;
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
    std::uint64_t m_lastId = 0; ///< Of leases, readers and moves.
    std::uint64_t m_lastGeneration = 0;
};

} // namespace marigold::context
