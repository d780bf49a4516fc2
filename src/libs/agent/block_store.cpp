#include "block_store.h"

#include <algorithm>
#include <limits>

namespace marigold::agent {

namespace {

/// Bytes copied per step when a block moves to disk. A block is copied in one step, since the loop has
/// nothing to wait for.
constexpr std::uint64_t wholeBlockBytes = std::numeric_limits<std::uint64_t>::max();

/// Attempts to free space for one block. Each attempt frees at least one block, and blocks are of similar
/// size.
constexpr int maxEvictions = 64;

} // namespace

block_store::block_store(options opts)
    : m_memory({ .capacityBytes = opts.memoryBytes, .extentBytes = opts.extentBytes })
    , m_disk({ .capacityBytes = opts.diskBytes, .extentBytes = opts.extentBytes })
    , m_policy({ .time = opts.time, .seed = opts.seed })
    , m_pool({ .time = opts.time,
          .memory = m_memory,
          .disk = m_disk,
          .epoch = opts.epoch,
          .freed = [this](const context::block_key& key, std::uint32_t slot) { blockFreed(key, slot); },
          .log = opts.log })
{
}

context::team_number block_store::teamNumber(const std::string& team)
{
    // Teams beyond the range share the last number; the policy then models their return gaps together.
    constexpr std::size_t maximum = std::numeric_limits<context::team_number>::max();
    return m_teams.try_emplace(team, static_cast<context::team_number>(std::min(m_teams.size(), maximum)))
        .first->second;
}

void block_store::blockFreed(const context::block_key&, std::uint32_t slot)
{
    if (m_policy.contains(slot))
        m_policy.erase(slot);
}

block_store::held_blocks block_store::lookUp(std::span<const context::block_key> chain) const
{
    held_blocks held;
    for (const auto& key : chain) {
        const auto found = m_pool.find(key);
        if (!found)
            break;
        ++held.count;
        held.bytes += found->length;
    }
    return held;
}

block_store::held_blocks block_store::recordUse(
    const std::string& team, std::span<const context::block_key> chain)
{
    std::vector<std::uint32_t> slots;
    for (const auto& key : chain) {
        const auto found = m_pool.find(key);
        slots.push_back(found ? found->slot : context::eviction_policy::none);
    }
    m_policy.recordUse(teamNumber(team), chain, slots);
    return lookUp(chain);
}

base::result<block_store::verified_block> block_store::read(const context::block_key& key)
{
    const auto handle = m_pool.beginRead(key);
    if (!handle)
        return tl::unexpected(handle.error());
    verified_block out;
    context::block_checksum checksum;
    while (out.content.size() < handle->block.length) {
        const auto chunk = m_pool.read(*handle, out.content.size());
        if (!chunk || chunk->empty())
            break;
        checksum.add(*chunk);
        out.content.append(reinterpret_cast<const char*>(chunk->data()), chunk->size());
    }
    out.checksum = checksum.value();
    if (const auto verified = m_pool.endRead(*handle, out.content.size(), out.checksum); !verified) {
        ++m_counters.refusedReads;
        return tl::unexpected(verified.error());
    }
    ++m_counters.reads;
    return out;
}

base::result<void> block_store::write(const incoming_block& block)
{
    const context::block_pool::reservation request {
        .team = block.team, .key = block.key, .maximumBytes = block.content.size()
    };
    auto handle = m_pool.reserve(request);
    for (int i = 0; i < maxEvictions && !handle && handle.error().reason == base::error_reason::Overloaded
         && freeSpace();
         ++i)
        handle = m_pool.reserve(request);
    if (!handle)
        return tl::unexpected(handle.error());
    const auto bytes = std::as_bytes(std::span(block.content.data(), block.content.size()));
    const auto written = m_pool.write(*handle, 0, bytes);
    const auto sealed
        = written ? m_pool.seal(*handle, bytes.size(), block.checksum) : tl::unexpected(written.error());
    if (!sealed) {
        m_pool.abandon(*handle);
        return tl::unexpected(sealed.error());
    }
    ++m_counters.writes;
    if (m_keys.size() <= sealed->slot)
        m_keys.resize(sealed->slot + 1);
    m_keys[sealed->slot] = block.key;
    const auto parent = block.parent.isNull() ? std::nullopt : m_pool.find(block.parent);
    m_policy.insert({ .slot = sealed->slot,
        .parent = parent ? parent->slot : context::eviction_policy::none,
        .team = teamNumber(block.team),
        .position = block.position,
        .bytes = static_cast<std::uint32_t>(bytes.size()),
        .tier = sealed->tier });
    return {};
}

bool block_store::moveDown(std::uint32_t slot)
{
    const context::block_key key = m_keys[slot];
    const auto move = m_pool.beginMove(key, context::block_tier::Disk);
    if (!move)
        return false;
    const auto copied = m_pool.copyMove(*move, wholeBlockBytes);
    const auto moved = copied ? m_pool.finishMove(*move) : tl::unexpected(copied.error());
    if (!moved) {
        m_pool.cancelMove(*move);
        return false;
    }
    m_policy.setTier(slot, context::block_tier::Disk);
    ++m_counters.movedDown;
    return true;
}

bool block_store::freeSpace()
{
    const auto disk = m_pool.usage(context::block_tier::Disk);
    const bool diskHasSpace = disk.freeBytes > disk.capacityBytes / 64;
    const auto decision = m_policy.choose(context::block_tier::Memory, diskHasSpace);
    if (!decision)
        return false;
    if (decision->action == context::eviction_policy::action::MoveDown && moveDown(decision->slot))
        return true;
    if (!m_pool.evict(m_keys[decision->slot]))
        return false;
    ++m_counters.evicted;
    return true;
}

} // namespace marigold::agent
