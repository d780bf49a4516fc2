#pragma once

#include "context_event_distributor.h"

#include <base/base.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace marigold::relay {

/// Interface to the context stores.
class context_source {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~context_source() = default;

    /// Returns the events after \a since; waits up to \a waitLimit for the first one.
    virtual void events(const net::endpoint& store, std::uint64_t since, base::duration waitLimit,
        callback<context_event_batch> done)
        = 0;

    /// Returns all complete parts in the store as events, with the number of the next event.
    virtual void list(const net::endpoint& store, callback<context_event_batch> done) = 0;

    /// Frees \a parts if the store still has \a epoch.
    virtual void free(const net::endpoint& store, std::uint64_t epoch, const std::vector<context_key>& parts,
        callback<void> done)
        = 0;
};

/// Keeps the catalog up to date with the events of all stores, either by queries or by digests of other
/// processes that query a store. The complete list is read only if events are missing, at the start or after
/// a gap, since listing is expensive for the store.
class context_follower {
public:
    struct options {
        /// Time for which the store holds a query if it has no events.
        base::duration longPollWait = std::chrono::milliseconds(1000);
        base::duration retryDelay = std::chrono::milliseconds(500);
        /// Time between two queries, which batches events.
        base::duration pollInterval = std::chrono::milliseconds(120);
        /// Time without digests after which a process queries the store itself: longer than a reader waits
        /// for events, and short enough that the reply arrives before the catalog entries expire.
        base::duration digestTimeout = std::chrono::milliseconds(1500);
        /// The same for a process that is not a reader; the stores count shorter queries as probes.
        base::duration shortPollWait = std::chrono::milliseconds(200);
        /// Time that a reply may take beyond the wait of the query.
        base::duration replyGrace = std::chrono::milliseconds(700);
        /// Time that a reply usually takes beyond the wait of the query. A store that takes longer may have
        /// restarted, after which a query that was waiting gets no reply.
        base::duration overdueAfter = std::chrono::milliseconds(300);
        /// Longest fetch of a request.
        base::duration maxFetchTime = std::chrono::milliseconds(1000);
    };

    context_follower(context_catalog& catalog, context_source& source, context_event_distributor& distributor,
        base::scheduler& timers, const base::clock& time, options opts);

    /// Starts following the stores of the catalog that are new, and stops following removed ones.
    void refresh();

    /// Applies a digest sent by another process.
    void digestReceived(const context_digest& digest);

    std::uint64_t epochOf(const net::endpoint& store) const;

private:
    struct followed_store {
        net::endpoint address;
        std::uint64_t since = 0;
        std::uint64_t epoch = 0;
        base::time_point lastUpdateAt {};
        int nextListChunk = 0; ///< Next expected chunk of a list; 0 if none.
        std::vector<std::uint64_t> formerEpochs = {}; ///< Those that the store has told before, latest last.
        std::uint64_t query = 0; ///< Number of the query in flight; replies to earlier ones are ignored.
        bool queryInFlight = false;
        std::uint64_t suspectedEpoch = 0; ///< Epoch that the query in flight is to verify; 0 for none.
        std::uint64_t pollGeneration = 0; ///< Identifies the scheduled poll; earlier ones are ignored.
    };

    followed_store* find(const std::string& key);
    void poll(const std::string& key);
    void schedulePoll(const std::string& key, base::duration delay);
    void queryEvents(const std::string& key, base::duration waitLimit);
    void queryList(const std::string& key);
    static std::uint64_t beginQuery(followed_store& store);
    /// Returns the store if the query \a number is still in flight, and ends it; else null.
    followed_store* endQuery(const std::string& key, std::uint64_t number);
    /// Ignores the reply to the query in flight.
    static void abandonQuery(followed_store& store);
    void checkOverdue(const std::string& key, std::uint64_t number);
    /// Uses \a store no more until it has replied to a new query, since a process has told that it has \a
    /// epoch.
    void verifyEpoch(followed_store& store, std::uint64_t epoch);
    /// Records that the content of \a store is that of \a epoch.
    void setEpoch(followed_store& store, std::uint64_t epoch);
    /// Records \a epoch as told by \a store itself.
    void epochReceived(followed_store& store, std::uint64_t epoch);

    context_catalog& m_catalog;
    context_source& m_source;
    context_event_distributor& m_distributor;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    options m_options;
    std::map<std::string, followed_store> m_stores; ///< By address.
};

} // namespace marigold::relay
