#include "extent_storage.h"

#include <algorithm>

namespace marigold::context {

heap_storage::heap_storage(options opts)
    : m_extentBytes(std::max<std::uint32_t>(opts.extentBytes, 1))
    , m_count(static_cast<std::uint32_t>(opts.capacityBytes / m_extentBytes))
    , m_bytes(std::make_unique_for_overwrite<std::byte[]>(std::size_t { m_count } * m_extentBytes))
{
}

std::span<std::byte> heap_storage::extent(std::uint32_t index)
{
    return { m_bytes.get() + std::size_t { index } * m_extentBytes, m_extentBytes };
}

} // namespace marigold::context
