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

/// A block that is being written: its extents and which bytes have arrived.
class write_lease {
public:
    /// Bound on the separate ranges of a block, so that tiny pieces cannot use up the memory of the process.
    static constexpr std::size_t maximumRanges = 1024;

    struct options {
        std::string team;
        block_key key;
        block_tier tier = block_tier::Memory;
        std::uint32_t firstExtent = 0;
        std::uint64_t maximumBytes = 0; ///< Size that was reserved.
        base::time_point deadline = {}; ///< When the lease ends unless a piece arrives.
    };

    explicit write_lease(options opts)
        : m_options(std::move(opts))
    {
    }

    const options& reserved() const { return m_options; }
    void extend(base::time_point deadline) { m_options.deadline = deadline; }
    bool isEmpty() const { return m_ranges.empty(); }

    /// Stores a piece. Repeating a piece with the same bytes has no effect, so that a writer may send it
    /// again after a lost response.
    /// \return `InvalidRequest` outside of the reserved size, `Conflict` when a byte was written before with
    /// another value, `TooLarge` when there are too many separate ranges
    base::result<void> write(
        const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes);

    /// Checks that exactly the bytes of [0, \a length) have arrived and have \a checksum.
    base::result<void> check(std::uint64_t length, std::uint64_t checksum) const;

private:
    bool agreesWithWritten(
        const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes) const;
    bool touchesRange(std::uint64_t from, std::uint64_t to) const;
    void addRange(std::uint64_t from, std::uint64_t to);

    options m_options;
    std::map<std::uint64_t, std::uint64_t> m_ranges; ///< Disjoint ranges that have arrived: from, to.
    std::uint64_t m_summed = 0; ///< The bytes before this offset are in the checksum.
    block_checksum m_sum;
};

} // namespace marigold::context
