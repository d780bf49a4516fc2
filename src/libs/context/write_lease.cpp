#include "write_lease.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace marigold::context {

std::string_view nameOf(block_tier tier)
{
    return tier == block_tier::Memory ? "memory" : "disk";
}

base::result<void> write_lease::write(
    const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes)
{
    if (offset > m_options.maximumBytes || bytes.size() > m_options.maximumBytes - offset)
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("the chunk exceeds the reserved {} bytes", m_options.maximumBytes), "offset");
    if (bytes.empty())
        return {};
    if (!matchesWritten(arena, offset, bytes))
        return base::notRun(
            base::error_reason::Conflict, "the chunk differs from bytes that were written before");
    if (m_ranges.size() >= maximumRanges && !touchesRange(offset, offset + bytes.size()))
        return base::notRun(base::error_reason::TooLarge,
            fmt::format("the block consists of more than {} separate ranges", maximumRanges));
    arena.copyIn(m_options.firstExtent, offset, bytes);
    addRange(offset, offset + bytes.size());
    const std::uint64_t contiguous = m_ranges.begin()->first == 0 ? m_ranges.begin()->second : 0;
    arena.addToChecksum(m_checksum, m_options.firstExtent, m_checksummedBytes, contiguous);
    m_checksummedBytes = std::max(m_checksummedBytes, contiguous);
    return {};
}

base::result<void> write_lease::check(std::uint64_t length, std::uint64_t checksum) const
{
    if (length == 0 || m_ranges.size() != 1 || m_checksummedBytes != length)
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("{} contiguous bytes have arrived, expected {}", m_checksummedBytes, length),
            "length");
    if (m_checksum.value() != checksum)
        return base::notRun(
            base::error_reason::InvalidRequest, "the bytes do not match the checksum", "checksum");
    return {};
}

bool write_lease::matchesWritten(
    const extent_arena& arena, std::uint64_t offset, std::span<const std::byte> bytes) const
{
    const std::uint64_t end = offset + bytes.size();
    auto range = m_ranges.upper_bound(offset);
    if (range != m_ranges.begin())
        --range;
    for (; range != m_ranges.end() && range->first < end; ++range) {
        const std::uint64_t from = std::max(range->first, offset);
        const std::uint64_t to = std::min(range->second, end);
        if (from < to && !arena.matches(m_options.firstExtent, from, bytes.subspan(from - offset, to - from)))
            return false;
    }
    return true;
}

bool write_lease::touchesRange(std::uint64_t from, std::uint64_t to) const
{
    const auto next = m_ranges.lower_bound(from);
    return (next != m_ranges.end() && next->first <= to)
        || (next != m_ranges.begin() && std::prev(next)->second >= from);
}

void write_lease::addRange(std::uint64_t from, std::uint64_t to)
{
    auto range = m_ranges.upper_bound(from);
    if (range != m_ranges.begin() && std::prev(range)->second >= from)
        --range;
    while (range != m_ranges.end() && range->first <= to) {
        from = std::min(from, range->first);
        to = std::max(to, range->second);
        range = m_ranges.erase(range);
    }
    m_ranges.emplace(from, to);
}

} // namespace marigold::context
