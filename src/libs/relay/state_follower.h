#pragma once

#include "state_decoder.h"

#include <base/base.h>
#include <outcome/outcome.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigold::relay {

/// Takes what changed in the platform's store.
class state_observer {
public:
    virtual ~state_observer() = default;

    virtual void changed(const state_item& item) = 0;
    virtual void removed(const state_item& item) = 0;

    /// The whole state was read again; entries that are not in \a present are gone.
    virtual void replaced(const std::vector<state_item>& present) = 0;
};

/// Follows the state in the platform's store: reads it once, then watches it, and reads it again when the
/// store has forgotten the changes since. While the store does not answer, the last known state stays.
class state_follower {
public:
    struct options {
        /// Pause between two watches, which bundles changes: each watch is a call that is paid for.
        base::duration watchPause = std::chrono::milliseconds(300);
        /// A watch may fall silent without an error, so that it is renewed often enough for a change of the
        /// configuration to be in force within two seconds.
        base::duration watchPatience = std::chrono::milliseconds(1300);
        base::duration firstRetry = std::chrono::milliseconds(100);
        base::duration longestRetry = std::chrono::milliseconds(400);
        std::string prefix = {}; ///< Of the keys to follow; empty for all.
    };

    state_follower(platform::kv_store& store, const state_decoder& decoder, base::scheduler& timers,
        const base::clock& time, base::random_source& random, const base::event_log& log,
        state_observer& observer, options opts);

    void start();

    /// Returns true if the state was read at all.
    bool isKnown() const { return m_known; }

    /// Whether the latest call was answered.
    bool isReachable() const { return m_reachable; }

private:
    void readAll();
    void take(const platform::kv_snapshot& snapshot);
    void watch();
    void take(const platform::kv_watch_batch& batch);
    void failed(const base::error& failure);
    void answered();
    state_item decode(const platform::kv_entry& entry);

    platform::kv_store& m_store;
    const state_decoder& m_decoder;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    const base::event_log& m_log;
    state_observer& m_observer;
    options m_options;
    outcome::call_backoff m_backoff;
    std::uint64_t m_revision = 0;
    bool m_known = false;
    bool m_reachable = true;
    bool m_mustReadAll = true;
};

} // namespace marigold::relay
