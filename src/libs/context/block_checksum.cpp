#include "block_checksum.h"

#include <xxhash.h>

namespace marigold::context {

block_checksum::block_checksum()
    : m_state(XXH3_createState())
{
    XXH3_64bits_reset(m_state.get());
}

void block_checksum::add(std::span<const std::byte> bytes)
{
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
}

std::uint64_t block_checksum::value() const
{
    return XXH3_64bits_digest(m_state.get());
}

std::uint64_t block_checksum::of(std::span<const std::byte> bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

void block_checksum::deleter::operator()(XXH3_state_s* state) const
{
    XXH3_freeState(state);
}

} // namespace marigold::context
