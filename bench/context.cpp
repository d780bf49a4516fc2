/// \brief Memory and time per cached block and prompt, chain hashing, eviction_policy versus LRU and an
/// oracle.

#include "context_trace.h"

#include <context/context.h>

#include <chrono>
#include <cstring>
#include <set>
#include <string>
#include <tuple>

#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace marigold;
using namespace marigold::context;

namespace {

using bench::block_number;

// Target size and limits of docs/design.md.
constexpr std::uint64_t promptsAtTarget = 340'000;
constexpr std::uint64_t blocksPerPrompt = 12;
constexpr double hintBytesLimit = 64e6;
constexpr double maxPolicyToOracleRatio = 1.10;

// Number of stores that share the blocks. docs/design.md does not fix it.
constexpr std::uint64_t assumedStores = 20;

double nanosecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

/// Returns a uniformly distributed value instead of an HMAC key, since HMAC is measured separately.
block_key keyOf(std::uint64_t prompt, std::uint64_t position)
{
    const std::array<std::uint64_t, 2> name { prompt, position };
    const std::string_view text(reinterpret_cast<const char*>(name.data()), sizeof name);
    const std::array<std::uint64_t, 2> words { base::hash64(text, 1), base::hash64(text, 2) };
    base::digest128 digest;
    std::memcpy(digest.data(), words.data(), digest.size());
    return block_key(digest);
}

double measureChain()
{
    constexpr std::size_t blockBytes = 4000; // About 1,000 tokens of text.
    constexpr std::size_t promptBytes = blockBytes * blocksPerPrompt;
    constexpr int rounds = 2000;
    const std::string secret(32, 's');
    const std::string prompt(promptBytes, 'p');
    const block_scope scope { .teamSecret = secret, .model = "model", .weightVersion = "version" };
    std::size_t keys = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        keys += blockKeyChain(scope, prompt, blockBytes).value().size();
    const double megabytes = static_cast<double>(keys * blockBytes) / 1e6;
    const double rate = megabytes / (nanosecondsSince(start) / 1e9);
    fmt::print("chain hashing      {:8.0f} MB/s, {:.1f} us for a prompt of {} blocks\n", rate,
        promptBytes / rate, blocksPerPrompt);
    return rate;
}

struct block_cost {
    double poolBytes = 0;
    double policyBytes = 0;
    double sealNanoseconds = 0;
    double readNanoseconds = 0;
};

block_cost measureBlocks()
{
    constexpr std::uint64_t prompts = promptsAtTarget / assumedStores;
    constexpr std::uint64_t blocks = prompts * blocksPerPrompt;
    constexpr std::uint32_t extentBytes = 64; // Small, so that the cost per byte is negligible.
    const base::system_clock time;
    heap_storage memory({ .capacityBytes = blocks * extentBytes, .extentBytes = extentBytes });
    heap_storage disk({ .capacityBytes = 0, .extentBytes = extentBytes });
    block_pool pool({ .time = time, .memory = memory, .disk = disk });
    eviction_policy policy({ .time = time });
    const std::vector<std::byte> data(extentBytes, std::byte { 7 });
    const std::uint64_t checksum = block_checksum::of(data);
    block_cost cost;
    auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < blocks; ++i) {
        const std::uint64_t position = i % blocksPerPrompt;
        const auto handle = pool.reserve({ .team = "team",
                                             .key = keyOf(i / blocksPerPrompt, position),
                                             .maximumBytes = extentBytes })
                                .value();
        (void)pool.write(handle, 0, data);
        const block_info sealed = pool.seal(handle, data.size(), checksum).value();
        policy.insert({ .slot = sealed.slot,
            .parent = position > 0 ? sealed.slot - 1 : eviction_policy::none,
            .team = 0,
            .position = static_cast<std::uint16_t>(position),
            .bytes = extentBytes });
    }
    cost.sealNanoseconds = nanosecondsSince(start) / static_cast<double>(blocks);
    start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < blocks; ++i) {
        const auto read = pool.beginRead(keyOf(i / blocksPerPrompt, i % blocksPerPrompt)).value();
        const auto chunk = pool.read(read, 0).value();
        (void)pool.endRead(read, chunk.size(), block_checksum::of(chunk)).value();
    }
    cost.readNanoseconds = nanosecondsSince(start) / static_cast<double>(blocks);
    cost.poolBytes = static_cast<double>(pool.memoryBytes()) / static_cast<double>(pool.blocks());
    cost.policyBytes = static_cast<double>(policy.memoryBytes()) / static_cast<double>(policy.blocks());
    fmt::print("pool, {} blocks {:8.1f} B/block, write and seal {:.0f} ns, verified read {:.0f} ns\n", blocks,
        cost.poolBytes, cost.sealNanoseconds, cost.readNanoseconds);
    fmt::print("keep_policy        {:8.1f} B/block, {:.1f} MB for both on one of {} stores\n",
        cost.policyBytes, (cost.poolBytes + cost.policyBytes) * static_cast<double>(blocks) / 1e6,
        assumedStores);
    return cost;
}

double measureGaps()
{
    constexpr std::uint64_t teams = 2800;
    reuse_estimator estimator({});
    base::manual_clock time;
    for (std::uint64_t i = 0; i < promptsAtTarget; ++i) {
        time.advance(base::duration(1000));
        const block_key key = keyOf(i, 0);
        estimator.recordUse(static_cast<team_number>(i % teams), { &key, 1 }, time.now());
    }
    const double megabytes = static_cast<double>(estimator.memoryBytes()) / 1e6;
    fmt::print("return_gaps        {:8.1f} MB at {} teams\n", megabytes, teams);
    return megabytes;
}

struct hint_cost {
    double megabytes = 0;
    double bytesPerPrompt = 0;
    double recordNanoseconds = 0; ///< Per prompt.
    double lookupNanoseconds = 0;
    double foundShare = 0; ///< Fraction of the chain positions.
};

hint_cost measureHints()
{
    context_hints hints({});
    std::vector<block_key> chain(blocksPerPrompt);
    const auto fill = [&](std::uint64_t prompt) {
        for (std::uint64_t i = 0; i < blocksPerPrompt; ++i)
            chain[i] = keyOf(prompt, i);
    };
    hint_cost cost;
    for (std::uint64_t i = 0; i < promptsAtTarget; ++i) {
        fill(i);
        const auto start = std::chrono::steady_clock::now();
        hints.recordAnswer(chain, static_cast<target_id>(i % 1200));
        cost.recordNanoseconds += nanosecondsSince(start);
    }
    std::uint64_t lookups = 0;
    for (std::uint64_t i = 0; i < promptsAtTarget; i += 3, ++lookups) {
        fill(i);
        const auto start = std::chrono::steady_clock::now();
        const auto result = hints.lookup(chain);
        cost.lookupNanoseconds += nanosecondsSince(start);
        for (const context_hint& hint : result.all())
            if (hint.target == i % 1200)
                cost.foundShare += hint.blocks;
    }
    cost.recordNanoseconds /= promptsAtTarget;
    cost.lookupNanoseconds /= static_cast<double>(lookups);
    cost.foundShare /= static_cast<double>(lookups * blocksPerPrompt);
    cost.megabytes = static_cast<double>(hints.memoryBytes()) / 1e6;
    cost.bytesPerPrompt = static_cast<double>(hints.memoryBytes()) / promptsAtTarget;
    fmt::print("hints, {} prompts {:.1f} MB, {:.0f} B/prompt, record {:.0f} ns, lookup {:.0f} ns per prompt, "
               "{:.2f}% of positions found\n",
        promptsAtTarget, cost.megabytes, cost.bytesPerPrompt, cost.recordNanoseconds, cost.lookupNanoseconds,
        cost.foundShare * 100);
    return cost;
}

/// Eviction policy of a simulated store with one tier.
class simulated_policy {
public:
    virtual ~simulated_policy() = default;
    virtual void use(const bench::arrival& arrival, std::size_t cached) = 0;
    virtual void add(const bench::arrival& arrival, std::size_t position) = 0;
    virtual block_number evict() = 0;
};

/// Evicts the block with the lowest rank, which the subclass computes; among equal ranks, the block at the
/// later position in its chain.
class ordered_policy : public simulated_policy {
public:
    void use(const bench::arrival& arrival, std::size_t cached) override
    {
        for (std::size_t i = 0; i < cached; ++i)
            updateRank(arrival, i);
    }
    void add(const bench::arrival& arrival, std::size_t position) override { updateRank(arrival, position); }
    block_number evict() override
    {
        const block_number block = std::get<2>(*m_order.begin());
        m_order.erase(m_order.begin());
        m_entries.erase(block);
        return block;
    }

protected:
    virtual double rank(const bench::arrival& arrival, std::size_t position) const = 0;

private:
    using entry = std::tuple<double, int, block_number>;

    void updateRank(const bench::arrival& arrival, std::size_t position)
    {
        const block_number block = arrival.chain[position];
        const entry placed { rank(arrival, position), -static_cast<int>(position), block };
        const auto [it, isNew] = m_entries.try_emplace(block, placed);
        if (!isNew) {
            m_order.erase(it->second);
            it->second = placed;
        }
        m_order.insert(placed);
    }

    std::set<entry> m_order;
    std::unordered_map<block_number, entry> m_entries;
};

class lru_policy final : public ordered_policy {
    double rank(const bench::arrival& arrival, std::size_t) const override { return arrival.seconds; }
};

/// Evicts the block whose next use is furthest in the future (Belady 1966), which is optimal for blocks of
/// equal size.
class oracle_policy final : public ordered_policy {
    double rank(const bench::arrival& arrival, std::size_t position) const override
    {
        return -arrival.nextUseSeconds[position];
    }
};

class keep_policy_adapter final : public simulated_policy {
public:
    keep_policy_adapter(const base::clock& time, std::uint64_t seed)
        // All blocks have equal cost, since the result counts blocks.
        : m_policy({ .time = time, .seed = seed, .prefillSecondsPerPosition = 0 })
    {
    }
    void use(const bench::arrival& arrival, std::size_t cached) override
    {
        m_keys.clear();
        m_slots.clear();
        for (std::size_t i = 0; i < arrival.chain.size(); ++i) {
            m_keys.push_back(keyOf(arrival.chain[i], 0));
            m_slots.push_back(i < cached ? arrival.chain[i] : eviction_policy::none);
        }
        m_policy.recordUse(arrival.team, m_keys, m_slots);
    }
    void add(const bench::arrival& arrival, std::size_t position) override
    {
        m_policy.insert({ .slot = arrival.chain[position],
            .parent = position > 0 ? arrival.chain[position - 1] : eviction_policy::none,
            .team = arrival.team,
            .position = static_cast<std::uint16_t>(position),
            .bytes = 1'000'000 });
    }
    block_number evict() override
    {
        const std::uint32_t slot = m_policy.choose(block_tier::Memory, false)->slot;
        m_policy.erase(slot);
        return slot;
    }

private:
    eviction_policy m_policy;
    std::vector<block_key> m_keys;
    std::vector<std::uint32_t> m_slots;
};

/// Runs a trace. \return the fraction of the requested blocks that is recomputed in the measured period
double recomputedShare(
    const bench::trace& trace, base::manual_clock& time, simulated_policy& policy, std::size_t capacityBlocks)
{
    std::vector<bool> cached(trace.blocks, false);
    std::size_t count = 0;
    double requested = 0;
    double missed = 0;
    const base::time_point start = time.now();
    for (const bench::arrival& arrival : trace.arrivals) {
        const base::time_point at = start
            + std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(arrival.seconds));
        time.advance(at - time.now());
        std::size_t cachedPrefix = 0;
        while (cachedPrefix < arrival.chain.size() && cached[arrival.chain[cachedPrefix]])
            ++cachedPrefix;
        policy.use(arrival, cachedPrefix);
        for (std::size_t i = cachedPrefix; i < arrival.chain.size(); ++i) {
            policy.add(arrival, i);
            count += !cached[arrival.chain[i]];
            cached[arrival.chain[i]] = true;
        }
        for (; count > capacityBlocks; --count)
            cached[policy.evict()] = false;
        if (arrival.seconds < bench::measureFromSeconds || arrival.seconds >= bench::measureToSeconds)
            continue;
        requested += static_cast<double>(arrival.chain.size());
        missed += static_cast<double>(arrival.chain.size() - cachedPrefix);
    }
    return missed / requested;
}

struct keep_result {
    double lru = 0;
    double policy = 0;
    double oracle = 0;
};

keep_result compare(const bench::trace& trace, std::size_t capacity, std::uint64_t seed)
{
    base::manual_clock time;
    lru_policy lru;
    oracle_policy oracle;
    keep_policy_adapter measured(time, seed);
    keep_result result;
    result.lru = recomputedShare(trace, time, lru, capacity);
    result.oracle = recomputedShare(trace, time, oracle, capacity);
    result.policy = recomputedShare(trace, time, measured, capacity);
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_context", "Measures the context library");
    options.add_options()("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("20261204"))(
        "long", "More contexts and more capacities")("help", "Show the options");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        fmt::print("{}", options.help());
        return 0;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const bool isLong = arguments.count("long") > 0;
    fmt::print("seed {}\n", seed);
    const double hashing = measureChain();
    const block_cost blocks = measureBlocks();
    const double gaps = measureGaps();
    const hint_cost hints = measureHints();

    const bench::trace trace = bench::generateTrace(seed, isLong ? 200'000 : 50'000);
    fmt::print(
        "trace: {} requests, {} blocks, {} contexts\n", trace.arrivals.size(), trace.blocks, trace.contexts);
    fmt::print(
        "{:>18} {:>10} {:>12} {:>10} {:>14}\n", "capacity", "LRU", "keep_policy", "oracle", "policy/oracle");
    bool beatsLru = true;
    double worstRatio = 0;
    keep_result resultAtTenPercent;
    const std::vector<double> shares
        = isLong ? std::vector { 0.02, 0.05, 0.1, 0.2, 0.4 } : std::vector { 0.05, 0.1, 0.2 };
    for (const double share : shares) {
        const auto capacity = static_cast<std::size_t>(share * static_cast<double>(trace.blocks));
        const keep_result result = compare(trace, capacity, seed);
        fmt::print("{:>11} blocks {:>9.2f}% {:>11.2f}% {:>9.2f}% {:>14.3f}\n", capacity, result.lru * 100,
            result.policy * 100, result.oracle * 100, result.policy / result.oracle);
        beatsLru = beatsLru && result.policy <= result.lru;
        worstRatio = std::max(worstRatio, result.policy / result.oracle);
        if (share == 0.1)
            resultAtTenPercent = result;
    }
    const bool held = hints.megabytes * 1e6 <= hintBytesLimit && hints.foundShare >= 0.99 && beatsLru
        && worstRatio <= maxPolicyToOracleRatio;
    fmt::print(
        "result: held={} chain_mb_per_s={:.0f} pool_bytes_per_block={:.1f} policy_bytes_per_block={:.1f} "
        "gap_table_mb={:.1f} "
        "seal_ns_per_block={:.0f} read_ns_per_block={:.0f} hint_mb={:.1f} hint_bytes_per_prompt={:.0f} "
        "hint_record_ns_per_prompt={:.0f} hint_lookup_ns_per_prompt={:.0f} hint_found_percent={:.2f} "
        "lru_recomputed_percent={:.2f} policy_recomputed_percent={:.2f} oracle_recomputed_percent={:.2f} "
        "worst_policy_to_oracle_ratio={:.3f}\n",
        held ? 1 : 0, hashing, blocks.poolBytes, blocks.policyBytes, gaps, blocks.sealNanoseconds,
        blocks.readNanoseconds, hints.megabytes, hints.bytesPerPrompt, hints.recordNanoseconds,
        hints.lookupNanoseconds, hints.foundShare * 100, resultAtTenPercent.lru * 100,
        resultAtTenPercent.policy * 100, resultAtTenPercent.oracle * 100, worstRatio);
    return held ? 0 : 1;
}
