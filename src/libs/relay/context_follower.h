#pragma once

#include "context_sharing.h"

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

/// Keeps the catalog up to date with the events of all stores, as a reader of a store or as one that is told
/// by a reader. The whole list is read only where events are missing, at the start or after a gap, since a
/// list takes time of the store.
class context_follower {
public:
    struct options {
        base::duration patience = std::chrono::milliseconds(1000);
        base::duration retryPause = std::chrono::milliseconds(500);
        /// Pause between two questions, which bundles events.
        base::duration pause = std::chrono::milliseconds(120);
        /// A process that has been told nothing for this long asks by itself: longer than a reader waits for
        /// events, and short enough that the answer comes before what is known is too old to be used.
        base::duration toldSilence = std::chrono::milliseconds(1500);
        /// Of a question of a process that is no reader; the stores count shorter ones as probes.
        base::duration shortPatience = std::chrono::milliseconds(200);
        /// Time that an answer may take beyond the patience.
        base::duration answerSlack = std::chrono::milliseconds(700);
    };

    context_follower(context_catalog& catalog, context_source& source, context_sharing& sharing,
        base::scheduler& timers, const base::clock& time, options opts);

    /// Follows the stores that the catalog knows by now.
    void refresh();

    /// Takes what another process was told by a store.
    void told(const context_digest& digest);

    std::uint64_t epochOf(const net::endpoint& store) const;

private:
    struct followed {
        net::endpoint address;
        std::uint64_t since = 0;
        std::uint64_t epoch = 0;
        base::time_point heardAt {};
        int nextListPiece = 0; ///< That is awaited; 0 if none is.
        bool asking = false;
        std::uint64_t plan = 0; ///< Of the next turn; an older one is void.
    };

    followed* find(const std::string& key);
    void turn(const std::string& key);
    void turnLater(const std::string& key, base::duration pause);
    void ask(const std::string& key, base::duration patience);
    void askList(const std::string& key);

    context_catalog& m_catalog;
    context_source& m_source;
    context_sharing& m_sharing;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    options m_options;
    std::map<std::string, followed> m_stores; ///< By address.
};

} // namespace marigold::relay
