#pragma once

#include "context_catalog.h"

#include <base/base.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace marigold::relay {

/// Port to the stores of context.
class context_source {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~context_source() = default;

    /// Returns events after \a since, waiting up to \a patience for the first one.
    virtual void events(const net::endpoint& store, std::uint64_t since, base::duration patience,
        callback<context_event_batch> done)
        = 0;

    /// Returns everything that the store holds whole, as events, with the number of the next event.
    virtual void list(const net::endpoint& store, callback<context_event_batch> done) = 0;

    /// Frees \a parts if the store has still \a epoch.
    virtual void free(const net::endpoint& store, std::uint64_t epoch, const std::vector<context_key>& parts,
        callback<void> done)
        = 0;
};

/// Keeps the catalog up to date with the events of all stores. The whole list is read only where events are
/// missing, at the start or after a gap, since a list takes time of the store.
class context_follower {
public:
    struct options {
        base::duration patience = std::chrono::milliseconds(1000);
        base::duration retryPause = std::chrono::milliseconds(500);
        /// Pause between two questions, which bundles events.
        base::duration pause = std::chrono::milliseconds(120);
    };

    context_follower(context_catalog& catalog, context_source& source, base::scheduler& timers, options opts);

    /// Follows the stores that the catalog knows by now.
    void refresh();

    std::uint64_t epochOf(const net::endpoint& store) const;

private:
    struct followed {
        net::endpoint address;
        std::uint64_t since = 0;
        std::uint64_t epoch = 0;
    };

    void ask(const std::string& key);
    void askList(const std::string& key);
    void askLater(const std::string& key, base::duration pause);

    context_catalog& m_catalog;
    context_source& m_source;
    base::scheduler& m_timers;
    options m_options;
    std::map<std::string, followed> m_stores;
};

} // namespace marigold::relay
