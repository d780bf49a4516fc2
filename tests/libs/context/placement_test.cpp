#include <context/context.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::context;

namespace {

block_key keyOf(std::uint64_t i)
{
    return block_key(base::truncate(base::sha256("chain " + std::to_string(i))));
}

std::vector<store_state> storesOf(int count)
{
    std::vector<store_state> stores;
    stores.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        stores.push_back({ .name = "10.0.0." + std::to_string(i) });
    return stores;
}

} // namespace

TEST_CASE("only the chains of a store are reassigned when it joins or leaves")
{
    // Guards against a change of the store list after which most of the cached context is not found.
    CHECK(rc::check("stability", [] {
        const int count = *rc::gen::inRange(2, 24);
        const auto removed = static_cast<std::uint32_t>(*rc::gen::inRange(0, count));
        const auto first = *rc::gen::arbitrary<std::uint32_t>();
        std::vector<store_state> stores = storesOf(count);
        const placement before(stores);
        stores.erase(stores.begin() + removed);
        const placement after(stores);
        int moved = 0;
        constexpr int chains = 600;
        for (std::uint64_t i = 0; i < chains; ++i) {
            const auto old = *before.choose(keyOf(first + i)).write;
            const auto now = *after.choose(keyOf(first + i)).write;
            moved += old == removed;
            RC_ASSERT((old == removed || before.stores()[old].name == after.stores()[now].name));
        }
        // The expected share is chains / count; the tolerance is six standard deviations.
        const double share = static_cast<double>(chains) / count;
        RC_ASSERT(moved <= share + 6 * std::sqrt(share));
    }));
}

TEST_CASE("no store exceeds the load limit, and the store to write is always among the stores to read")
{
    // Guards against a popular first block that overloads one store, and against a write to a store that is
    // not read.
    CHECK(rc::check("bounded load", [] {
        const int count = *rc::gen::inRange(1, 12);
        const auto popular = *rc::gen::inRange<std::uint64_t>(1, 6);
        placement stores(storesOf(count));
        std::vector<std::uint64_t> load(static_cast<std::size_t>(count), 0);
        constexpr std::uint64_t blocks = 1200;
        for (std::uint64_t i = 0; i < blocks; ++i) {
            const auto choice = stores.choose(keyOf(i % 3 == 0 ? i : i % popular));
            RC_ASSERT(choice.write.has_value());
            RC_ASSERT(choice.read.size() == static_cast<std::size_t>(std::min(count, 2)));
            RC_ASSERT(std::count(choice.read.begin(), choice.read.end(), *choice.write) == 1);
            stores.setLoad(*choice.write, ++load[*choice.write]);
        }
        const double mean = static_cast<double>(blocks) / count;
        RC_ASSERT(static_cast<double>(*std::max_element(load.begin(), load.end()))
            <= placement::maximumLoadRatio * mean + 1);
    }));
}

TEST_CASE("stores of a failure domain that is out of service are read and not written")
{
    // Guards against new context that is lost when operators stop the domain, and against recomputing context
    // that is still cached there.
    CHECK(rc::check("out of service", [] {
        const int count = *rc::gen::inRange(1, 12);
        std::vector<store_state> stores = storesOf(count);
        const placement before(stores);
        const auto outOfService = *rc::gen::container<std::vector<bool>>(
            static_cast<std::size_t>(count), rc::gen::arbitrary<bool>());
        for (std::size_t i = 0; i < stores.size(); ++i) {
            stores[i].inService = !outOfService[i];
            stores[i].full = i % 5 == 4;
        }
        const placement after(stores);
        const bool anyWritable = std::any_of(
            stores.begin(), stores.end(), [](const auto& store) { return store.inService && !store.full; });
        for (std::uint64_t i = 0; i < 100; ++i) {
            const auto choice = after.choose(keyOf(i));
            RC_ASSERT(choice.write.has_value() == anyWritable);
            RC_ASSERT((!choice.write || (stores[*choice.write].inService && !stores[*choice.write].full)));
            RC_ASSERT(choice.read.front() == *before.choose(keyOf(i)).write);
        }
    }));
    CHECK(!placement({}).choose(keyOf(1)).write);
    CHECK(placement({}).choose(keyOf(1)).read.empty());
}
