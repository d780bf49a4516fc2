#pragma once

#include "state_decoder.h"

#include <base/base.h>

#include <string>

namespace marigold::relay {

/// Keeps a key of this process in the platform's store while the process runs, so that all processes know how
/// many of them share the limits on targets.
class presence {
public:
    struct options {
        std::string process;
        net::endpoint address = {}; ///< For datagrams of the other processes.
        base::duration timeToLive = std::chrono::seconds(6);
        base::duration retryDelay = std::chrono::milliseconds(700);
    };

    presence(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers, options opts);

    void start() { announce(); }

    /// Removes the key when the process stops.
    void withdraw();

private:
    void announce();
    void scheduleAnnounce();
    void scheduleRenewal();

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    options m_options;
    std::uint64_t m_lease = 0;
    bool m_withdrawn = false;
};

} // namespace marigold::relay
