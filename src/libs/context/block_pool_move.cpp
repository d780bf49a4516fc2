// Part of block_pool: moves between tiers, and timeouts.

#include "block_pool.h"
#include "events.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::context {

base::result<move_handle> block_pool::beginMove(const block_key& key, block_tier target)
{
    const std::uint32_t slot = m_index.find(key);
    if (slot == block_index::none)
        return base::notRun(base::error_reason::NotFound, "the store has no such sealed block");
    record& block = m_records[slot];
    if (block.moving || block.tier == target)
        return base::notRun(base::error_reason::Conflict,
            block.moving ? "the block is already being moved" : "the block is already in that tier");
    if (m_moves.size() >= m_options.maxMoves)
        return base::notRun(base::error_reason::Overloaded, "too many concurrent moves");
    const auto extent = arena(target).allocate(block.length);
    if (!extent)
        return base::notRun(
            base::error_reason::Overloaded, fmt::format("the {} tier is full", nameOf(target)));
    const std::uint64_t id = ++m_lastId;
    move_state& move = m_moves[id];
    move.slot = slot;
    move.target = target;
    move.firstExtent = *extent;
    move.deadline = m_options.time.now() + m_options.leaseTimeout;
    block.moving = true;
    return move_handle { .epoch = m_options.epoch, .move = id };
}

block_pool::move_state* block_pool::moveOf(const move_handle& handle)
{
    const auto found = m_moves.find(handle.move);
    if (handle.epoch != m_options.epoch || found == m_moves.end()
        || found->second.deadline <= m_options.time.now())
        return nullptr;
    return &found->second;
}

base::result<std::uint64_t> block_pool::copyMove(const move_handle& handle, std::uint64_t bytes)
{
    move_state* move = moveOf(handle);
    if (!move)
        return base::notRun(base::error_reason::Conflict, "the move has ended, timed out or lost its block");
    const record& block = m_records[move->slot];
    const std::uint64_t end = std::min<std::uint64_t>(block.length, move->copied + bytes);
    while (move->copied < end) {
        const std::span<const std::byte> chunk
            = arena(block.tier).contiguousBytes(block.firstExtent, move->copied, end - move->copied);
        arena(move->target).copyIn(move->firstExtent, move->copied, chunk);
        arena(move->target)
            .addToChecksum(move->checksum, move->firstExtent, move->copied, move->copied + chunk.size());
        move->copied += chunk.size();
    }
    move->deadline = m_options.time.now() + m_options.leaseTimeout;
    return block.length - move->copied;
}

base::result<block_info> block_pool::finishMove(const move_handle& handle)
{
    const move_state* move = moveOf(handle);
    if (!move)
        return base::notRun(base::error_reason::Conflict, "the move has ended, timed out or lost its block");
    const std::uint32_t slot = move->slot;
    record& block = m_records[slot];
    if (move->copied < block.length)
        return base::notRun(base::error_reason::Conflict, "the copy is incomplete");
    if (move->checksum.value() != block.checksum) {
        freeCorrupt(slot);
        return base::notRun(base::error_reason::Internal, "the stored bytes no longer match the checksum");
    }
    if (block.pins > 0)
        return base::notRun(base::error_reason::Conflict, "the block is being read");
    arena(block.tier).release(block.firstExtent);
    block.firstExtent = move->firstExtent;
    block.tier = move->target;
    block.moving = false;
    block.generation = ++m_lastGeneration;
    m_moves.erase(handle.move);
    return infoOf(slot);
}

void block_pool::cancelMove(const move_handle& handle)
{
    if (moveOf(handle))
        endMove(handle.move);
}

void block_pool::endMove(std::uint64_t move)
{
    const auto found = m_moves.find(move);
    arena(found->second.target).release(found->second.firstExtent);
    m_records[found->second.slot].moving = false;
    m_moves.erase(found);
}

void block_pool::expire()
{
    const base::time_point now = m_options.time.now();
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, lease] : m_leases)
        if (lease.reserved().deadline <= now)
            overdue.push_back(id);
    for (const std::uint64_t id : overdue) {
        const auto& lease = m_leases.at(id).reserved();
        log(events::reservationAbandoned, lease.key);
        arena(lease.tier).release(lease.firstExtent);
        endLease(id);
    }
    overdue.clear();
    for (const auto& [id, move] : m_moves)
        if (move.deadline <= now)
            overdue.push_back(id);
    for (const std::uint64_t id : overdue)
        endMove(id);
    overdue.clear();
    for (const auto& [id, reader] : m_readers)
        if (reader.deadline <= now)
            overdue.push_back(id);
    for (const std::uint64_t id : overdue)
        unpin(id);
}

} // namespace marigold::context
