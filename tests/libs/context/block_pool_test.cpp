#include <context/context.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::context;
using bytes = std::vector<std::byte>;

namespace {

constexpr std::uint32_t extentBytes = 16;
constexpr std::uint64_t memoryBytes = std::uint64_t { extentBytes } * 12;
constexpr std::uint64_t diskBytes = std::uint64_t { extentBytes } * 16;
constexpr base::duration timeout = std::chrono::seconds(10);
constexpr std::size_t maxPerTeam = 3;

block_key keyOf(int i)
{
    return block_key(base::truncate(base::sha256(std::to_string(i))));
}

std::uint64_t extentsOf(std::uint64_t length)
{
    return std::max<std::uint64_t>((length + extentBytes - 1) / extentBytes, 1);
}

/// Reference model of the pool. Each step predicts the outcome from the written content and compares it.
class pool_model {
public:
    void step(int op, int a, int b)
    {
        using method = void (pool_model::*)(int, int);
        static constexpr method ops[]
            = { &pool_model::reserve, &pool_model::reserve, &pool_model::write, &pool_model::write,
                  &pool_model::write, &pool_model::rewrite, &pool_model::seal, &pool_model::seal,
                  &pool_model::abandon, &pool_model::beginRead, &pool_model::beginRead, &pool_model::read,
                  &pool_model::read, &pool_model::read, &pool_model::endRead, &pool_model::endRead,
                  &pool_model::remove, &pool_model::evict, &pool_model::beginMove, &pool_model::copyMove,
                  &pool_model::finishMove, &pool_model::wait, &pool_model::crash, &pool_model::corrupt };
        (this->*ops[static_cast<std::size_t>(op) % std::size(ops)])(a, b);
        checkSpace();
    }

    /// Ends all open operations and checks that no extent was leaked.
    void finish()
    {
        m_time.advance(timeout);
        m_pool.expire();
        for (const auto& [key, block] : m_blocks)
            RC_ASSERT(m_pool.remove(keyOf(key)));
        RC_ASSERT(m_pool.usage(block_tier::Memory).freeBytes == memoryBytes);
        RC_ASSERT(m_pool.usage(block_tier::Disk).freeBytes == diskBytes);
        RC_ASSERT(m_freed == m_sealed);
    }

    std::size_t verified = 0;

private:
    struct write_model {
        write_handle handle;
        int key;
        int team;
        block_tier tier;
        bytes content;
        std::uint64_t reserved;
        std::vector<std::size_t> missing; ///< Offsets of chunks not sent yet, 5 bytes apart.
        std::vector<bool> arrived; ///< By byte; chunks of 7 bytes overlap.
        base::time_point deadline;
    };
    struct block_model {
        bytes content;
        block_tier tier;
        int version;
        bool corrupt = false;
    };
    struct read_model {
        read_handle handle;
        int key;
        int version; ///< Zero once the pin has timed out.
        bool copiesAtOnce; ///< Copies each chunk at once; otherwise the buffers are read only at the end.
        std::uint64_t next = 0;
        bytes copied;
        std::vector<std::span<const std::byte>> chunks;
        base::time_point deadline;
    };
    struct move_model {
        move_handle handle;
        int key;
        block_tier target;
        std::uint64_t copied = 0;
        base::time_point deadline;
    };

    template <typename T> static T* pick(std::vector<T>& from, int i)
    {
        return from.empty() ? nullptr : &from[static_cast<std::size_t>(i) % from.size()];
    }
    template <typename T> static void drop(std::vector<T>& from, T* item)
    {
        from.erase(from.begin() + (item - from.data()));
    }
    std::uint64_t freeExtents(block_tier tier) const { return m_pool.usage(tier).freeBytes / extentBytes; }
    base::time_point newDeadline() const { return m_time.now() + timeout; }
    int pins(int key) const
    {
        const int version = m_blocks.at(key).version;
        return static_cast<int>(std::count_if(m_reads.begin(), m_reads.end(),
            [&](const read_model& read) { return read.key == key && read.version == version; }));
    }
    void erase(int key)
    {
        m_blocks.erase(key);
        std::erase_if(m_moves, [&](const move_model& move) { return move.key == key; });
    }

    void reserve(int a, int b)
    {
        const int key = a % 6;
        const int team = a % 2;
        const auto tier = b % 3 == 0 ? block_tier::Disk : block_tier::Memory;
        const std::uint64_t length = static_cast<std::uint64_t>(b) % 60 + 1;
        const std::uint64_t reserved = length + static_cast<std::uint64_t>(a) % 40;
        const bool expected = !m_blocks.contains(key)
            && std::none_of(m_writes.begin(), m_writes.end(), [&](const auto& w) { return w.key == key; })
            && std::count_if(m_writes.begin(), m_writes.end(), [&](const auto& w) { return w.team == team; })
                < static_cast<long>(maxPerTeam)
            && freeExtents(tier) >= extentsOf(reserved);
        const auto handle = m_pool.reserve(
            { .team = std::to_string(team), .key = keyOf(key), .maximumBytes = reserved, .tier = tier });
        RC_ASSERT(handle.has_value() == expected);
        if (!handle)
            return;
        // Each write has distinct content, so that bytes of a previous user of the buffer are detected.
        write_model write { *handle, key, team, tier, bytes(length), reserved, {}, std::vector<bool>(length),
            newDeadline() };
        for (auto& byte : write.content)
            byte = static_cast<std::byte>(m_random.below(256));
        for (std::size_t offset = 0; offset < length; offset += 5)
            write.missing.push_back(offset);
        m_writes.push_back(std::move(write));
    }

    void write(int a, int b)
    {
        write_model* write = pick(m_writes, a);
        if (!write || write->missing.empty())
            return;
        for (int i = 0; i <= b % 8 && !write->missing.empty(); ++i) {
            const auto at = write->missing.begin() + (b + i) % static_cast<int>(write->missing.size());
            const auto rest = std::span(write->content).subspan(*at);
            const auto chunk = rest.first(std::min<std::size_t>(rest.size(), 7));
            RC_ASSERT(m_pool.write(write->handle, *at, chunk));
            std::fill_n(write->arrived.begin() + static_cast<long>(*at), chunk.size(), true);
            write->missing.erase(at);
        }
        write->deadline = newDeadline();
    }

    void rewrite(int a, int b)
    {
        write_model* write = pick(m_writes, a);
        if (!write || !write->arrived[0])
            return;
        std::byte first = write->content.front();
        if (b % 2)
            first = ~first;
        RC_ASSERT(m_pool.write(write->handle, 0, { &first, 1 }).has_value() == (b % 2 == 0));
        RC_ASSERT(!m_pool.write(write->handle, write->reserved, { &first, 1 }));
        if (b % 2 == 0)
            write->deadline = newDeadline();
    }

    void seal(int a, int b)
    {
        for (int i = 0; i < b % 3; ++i)
            this->write(a, 7);
        write_model* write = pick(m_writes, a);
        if (!write)
            return;
        const std::uint64_t checksum = block_checksum::of(write->content) + (b % 4 == 0 ? 1 : 0);
        const std::uint64_t length = write->content.size() - (b % 4 == 1 ? 1 : 0);
        const auto sealed = m_pool.seal(write->handle, length, checksum);
        const bool complete
            = std::find(write->arrived.begin(), write->arrived.end(), false) == write->arrived.end();
        RC_ASSERT(sealed.has_value() == (complete && b % 4 > 1));
        if (!sealed) {
            RC_ASSERT(!m_pool.beginRead(keyOf(write->key)));
            return;
        }
        m_blocks[write->key] = { write->content, write->tier, ++m_version };
        ++m_sealed;
        drop(m_writes, write);
    }

    void abandon(int a, int)
    {
        write_model* write = pick(m_writes, a);
        if (!write)
            return;
        m_pool.abandon(write->handle);
        RC_ASSERT(!m_pool.write(write->handle, 0, {}));
        drop(m_writes, write);
    }

    void beginRead(int a, int b)
    {
        const int key = a % 6;
        const auto handle = m_pool.beginRead(keyOf(key));
        RC_ASSERT(handle.has_value() == m_blocks.contains(key));
        if (handle)
            m_reads.push_back({ *handle, key, m_blocks[key].version, b % 2 == 0, 0, {}, {}, newDeadline() });
    }

    bool isValid(const read_model& read) const
    {
        const auto block = m_blocks.find(read.key);
        return block != m_blocks.end() && block->second.version == read.version;
    }

    void read(int a, int)
    {
        read_model* read = pick(m_reads, a);
        if (!read)
            return;
        const auto chunk = m_pool.read(read->handle, read->next);
        RC_ASSERT(chunk.has_value() == (isValid(*read) && read->next < read->handle.block.length));
        if (!chunk)
            return;
        read->chunks.push_back(*chunk);
        read->copied.insert(read->copied.end(), chunk->begin(), chunk->end());
        read->next += chunk->size();
        read->deadline = newDeadline();
    }

    void endRead(int a, int b)
    {
        for (int i = 0; i < b % 6; ++i)
            read(a, 0);
        read_model* read = pick(m_reads, a);
        if (!read)
            return;
        bytes received = read->copied;
        if (!read->copiesAtOnce) {
            received.clear();
            for (const auto& chunk : read->chunks)
                received.insert(received.end(), chunk.begin(), chunk.end());
        }
        const bool valid = isValid(*read);
        const bool expected = valid && received == m_blocks[read->key].content;
        const auto result = m_pool.endRead(read->handle, received.size(), block_checksum::of(received));
        RC_ASSERT(result.has_value() == expected);
        RC_ASSERT(!m_pool.endRead(read->handle, received.size(), block_checksum::of(received)));
        verified += result ? 1 : 0;
        if (valid && !expected && m_blocks[read->key].corrupt)
            erase(read->key);
        drop(m_reads, read);
    }

    void remove(int a, int)
    {
        RC_ASSERT(m_pool.remove(keyOf(a % 6)) == m_blocks.contains(a % 6));
        erase(a % 6);
    }

    void evict(int a, int)
    {
        const int key = a % 6;
        const bool expected = m_blocks.contains(key) && pins(key) == 0;
        RC_ASSERT(m_pool.evict(keyOf(key)).has_value() == expected);
        if (expected)
            erase(key);
    }

    void beginMove(int a, int b)
    {
        const int key = a % 6;
        const auto target = b % 2 ? block_tier::Disk : block_tier::Memory;
        const auto block = m_blocks.find(key);
        const bool expected = block != m_blocks.end() && block->second.tier != target
            && std::none_of(m_moves.begin(), m_moves.end(), [&](const auto& m) { return m.key == key; })
            && freeExtents(target) >= extentsOf(block->second.content.size());
        const auto handle = m_pool.beginMove(keyOf(key), target);
        RC_ASSERT(handle.has_value() == expected);
        if (handle)
            m_moves.push_back({ *handle, key, target, 0, newDeadline() });
    }

    void copyMove(int a, int b)
    {
        move_model* move = pick(m_moves, a);
        if (!move)
            return;
        const std::uint64_t length = m_blocks[move->key].content.size();
        move->copied = std::min(length, move->copied + static_cast<std::uint64_t>(b) % 64);
        RC_ASSERT(m_pool.copyMove(move->handle, static_cast<std::uint64_t>(b) % 64).value()
            == length - move->copied);
        move->deadline = newDeadline();
    }

    void finishMove(int a, int b)
    {
        copyMove(a, b);
        move_model* move = pick(m_moves, a);
        if (!move)
            return;
        block_model& block = m_blocks[move->key];
        const bool complete = move->copied == block.content.size();
        const bool expected = complete && !block.corrupt && pins(move->key) == 0;
        const auto before = m_pool.find(keyOf(move->key));
        const auto moved = m_pool.finishMove(move->handle);
        RC_ASSERT(moved.has_value() == expected);
        RC_ASSERT((!moved || moved->generation != before->generation));
        if (complete && block.corrupt) {
            erase(move->key);
        } else if (expected) {
            block.tier = move->target;
            block.version = ++m_version;
            drop(m_moves, move);
        }
    }

    void wait(int a, int)
    {
        m_time.advance(timeout * (a % 8) / 7);
        const auto overdue = [&](const auto& item) { return item.deadline <= m_time.now(); };
        for (const auto& write : m_writes)
            RC_ASSERT(m_pool.write(write.handle, 0, {}).has_value() == !overdue(write));
        for (const auto& move : m_moves)
            RC_ASSERT(m_pool.copyMove(move.handle, 0).has_value() == !overdue(move));
        for (auto& read : m_reads) {
            if (overdue(read))
                read.version = 0;
            RC_ASSERT(m_pool.read(read.handle, 0).has_value() == isValid(read));
        }
        m_pool.expire();
        std::erase_if(m_writes, overdue);
        std::erase_if(m_moves, overdue);
        for (auto& write : m_writes)
            write.deadline = newDeadline();
        for (auto& move : m_moves)
            move.deadline = newDeadline();
        for (auto& read : m_reads)
            read.deadline = newDeadline();
    }

    void crash(int a, int)
    {
        if (a % 8 != 0)
            return;
        for (std::uint32_t i = 0; i < m_memory.extentCount(); ++i)
            for (auto& byte : m_memory.extent(i))
                byte = static_cast<std::byte>(m_random.below(256));
        const auto before = m_pool.find(keyOf(a % 6));
        m_pool.crash();
        const auto after = m_pool.find(keyOf(a % 6));
        RC_ASSERT((!after || (after->epoch != before->epoch && after->generation != before->generation)));
        for (const auto& write : m_writes)
            RC_ASSERT(!m_pool.seal(write.handle, write.content.size(), block_checksum::of(write.content)));
        for (const auto& move : m_moves)
            RC_ASSERT(!m_pool.finishMove(move.handle));
        m_writes.clear();
        m_moves.clear();
        std::erase_if(m_blocks, [](const auto& entry) { return entry.second.tier == block_tier::Memory; });
        for (auto& [key, block] : m_blocks)
            block.version = ++m_version;
    }

    void corrupt(int a, int b)
    {
        const int key = a % 6;
        const auto block = m_blocks.find(key);
        if (block == m_blocks.end() || block->second.corrupt || b % 3 != 0
            || std::any_of(m_moves.begin(), m_moves.end(), [&](const auto& m) { return m.key == key; }))
            return;
        const auto handle = m_pool.beginRead(keyOf(key)).value();
        const auto chunk = m_pool.read(handle, static_cast<std::uint64_t>(b) % handle.block.length).value();
        const_cast<std::byte&>(chunk.front()) ^= std::byte { 1 };
        m_pool.abandonRead(handle);
        block->second.corrupt = true;
    }

    void checkSpace()
    {
        for (const auto tier : { block_tier::Memory, block_tier::Disk }) {
            std::uint64_t used = 0;
            for (const auto& write : m_writes)
                used += write.tier == tier ? extentsOf(write.reserved) : 0;
            for (const auto& [key, block] : m_blocks)
                used += block.tier == tier ? extentsOf(block.content.size()) : 0;
            for (const auto& move : m_moves)
                used += move.target == tier ? extentsOf(m_blocks[move.key].content.size()) : 0;
            RC_ASSERT(m_pool.usage(tier).capacityBytes - m_pool.usage(tier).freeBytes == used * extentBytes);
        }
        for (int key = 0; key < 6; ++key)
            RC_ASSERT((m_pool.stateOf(keyOf(key)) == block_state::Sealed) == m_blocks.contains(key));
    }

    base::manual_clock m_time;
    base::random_source m_random { *rc::gen::arbitrary<std::uint64_t>() };
    heap_storage m_memory { { .capacityBytes = memoryBytes, .extentBytes = extentBytes } };
    heap_storage m_disk { { .capacityBytes = diskBytes, .extentBytes = extentBytes } };
    std::size_t m_freed = 0;
    std::size_t m_sealed = 0;
    block_pool m_pool { { .time = m_time,
        .memory = m_memory,
        .disk = m_disk,
        .leaseTimeout = timeout,
        .pinTimeout = timeout,
        .maxReservationsPerTeam = maxPerTeam,
        .freed = [this](const block_key&, std::uint32_t) { ++m_freed; } } };
    int m_version = 0;
    std::vector<write_model> m_writes;
    std::map<int, block_model> m_blocks;
    std::vector<read_model> m_reads;
    std::vector<move_model> m_moves;
};

} // namespace

TEST_CASE("a verified read returns exactly the sealed block under interleaved operations")
{
    // Guards against reading a freed, reused, moved, partial or changed block (I1), against rejecting an
    // intact one, and against extents that are leaked or allocated twice.
    std::size_t verified = 0;
    CHECK(rc::check("random schedules agree with the reference model", [&] {
        using command = std::tuple<int, int, int>;
        const auto number = rc::gen::inRange(0, 1000);
        const auto commands = *rc::gen::scale(
            100.0, rc::gen::container<std::vector<command>>(rc::gen::tuple(number, number, number)));
        pool_model model;
        for (const auto& [op, a, b] : commands)
            model.step(op, a, b);
        model.finish();
        verified += model.verified;
    }));
    // The check is meaningful only if many reads succeed.
    CHECK(verified > 100);
}
