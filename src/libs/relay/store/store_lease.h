#pragma once

#include <platform/kv_store.h>

#include <cstdint>

namespace marigold::relay {

/// The lease of the platform's store that a process renews. In a higher era of the store it is void, since
/// its number may be that of another process's lease by then.
class store_lease {
public:
    explicit store_lease(const platform::kv_store& store)
        : m_store(store)
    {
    }

    /// Records that the store has granted the lease \a id.
    void granted(std::uint64_t id)
    {
        m_id = id;
        m_era = m_store.era();
    }

    void forget() { m_id = 0; }

    /// Returns the number of the lease; 0 if there is none.
    std::uint64_t id() const { return m_era == m_store.era() ? m_id : 0; }

private:
    const platform::kv_store& m_store;
    std::uint64_t m_id = 0;
    std::uint64_t m_era = 0;
};

} // namespace marigold::relay
