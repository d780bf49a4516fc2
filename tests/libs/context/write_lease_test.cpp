#include <context/context.h>

#include <doctest/doctest.h>

#include <array>

using namespace marigold;
using namespace marigold::context;

TEST_CASE("the number of ranges of a block is limited, and gaps can be filled at the limit")
{
    // Guards against tiny chunks that exhaust the memory of the process, and against a block that cannot be
    // completed once it has reached the limit.
    constexpr std::uint64_t length = 2 * write_lease::maximumRanges;
    heap_storage storage({ .capacityBytes = length + 10, .extentBytes = 1 });
    extent_arena arena(storage);
    write_lease lease({ .firstExtent = arena.allocate(length + 10).value(), .maximumBytes = length + 10 });
    const std::array<std::byte, 1> chunk { std::byte { 5 } };
    for (std::uint64_t offset = 0; offset < length; offset += 2)
        REQUIRE(lease.write(arena, offset, chunk));
    CHECK(lease.write(arena, length + 4, chunk).error().reason == base::error_reason::TooLarge);
    const std::vector<std::byte> content(length, chunk[0]);
    CHECK(!lease.check(length, block_checksum::of(content)));
    for (std::uint64_t offset = 1; offset < length; offset += 2)
        REQUIRE(lease.write(arena, offset, chunk));
    CHECK(lease.check(length, block_checksum::of(content)));
}

TEST_CASE("the numbers of readers and moves are limited, and ending one frees capacity")
{
    // Guards against callers that exhaust the memory of the process with reads and moves that they never end.
    base::manual_clock time;
    heap_storage memory({ .capacityBytes = 64, .extentBytes = 16 });
    heap_storage disk({ .capacityBytes = 64, .extentBytes = 16 });
    block_pool pool({ .time = time, .memory = memory, .disk = disk, .maxReaders = 1, .maxMoves = 1 });
    const std::array<std::byte, 1> data { std::byte { 1 } };
    std::array<block_key, 2> keys;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        keys[i] = block_key(base::truncate(base::sha256(i == 0 ? "a" : "b")));
        const auto handle = pool.reserve({ .team = "t", .key = keys[i], .maximumBytes = 1 }).value();
        REQUIRE(pool.write(handle, 0, data));
        REQUIRE(pool.seal(handle, 1, block_checksum::of(data)));
    }
    const auto read = pool.beginRead(keys[0]).value();
    CHECK(pool.beginRead(keys[1]).error().reason == base::error_reason::Overloaded);
    CHECK(pool.endRead(read, 1, block_checksum::of(data)));
    CHECK(pool.beginRead(keys[1]));
    const auto move = pool.beginMove(keys[0], block_tier::Disk).value();
    CHECK(pool.beginMove(keys[1], block_tier::Disk).error().reason == base::error_reason::Overloaded);
    pool.cancelMove(move);
    CHECK(pool.beginMove(keys[1], block_tier::Disk));
    CHECK(pool.reserve({ .team = "t", .key = {}, .maximumBytes = 65 }).error().reason
        == base::error_reason::TooLarge);
}
