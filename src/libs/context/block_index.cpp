#include "block_index.h"

#include <algorithm>

namespace marigold::context {

namespace {

constexpr std::size_t initialCells = 16;

// Probe sequences get long above this load factor.
constexpr double maximumLoadFactor = 0.8;

} // namespace

std::uint32_t block_index::find(const block_key& key) const
{
    if (m_cells.empty())
        return none;
    for (std::size_t cell = homeCell(key); m_cells[cell] != none; cell = (cell + 1) & (m_cells.size() - 1))
        if (m_keys[m_cells[cell]] == key)
            return m_cells[cell];
    return none;
}

std::uint32_t block_index::insert(const block_key& key)
{
    if (static_cast<double>(size() + 1) > maximumLoadFactor * static_cast<double>(m_cells.size()))
        grow();
    std::uint32_t slot = static_cast<std::uint32_t>(m_keys.size());
    if (m_free.empty()) {
        m_keys.push_back(key);
    } else {
        slot = m_free.back();
        m_free.pop_back();
        m_keys[slot] = key;
    }
    place(slot);
    return slot;
}

void block_index::erase(std::uint32_t slot)
{
    const std::size_t mask = m_cells.size() - 1;
    std::size_t hole = homeCell(m_keys[slot]);
    while (m_cells[hole] != slot)
        hole = (hole + 1) & mask;
    for (std::size_t next = (hole + 1) & mask; m_cells[next] != none; next = (next + 1) & mask) {
        const std::size_t distance = (next - homeCell(m_keys[m_cells[next]])) & mask;
        if (distance < ((next - hole) & mask))
            continue;
        m_cells[hole] = m_cells[next];
        hole = next;
    }
    m_cells[hole] = none;
    m_keys[slot] = block_key();
    m_free.push_back(slot);
}

std::size_t block_index::memoryBytes() const
{
    return m_keys.capacity() * sizeof(block_key)
        + (m_free.capacity() + m_cells.capacity()) * sizeof(std::uint32_t);
}

void block_index::place(std::uint32_t slot)
{
    std::size_t cell = homeCell(m_keys[slot]);
    while (m_cells[cell] != none)
        cell = (cell + 1) & (m_cells.size() - 1);
    m_cells[cell] = slot;
}

void block_index::grow()
{
    std::vector<std::uint32_t> old(std::max(initialCells, m_cells.size() * 2), none);
    std::swap(old, m_cells);
    for (const std::uint32_t slot : old)
        if (slot != none)
            place(slot);
}

} // namespace marigold::context
