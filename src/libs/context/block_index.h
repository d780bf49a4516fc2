#pragma once

#include "block_key.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace marigold::context {

/// Maps keys to dense slot numbers, which are reused after an erase. Open addressing with linear probing and
/// backward-shift deletion (Knuth, TAOCP vol. 3, 6.4, algorithm R); about 24 bytes per key.
class block_index {
public:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    /// Returns the slot of \a key, or `none`.
    std::uint32_t find(const block_key& key) const;

    /// Adds \a key, which must be absent, and returns its slot.
    std::uint32_t insert(const block_key& key);

    /// Removes the key at \a slot, which must be in use. A later insert may reuse the slot.
    void erase(std::uint32_t slot);

    const block_key& key(std::uint32_t slot) const { return m_keys[slot]; }
    std::size_t size() const { return m_keys.size() - m_free.size(); }

    /// Exclusive upper bound of the slots assigned so far.
    std::size_t slotLimit() const { return m_keys.size(); }

    /// Allocated bytes, including spare capacity.
    std::size_t memoryBytes() const;

private:
    std::size_t homeCell(const block_key& key) const { return key.low() & (m_cells.size() - 1); }
    void place(std::uint32_t slot);
    void grow();

    std::vector<block_key> m_keys;
    std::vector<std::uint32_t> m_free;
    std::vector<std::uint32_t> m_cells;
};

} // namespace marigold::context
