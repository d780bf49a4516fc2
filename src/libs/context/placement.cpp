#include "placement.h"

#include <utility>

namespace marigold::context {

namespace {

struct ranked_store {
    std::uint64_t score = 0;
    std::optional<std::uint32_t> index;

    bool isBelow(std::uint64_t otherScore) const { return !index || score < otherScore; }
};

} // namespace

placement::placement(std::vector<store_state> liveStores)
    : m_stores(std::move(liveStores))
{
    updateLimit();
}

void placement::setLoad(std::uint32_t index, std::uint64_t loadBytes)
{
    m_stores[index].loadBytes = loadBytes;
    updateLimit();
}

void placement::updateLimit()
{
    double total = 0;
    std::size_t count = 0;
    for (const auto& store : m_stores) {
        if (!store.inService)
            continue;
        total += static_cast<double>(store.loadBytes);
        ++count;
    }
    m_limitBytes = count > 0 ? maximumLoadRatio * total / static_cast<double>(count) : 0;
}

bool placement::isWritable(std::uint32_t index) const
{
    const store_state& store = m_stores[index];
    return store.inService && !store.full && static_cast<double>(store.loadBytes) <= m_limitBytes;
}

placement_choice placement::choose(const block_key& key) const
{
    ranked_store first;
    ranked_store second;
    ranked_store writable;
    for (std::uint32_t i = 0; i < m_stores.size(); ++i) {
        const std::uint64_t score = base::rendezvousScore(key.view(), m_stores[i].name);
        if (first.isBelow(score))
            second = std::exchange(first, { score, i });
        else if (second.isBelow(score))
            second = { score, i };
        if (isWritable(i) && writable.isBelow(score))
            writable = { score, i };
    }
    placement_choice choice { .write = writable.index, .read = {} };
    if (!first.index)
        return choice;
    choice.read.push_back(*first.index);
    const auto other = writable.index && writable.index != first.index ? writable.index : second.index;
    if (other)
        choice.read.push_back(*other);
    return choice;
}

} // namespace marigold::context
