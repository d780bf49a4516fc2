#include "extent_arena.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace marigold::context {

extent_arena::extent_arena(extent_storage& storage)
    : m_storage(storage)
    , m_next(storage.extentCount())
{
    reset();
}

std::uint64_t extent_arena::extentsFor(std::uint64_t bytes) const
{
    return std::max<std::uint64_t>((bytes + extentBytes() - 1) / extentBytes(), 1);
}

std::optional<std::uint32_t> extent_arena::allocate(std::uint64_t bytes)
{
    const std::uint64_t count = extentsFor(bytes);
    if (count > m_freeCount)
        return std::nullopt;
    const std::uint32_t first = m_free;
    std::uint32_t last = first;
    for (std::uint64_t i = 1; i < count; ++i)
        last = m_next[last];
    m_free = m_next[last];
    m_next[last] = none;
    m_freeCount -= static_cast<std::uint32_t>(count);
    return first;
}

void extent_arena::release(std::uint32_t first)
{
    std::uint32_t last = first;
    ++m_freeCount;
    for (; m_next[last] != none; last = m_next[last])
        ++m_freeCount;
    m_next[last] = m_free;
    m_free = first;
}

void extent_arena::trim(std::uint32_t first, std::uint64_t bytes)
{
    std::uint32_t last = first;
    for (std::uint64_t i = 1; i < extentsFor(bytes); ++i)
        last = m_next[last];
    const std::uint32_t surplus = std::exchange(m_next[last], none);
    if (surplus != none)
        release(surplus);
}

void extent_arena::reset()
{
    m_freeCount = static_cast<std::uint32_t>(m_next.size());
    for (std::uint32_t i = 0; i < m_freeCount; ++i)
        m_next[i] = i + 1 < m_freeCount ? i + 1 : none;
    m_free = m_freeCount > 0 ? 0 : none;
}

std::span<std::byte> extent_arena::contiguousBytes(
    std::uint32_t first, std::uint64_t offset, std::uint64_t limit) const
{
    std::uint32_t extent = first;
    for (std::uint64_t skip = offset / extentBytes(); skip > 0; --skip)
        extent = m_next[extent];
    const std::span<std::byte> rest = m_storage.extent(extent).subspan(offset % extentBytes());
    return rest.first(std::min<std::uint64_t>(rest.size(), limit));
}

void extent_arena::copyIn(std::uint32_t first, std::uint64_t offset, std::span<const std::byte> bytes) const
{
    while (!bytes.empty()) {
        const std::span<std::byte> target = contiguousBytes(first, offset, bytes.size());
        std::memcpy(target.data(), bytes.data(), target.size());
        bytes = bytes.subspan(target.size());
        offset += target.size();
    }
}

bool extent_arena::matches(std::uint32_t first, std::uint64_t offset, std::span<const std::byte> bytes) const
{
    while (!bytes.empty()) {
        const std::span<std::byte> stored = contiguousBytes(first, offset, bytes.size());
        if (std::memcmp(stored.data(), bytes.data(), stored.size()) != 0)
            return false;
        bytes = bytes.subspan(stored.size());
        offset += stored.size();
    }
    return true;
}

void extent_arena::addToChecksum(
    block_checksum& checksum, std::uint32_t first, std::uint64_t from, std::uint64_t to) const
{
    while (from < to) {
        const std::span<std::byte> stored = contiguousBytes(first, from, to - from);
        checksum.add(stored);
        from += stored.size();
    }
}

} // namespace marigold::context
