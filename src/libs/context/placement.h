#pragma once

#include "block_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigold::context {

/// A live context store of the region, according to its last report.
struct store_state {
    std::string name; ///< Unique in the region; determines the rank of the store for each key.
    /// False while its failure domain is out of service; the store is then read but not written.
    bool inService = true;
    bool full = false; ///< The store reports that it accepts no more blocks.
    std::uint64_t loadBytes = 0; ///< Bytes of cached context in the store.
};

/// Stores to write and read for the blocks of a chain. Indexes refer to the list passed to `placement`.
struct placement_choice {
    std::optional<std::uint32_t> write; ///< Empty if no store is writable.
    std::vector<std::uint32_t> read; ///< At most two, the more likely one first.
};

/// Chooses the store of a chain by rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads
/// (Mirrokni, Thorup and Zadimoghaddam 2016). Needs no coordination: entries with the same list make the same
/// choice.
class placement {
public:
    /// Stores with a load above this multiple of the mean load of the stores in service are not written.
    static constexpr double maximumLoadRatio = 1.25;

    explicit placement(std::vector<store_state> liveStores);

    /// Chooses the stores for a chain. The highest-ranked store is read first regardless of its load, because
    /// the chain was written to it most of the time. The second store to read is the one to write now if
    /// that is a different one, and the second-ranked store otherwise.
    /// \param key key that represents the chain, by design that of its first block
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
