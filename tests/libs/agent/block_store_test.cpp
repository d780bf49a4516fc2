#include <agent/block_store.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;

namespace {

std::uint64_t checksumOf(std::string_view content)
{
    return context::block_checksum::of(std::as_bytes(std::span(content.data(), content.size())));
}

context::block_key keyOf(int number)
{
    return context::block_key(base::truncate(base::sha256(std::to_string(number))));
}

} // namespace

TEST_CASE("a store much smaller than the written data returns correct blocks or none")
{
    // Guards against reads of freed, moved or partially written blocks (invariant I1), and against a store
    // that rejects new blocks once it is full.
    CHECK(rc::check("random use", [] {
        base::manual_clock clock;
        agent::block_store store(
            { .time = clock, .memoryBytes = 16 << 10, .diskBytes = 32 << 10, .extentBytes = 1 << 10 });
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
        int written = 0;
        for (const int step : steps) {
            clock.advance(std::chrono::milliseconds(10));
            const int number = step % 40;
            const std::string content(
                static_cast<std::size_t>(500 + 37 * number), static_cast<char>('a' + number % 26));
            if (step < 60) {
                const auto stored = store.write({ .team = "t",
                    .key = keyOf(number),
                    .content = content,
                    .checksum = checksumOf(content) });
                RC_ASSERT((stored.has_value() || stored.error().reason == base::error_reason::Conflict));
                written += stored.has_value();
            } else if (step < 100) {
                const auto block = store.read(keyOf(number));
                if (block)
                    RC_ASSERT(block->content == content);
                else
                    RC_ASSERT(block.error().verdict == base::verdict::NotRun);
            } else {
                const std::vector chain { keyOf(number), keyOf(number + 1) };
                RC_ASSERT(store.recordUse("t", chain).count <= 2U);
            }
        }
        RC_ASSERT(static_cast<int>(store.counts().writes) == written);
    }));
}

TEST_CASE("content that does not match its checksum is rejected and leaves no block")
{
    // Guards against a block that was corrupted on the way to the store.
    base::manual_clock clock;
    agent::block_store store({ .time = clock });
    const auto stored = store.write({ .team = "t", .key = keyOf(1), .content = "content", .checksum = 1 });
    CHECK(!stored);
    CHECK(!store.read(keyOf(1)));
    const std::vector chain { keyOf(1) };
    CHECK(store.lookUp(chain).count == 0);
    CHECK(store.pool().reservations() == 0);
}
