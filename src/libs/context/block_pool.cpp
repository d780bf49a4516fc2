#include "block_pool.h"

#include "events.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::context {

namespace {

// Block lengths are stored in 32 bits.
constexpr std::uint64_t blockBytesLimit = std::uint64_t { 1 } << 32;

// Pins of a block are counted in 16 bits.
constexpr std::size_t maxPins = 65535;

tl::unexpected<base::error> endedError(std::string_view operation)
{
    return base::notRun(base::error_reason::Conflict,
        fmt::format("the {} has ended, timed out or lost its block", operation));
}

tl::unexpected<base::error> notFoundError()
{
    return base::notRun(base::error_reason::NotFound, "the store has no such sealed block");
}

} // namespace

std::string_view nameOf(block_state state)
{
    constexpr std::array<std::string_view, 4> names { "freed", "reserved", "written", "sealed" };
    return names[static_cast<std::size_t>(state)];
}

block_pool::block_pool(options opts)
    : m_options(std::move(opts))
    , m_arenas { extent_arena(m_options.memory), extent_arena(m_options.disk) }
{
    m_options.maxReaders = std::min(m_options.maxReaders, maxPins);
}

base::result<void> block_pool::checkReservation(const reservation& request) const
{
    const block_state state = stateOf(request.key);
    if (state != block_state::Freed)
        return base::notRun(
            base::error_reason::Conflict, fmt::format("the block is already {}", nameOf(state)));
    if (request.maximumBytes >= blockBytesLimit || request.maximumBytes > arena(request.tier).capacityBytes())
        return base::notRun(base::error_reason::TooLarge,
            fmt::format("{} bytes exceed the maximum block size of the {} tier", request.maximumBytes,
                nameOf(request.tier)));
    const auto held = m_leasesOfTeam.find(std::string(request.team));
    if (held != m_leasesOfTeam.end() && held->second >= m_options.maxReservationsPerTeam)
        return base::notRun(base::error_reason::Overloaded,
            fmt::format("the team already has the maximum of {} reservations", held->second));
    return {};
}

base::result<write_handle> block_pool::reserve(const reservation& request)
{
    expire();
    if (auto allowed = checkReservation(request); !allowed)
        return tl::unexpected(allowed.error());
    const auto extent = arena(request.tier).allocate(request.maximumBytes);
    if (!extent)
        return base::notRun(
            base::error_reason::Overloaded, fmt::format("the {} tier is full", nameOf(request.tier)));
    const std::uint64_t id = ++m_lastId;
    m_leases.emplace(id,
        write_lease({ .team = std::string(request.team),
            .key = request.key,
            .tier = request.tier,
            .firstExtent = *extent,
            .maximumBytes = request.maximumBytes,
            .deadline = m_options.time.now() + m_options.leaseTimeout }));
    m_leaseOfKey.emplace(request.key, id);
    ++m_leasesOfTeam[std::string(request.team)];
    return write_handle { .epoch = m_options.epoch, .lease = id };
}

write_lease* block_pool::leaseOf(const write_handle& handle)
{
    const auto found = m_leases.find(handle.lease);
    if (handle.epoch != m_options.epoch || found == m_leases.end()
        || found->second.reserved().deadline <= m_options.time.now())
        return nullptr;
    return &found->second;
}

base::result<void> block_pool::write(
    const write_handle& handle, std::uint64_t offset, std::span<const std::byte> bytes)
{
    write_lease* lease = leaseOf(handle);
    if (!lease)
        return endedError("reservation");
    auto written = lease->write(arena(lease->reserved().tier), offset, bytes);
    if (written)
        lease->extend(m_options.time.now() + m_options.leaseTimeout);
    return written;
}

base::result<block_info> block_pool::seal(
    const write_handle& handle, std::uint64_t length, std::uint64_t checksum)
{
    const write_lease* lease = leaseOf(handle);
    if (!lease)
        return endedError("reservation");
    if (auto complete = lease->check(length, checksum); !complete)
        return tl::unexpected(complete.error());
    const auto& reserved = lease->reserved();
    arena(reserved.tier).trim(reserved.firstExtent, length);
    const std::uint32_t slot = m_index.insert(reserved.key);
    if (slot >= m_records.size())
        m_records.resize(slot + 1);
    m_records[slot] = { .generation = ++m_lastGeneration,
        .checksum = checksum,
        .length = static_cast<std::uint32_t>(length),
        .firstExtent = reserved.firstExtent,
        .pins = 0,
        .tier = reserved.tier,
        .moving = false };
    endLease(handle.lease);
    return infoOf(slot);
}

void block_pool::abandon(const write_handle& handle)
{
    if (const write_lease* lease = leaseOf(handle)) {
        arena(lease->reserved().tier).release(lease->reserved().firstExtent);
        endLease(handle.lease);
    }
}

void block_pool::endLease(std::uint64_t lease)
{
    const auto found = m_leases.find(lease);
    const auto team = m_leasesOfTeam.find(found->second.reserved().team);
    if (--team->second == 0)
        m_leasesOfTeam.erase(team);
    m_leaseOfKey.erase(found->second.reserved().key);
    m_leases.erase(found);
}

block_state block_pool::stateOf(const block_key& key) const
{
    if (m_index.find(key) != block_index::none)
        return block_state::Sealed;
    const auto lease = m_leaseOfKey.find(key);
    if (lease == m_leaseOfKey.end())
        return block_state::Freed;
    return m_leases.at(lease->second).isEmpty() ? block_state::Reserved : block_state::Written;
}

std::optional<block_info> block_pool::find(const block_key& key) const
{
    const std::uint32_t slot = m_index.find(key);
    if (slot == block_index::none)
        return std::nullopt;
    return infoOf(slot);
}

block_info block_pool::infoOf(std::uint32_t slot) const
{
    const record& block = m_records[slot];
    return { .epoch = m_options.epoch,
        .generation = block.generation,
        .length = block.length,
        .checksum = block.checksum,
        .slot = slot,
        .tier = block.tier };
}

base::result<read_handle> block_pool::beginRead(const block_key& key)
{
    const std::uint32_t slot = m_index.find(key);
    if (slot == block_index::none)
        return notFoundError();
    if (m_readers.size() >= m_options.maxReaders)
        return base::notRun(base::error_reason::Overloaded, "too many concurrent reads");
    const std::uint64_t id = ++m_lastId;
    m_readers.emplace(id,
        reader { .slot = slot,
            .generation = m_records[slot].generation,
            .deadline = m_options.time.now() + m_options.pinTimeout });
    ++m_records[slot].pins;
    return read_handle { .key = key, .block = infoOf(slot), .reader = id };
}

bool block_pool::isCurrent(const read_handle& handle) const
{
    const auto found = m_readers.find(handle.reader);
    return handle.block.epoch == m_options.epoch && found != m_readers.end()
        && found->second.deadline > m_options.time.now()
        && found->second.generation == handle.block.generation
        && m_records[found->second.slot].generation == found->second.generation;
}

base::result<std::span<const std::byte>> block_pool::read(const read_handle& handle, std::uint64_t offset)
{
    if (!isCurrent(handle))
        return endedError("read");
    reader& state = m_readers.at(handle.reader);
    const record& block = m_records[state.slot];
    if (offset >= block.length)
        return base::notRun(
            base::error_reason::InvalidRequest, "the offset is beyond the end of the block", "offset");
    state.deadline = m_options.time.now() + m_options.pinTimeout;
    return arena(block.tier).contiguousBytes(block.firstExtent, offset, block.length - offset);
}

base::result<verified_read> block_pool::endRead(
    const read_handle& handle, std::uint64_t receivedBytes, std::uint64_t receivedChecksum)
{
    if (!isCurrent(handle)) {
        log(events::readRefused, handle.key);
        abandonRead(handle);
        return endedError("read");
    }
    const std::uint32_t slot = m_readers.at(handle.reader).slot;
    unpin(handle.reader);
    const block_info block = infoOf(slot);
    if (receivedBytes == block.length && receivedChecksum == block.checksum)
        return verified_read(m_index.key(slot), block);
    log(events::readRefused, handle.key);
    if (!storedBytesMatch(slot))
        freeCorrupt(slot);
    return base::notRun(base::error_reason::Conflict, "the received bytes differ from the sealed block");
}

void block_pool::abandonRead(const read_handle& handle)
{
    if (handle.block.epoch == m_options.epoch)
        unpin(handle.reader);
}

void block_pool::unpin(std::uint64_t reader)
{
    const auto found = m_readers.find(reader);
    if (found == m_readers.end())
        return;
    record& block = m_records[found->second.slot];
    if (block.generation == found->second.generation)
        --block.pins;
    m_readers.erase(found);
}

bool block_pool::storedBytesMatch(std::uint32_t slot) const
{
    const record& block = m_records[slot];
    block_checksum checksum;
    arena(block.tier).addToChecksum(checksum, block.firstExtent, 0, block.length);
    return checksum.value() == block.checksum;
}

base::result<void> block_pool::evict(const block_key& key)
{
    const std::uint32_t slot = m_index.find(key);
    if (slot == block_index::none)
        return notFoundError();
    if (m_records[slot].pins > 0)
        return base::notRun(base::error_reason::Conflict, "the block is being read");
    free(slot);
    return {};
}

bool block_pool::remove(const block_key& key)
{
    const std::uint32_t slot = m_index.find(key);
    if (slot == block_index::none)
        return false;
    free(slot);
    return true;
}

void block_pool::free(std::uint32_t slot)
{
    if (m_records[slot].moving) {
        const auto move = std::find_if(
            m_moves.begin(), m_moves.end(), [&](const auto& entry) { return entry.second.slot == slot; });
        endMove(move->first);
    }
    arena(m_records[slot].tier).release(m_records[slot].firstExtent);
    m_records[slot] = {};
    const block_key key = m_index.key(slot);
    m_index.erase(slot);
    if (m_options.freed)
        m_options.freed(key, slot);
}

void block_pool::freeCorrupt(std::uint32_t slot)
{
    log(events::blockCorrupt, m_index.key(slot));
    free(slot);
}

void block_pool::crash()
{
    if (m_options.log)
        m_options.log->write(events::memoryLost, { { "epoch", fmt::format("{}", m_options.epoch + 1) } });
    ++m_options.epoch;
    m_readers.clear();
    while (!m_moves.empty())
        endMove(m_moves.begin()->first);
    while (!m_leases.empty()) {
        const auto& lease = m_leases.begin()->second.reserved();
        arena(lease.tier).release(lease.firstExtent);
        endLease(m_leases.begin()->first);
    }
    for (std::uint32_t slot = 0; slot < m_records.size(); ++slot) {
        record& block = m_records[slot];
        block.pins = 0;
        if (block.generation == 0)
            continue;
        if (block.tier == block_tier::Memory)
            free(slot);
        else
            block.generation = ++m_lastGeneration;
    }
}

block_pool::tier_usage block_pool::usage(block_tier tier) const
{
    return { .capacityBytes = arena(tier).capacityBytes(), .freeBytes = arena(tier).freeBytes() };
}

std::size_t block_pool::memoryBytes() const
{
    return m_index.memoryBytes() + m_records.capacity() * sizeof(record);
}

void block_pool::log(const base::event_definition& event, const block_key& key) const
{
    if (m_options.log)
        m_options.log->write(event, { { "block", key.hex() } });
}

} // namespace marigold::context
