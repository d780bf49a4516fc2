#pragma once

#include "block_checksum.h"
#include "block_key.h"
#include "extent_arena.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace marigold::context {

enum class block_tier : std::uint8_t {
    Memory,
    Disk,
};

/// Returns the lower-case name of \a tier.
std::string_view nameOf(block_tier tier);

/// A block that is being written: its extents and the byte ranges that have arrived.
class write_lease {
public:
    /// Maximum number of separate ranges of a block, so that tiny chunks cannot exhaust the memory of the
    /// process.
    static constexpr std::size_t maximumRanges = 1024;

    struct options {
        std::string team;
        block_key key;
        block_tier tier = block_tier::Memory;
        std::uint32_t firstExtent = 0;
        std::uint64_t maximumBytes = 0; ///< Reserved size.
        base::time_point deadline = {}; ///< End of the lease unless a chunk arrives.
    };

    explicit write_lease(options opts)
        : m_options(std::move(opts))
    {
    }

    const options& reserved() const { return m_options; }
    void extend(base::time_point deadline) { m_options.deadline = deadline; }
    bool isEmpty() const { return m_ranges.empty(); }

    /// Writes a chunk. Repeating a chunk with the same bytes has no effect, so that a writer may resend it
    /// after a lost response.
    /// \return `InvalidRequest` if the chunk exceeds the reserved size, `Conflict` if it differs from bytes
    /// written before, `TooLarge` if there are too many separate ranges
    base::result<void> write(
        const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes);

    /// Checks that exactly the bytes of [0, \a length) have arrived and have \a checksum.
    base::result<void> check(std::uint64_t length, std::uint64_t checksum) const;

private:
    bool matchesWritten(
        const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes) const;
    bool touchesRange(std::uint64_t from, std::uint64_t to) const;
    void addRange(std::uint64_t from, std::uint64_t to);

    options m_options;
    std::map<std::uint64_t, std::uint64_t>
        m_ranges; ///< Disjoint ranges that have arrived, by start, with their end.
    std::uint64_t m_checksummedBytes = 0; ///< Number of leading bytes included in m_checksum.
    block_checksum m_checksum;
};

} // namespace marigold::context
