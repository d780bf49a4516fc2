#pragma once

#include "block_checksum.h"
#include "extent_storage.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace marigold::context {

/// Allocates the extents of one tier as linked lists, like a file allocation table, so that blocks of any
/// size can be stored without external fragmentation. The most recently freed extent is allocated first.
class extent_arena {
public:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    explicit extent_arena(extent_storage& storage);

    /// Allocates a list of extents (at least one) for \a bytes and returns its first extent; empty if too few
    /// are free.
    std::optional<std::uint32_t> allocate(std::uint64_t bytes);

    /// Frees the list that starts at \a first.
    void release(std::uint32_t first);

    /// Frees the extents of the list at \a first beyond \a bytes, except for its first extent.
    void trim(std::uint32_t first, std::uint64_t bytes);

    /// Frees all extents.
    void reset();

    /// Returns the bytes from \a offset to the end of the extent that holds it, at most \a limit of them.
    std::span<std::byte> contiguousBytes(
        std::uint32_t first, std::uint64_t offset, std::uint64_t limit) const;

    void copyIn(std::uint32_t first, std::uint64_t offset, std::span<const std::byte> bytes) const;
    bool matches(std::uint32_t first, std::uint64_t offset, std::span<const std::byte> bytes) const;

    /// Adds the bytes in [\a from, \a to) to \a checksum.
    void addToChecksum(
        block_checksum& checksum, std::uint32_t first, std::uint64_t from, std::uint64_t to) const;

    std::uint64_t capacityBytes() const { return std::uint64_t { m_storage.extentCount() } * extentBytes(); }
    std::uint64_t freeBytes() const { return std::uint64_t { m_freeCount } * extentBytes(); }
    std::uint64_t extentBytes() const { return m_storage.extentBytes(); }

    /// Allocated bytes of the extent table, without the storage.
    std::size_t memoryBytes() const { return m_next.capacity() * sizeof(std::uint32_t); }

private:
    std::uint64_t extentsFor(std::uint64_t bytes) const;

    extent_storage& m_storage;
    std::vector<std::uint32_t> m_next;
    std::uint32_t m_free = none;
    std::uint32_t m_freeCount = 0;
};

} // namespace marigold::context
