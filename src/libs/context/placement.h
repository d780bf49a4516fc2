#pragma once

#include "block_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigold::context {

/// A live context store of the region, as its last report says.
struct store_state {
    std::string name; ///< Unique in the region; decides the rank of the store for a key.
    bool inService = true; ///< False while its failure domain is taken out; then it is only read.
    bool full = false; ///< It reports that it takes no more blocks.
    std::uint64_t loadBytes = 0; ///< Bytes of cached context that it holds.
};

/// Where the blocks of a chain belong. Indexes refer to the list given to `placement`.
struct placement_choice {
    std::optional<std::uint32_t> write; ///< Empty when no store may be written.
    std::vector<std::uint32_t> read; ///< At most two, the likelier one first.
};

/// Chooses the store of a chain by rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads
/// (Mirrokni, Thorup and Zadimoghaddam 2016). No state is agreed on: entries with the same list choose alike.
class placement {
public:
    /// A store above this multiple of the mean load of the writable stores is not written.
    static constexpr double loadBound = 1.25;

    explicit placement(std::vector<store_state> liveStores);

    /// Chooses for a chain. The best-ranked store is read first, whatever its load, because it has had the
    /// chain most of the time. The second read goes to the store that is written now if that is another one,
    /// and otherwise to the second-ranked store.
    /// \param key key of the block that stands for the chain, by design that of its first block
    placement_choice choose(const block_key& key) const;

    const std::vector<store_state>& stores() const { return m_stores; }

    /// Replaces the reported load of store \a index.
    void setLoad(std::uint32_t index, std::uint64_t loadBytes);

private:
    void updateLimit();
    bool isWritable(std::uint32_t index) const;

    std::vector<store_state> m_stores;
    double m_limitBytes = 0;
};

} // namespace marigold::context
