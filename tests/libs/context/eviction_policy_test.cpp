#include <context/context.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::context;
using namespace std::chrono_literals;

namespace {

block_key keyOf(std::uint64_t i)
{
    const std::array<std::uint64_t, 2> words { base::hash64(std::to_string(i), 1), base::hash64("", i) };
    base::digest128 digest;
    std::memcpy(digest.data(), words.data(), digest.size());
    return block_key(digest);
}

/// Records one new context per second; each returns once, after \a gap, with \a probability.
void recordContexts(reuse_estimator& estimator, base::manual_clock& time, base::random_source& random,
    std::uint64_t contexts, double probability, base::duration gap)
{
    std::multimap<base::time_point, std::uint64_t> due;
    for (std::uint64_t i = 0; i < contexts; ++i) {
        time.advance(1s);
        for (; !due.empty() && due.begin()->first <= time.now(); due.erase(due.begin())) {
            // The prompt has grown and has a different last key; the old key does not return again.
            const std::vector<block_key> chain { keyOf(due.begin()->second), keyOf(1'000'000 + i) };
            estimator.recordUse(0, chain, time.now());
        }
        const block_key key = keyOf(i);
        estimator.recordUse(0, { &key, 1 }, time.now());
        if (random.uniform() < probability)
            due.emplace(time.now() + gap, i);
    }
}

} // namespace

TEST_CASE("the probability of return is estimated without bias, also when the sample is halved")
{
    // Guards against counting returned and not returned contexts at different sampling rates, which keeps
    // blocks cached that never return, and against a table that grows with the number of contexts.
    CHECK(rc::check("probability", [] {
        const double probability = *rc::gen::inRange(1, 10) / 10.0;
        const auto maximum = *rc::gen::element<std::size_t>(2000, 50'000);
        const auto gap = std::chrono::seconds(*rc::gen::inRange(10, 400));
        base::random_source random(*rc::gen::arbitrary<std::uint64_t>());
        base::manual_clock time;
        // Both are shorter than the run of 20,000 s, since the estimate for ages that were never observed is
        // only an assumption.
        const auto maximumAge = *rc::gen::element<base::duration>(1h, 4h);
        reuse_estimator estimator({ .maximumContexts = maximum,
            .maximumAge = maximumAge,
            .maximumObservations = *rc::gen::element<float>(2500, 65536) });
        recordContexts(estimator, time, random, 20'000, probability, gap);
        RC_ASSERT(estimator.trackedContexts() <= maximum);
        // A context that has returned is tracked under its new last key and does not return again, so that a
        // fraction p / (1 + p) of all tracked ones returns. Halving leaves at least 1000 observations; the
        // tolerance is five standard deviations plus 0.02 for the assumptions made without observations.
        const double expected = probability / (1 + probability);
        const double deviation = std::sqrt(expected * (1 - expected) / 1000);
        RC_ASSERT(std::abs(estimator.returnProbability(0, 1s) - expected) < 5 * deviation + 0.02);
        RC_ASSERT(estimator.returnsPerSecond(0, gap / 2) > estimator.returnsPerSecond(0, gap * 4));
    }));
}

TEST_CASE("a context beyond the maximum age has the lowest value")
{
    // Guards against estimates for ages without observations, which kept the oldest blocks cached
    // indefinitely.
    base::manual_clock time;
    base::random_source random(1);
    reuse_estimator estimator({ .maximumAge = 1h });
    CHECK(estimator.returnsPerSecond(0, 1s) > estimator.returnsPerSecond(0, 1min));
    recordContexts(estimator, time, random, 9000, 0.5, 60s);
    for (const base::duration age : { 2h, 10h, 100h, 1000h }) {
        CHECK(estimator.returnsPerSecond(0, age) <= estimator.returnsPerSecond(0, 50min));
        CHECK(estimator.returnProbability(0, age) == 0);
    }
}

TEST_CASE("memory is bounded for any number of teams and contexts")
{
    // Guards against memory that grows with each new team and prompt.
    reuse_estimator estimator({ .maximumTeams = 10, .maximumContexts = 100 });
    base::manual_clock time;
    std::size_t bytes = 0;
    for (std::uint64_t i = 0; i < 40'000; ++i) {
        time.advance(1s);
        const block_key key = keyOf(i);
        estimator.recordUse(static_cast<team_number>(i), { &key, 1 }, time.now());
        REQUIRE(estimator.trackedContexts() <= 100);
        if (i == 2000)
            bytes = estimator.memoryBytes();
    }
    CHECK(estimator.memoryBytes() <= 2 * bytes);
}

TEST_CASE("chains are evicted from the tail, and every block can be evicted")
{
    // Guards against evicting a block before its children, which makes them useless, against a policy that
    // finds no candidate in a full tier, and against wrong child counts when blocks are erased externally.
    CHECK(rc::check("tail first", [] {
        base::manual_clock time;
        eviction_policy policy({ .time = time, .seed = *rc::gen::arbitrary<std::uint64_t>() });
        struct model_block {
            std::uint32_t parent;
            block_tier tier;
        };
        std::map<std::uint32_t, model_block> model;
        const auto number = rc::gen::inRange(0, 1000);
        const auto steps = *rc::gen::scale(
            4.0, rc::gen::container<std::vector<std::tuple<int, int>>>(rc::gen::tuple(number, number)));
        const auto hasChildren = [&](std::uint32_t slot, bool memoryOnly) {
            return std::any_of(model.begin(), model.end(), [&](const auto& entry) {
                return entry.second.parent == slot
                    && (!memoryOnly || entry.second.tier == block_tier::Memory);
            });
        };
        const auto erase = [&](std::uint32_t slot) {
            policy.erase(slot);
            model.erase(slot);
            for (auto& [other, block] : model)
                if (block.parent == slot)
                    block.parent = eviction_policy::none;
        };
        const auto apply = [&](block_tier tier, bool diskHasSpace) {
            const auto decision = policy.choose(tier, diskHasSpace);
            const auto inTier = std::count_if(
                model.begin(), model.end(), [&](const auto& entry) { return entry.second.tier == tier; });
            if (!decision) {
                // If there is no candidate on disk, blocks on disk must have descendants in memory.
                RC_ASSERT((inTier == 0
                    || (tier == block_tier::Disk
                        && std::any_of(model.begin(), model.end(),
                            [](const auto& e) { return e.second.tier == block_tier::Memory; }))));
                return;
            }
            const model_block block = model.at(decision->slot);
            if (decision->action == eviction_policy::action::MoveDown) {
                RC_ASSERT(diskHasSpace);
                RC_ASSERT(block.tier == block_tier::Memory);
                RC_ASSERT(!hasChildren(decision->slot, true));
                policy.setTier(decision->slot, block_tier::Disk);
                model.at(decision->slot).tier = block_tier::Disk;
                return;
            }
            // A chain may be cut only if the disk holds no block without children.
            const bool diskHasTail = std::any_of(model.begin(), model.end(), [&](const auto& entry) {
                return entry.second.tier == block_tier::Disk && !hasChildren(entry.first, false);
            });
            RC_ASSERT((!hasChildren(decision->slot, false) || (!diskHasSpace && !diskHasTail)));
            erase(decision->slot);
        };
        for (const auto& [op, a] : steps) {
            const auto slot = static_cast<std::uint32_t>(a % 24);
            if (op % 8 < 4 && !model.contains(slot)) {
                auto parent = eviction_policy::none;
                if (!model.empty() && op % 3 != 0)
                    parent = std::next(model.begin(), op % static_cast<int>(model.size()))->first;
                const auto tier = op % 5 == 0 ? block_tier::Disk : block_tier::Memory;
                policy.insert({ .slot = slot,
                    .parent = parent,
                    .team = static_cast<team_number>(a % 3),
                    .position = static_cast<std::uint16_t>(parent == eviction_policy::none ? 0 : 1),
                    .bytes = 1000,
                    .tier = tier });
                model[slot] = { parent, tier };
            } else if (op % 8 == 4) {
                erase(slot);
            } else if (op % 8 == 5) {
                const std::uint32_t slots[] = { slot };
                const block_key key = keyOf(slot);
                policy.recordUse(0, { &key, 1 }, slots);
                time.advance(std::chrono::seconds(a));
            } else {
                apply(a % 2 ? block_tier::Memory : block_tier::Disk, op % 16 < 8);
            }
            RC_ASSERT(policy.blocks() == model.size());
        }
        for (std::size_t limit = 3 * model.size() + 1; !model.empty() && limit > 0; --limit)
            apply(limit % 2 ? block_tier::Memory : block_tier::Disk, false);
        RC_ASSERT(model.empty());
    }));
}

TEST_CASE("a block moves to disk only if loading it is faster than recomputing it")
{
    // Guards against using the disk and the link for blocks that are cheaper to recompute.
    base::manual_clock time;
    eviction_policy policy({ .time = time, .prefillSecondsPerBlock = 0.1, .diskBytesPerSecond = 1e6 });
    policy.insert({ .slot = 0, .bytes = 50'000 });
    CHECK(policy.choose(block_tier::Memory, true)->action == eviction_policy::action::MoveDown);
    policy.erase(0);
    policy.insert({ .slot = 0, .bytes = 200'000 });
    CHECK(policy.choose(block_tier::Memory, true)->action == eviction_policy::action::Evict);
    CHECK(!policy.choose(block_tier::Disk, true));
}
