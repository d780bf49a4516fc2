#pragma once

#include "fetch_throttle.h"
#include "transfer_window.h"
#include <relay/exchange/remote_clock.h>
#include <relay/message/wire_dialect.h>
#include <relay/store/relay_config.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// A change of the content of a context store.
struct context_event {
    bool stored = false; ///< False if the part was removed (evicted or freed).
    std::string scope;
    std::string partId;
    int tokens = 0; ///< Tokens that are stored now.
    std::uint64_t sequence = 0; ///< Sequence number, increasing with each event of a store; 0 in a list.
};

/// Reply of a store to a query for events.
struct context_event_batch {
    std::uint64_t epoch = 0; ///< Changes when the store restarts, which empties it.
    std::uint64_t next = 0;
    bool lost = false; ///< Events before the first one are missing.
    std::vector<context_event> events = {};
    std::optional<std::int64_t> clockMs = {}; ///< The platform's clock when the store replied.
};

/// Identifies a cached part: parts with the same id in different scopes are different parts.
struct context_key {
    std::string scope;
    std::string partId;
    auto operator<=>(const context_key&) const = default;
};

/// Tracks which stores hold which prompt parts, and decides where a part is saved.
///
/// The owners of a part are computed from its id by rendezvous hashing weighted with the capacities of the
/// stores, so that all processes get the same result without communication. The second owner takes the parts
/// for which the first one has no capacity. A part is fetched only after an event of its store has reported
/// it complete: a part that is still being written would yield invalid context.
class context_catalog {
public:
    struct options {
        /// A save that has not been reported after this time is assumed to have failed.
        base::duration saveTimeout = std::chrono::seconds(6);
        /// Age up to which information from a store is used: the store may have restarted since, and a part
        /// that is being saved to it again is incomplete.
        base::duration maxAge = std::chrono::milliseconds(2200);
        /// Share of a store that is filled. The rest is reserved for saves whose size is known late.
        double maxFillShare = 0.97;
        /// Returns false while the other processes may no longer know of this one and free context that its
        /// requests would fetch; may be empty.
        std::function<bool()> mayFetch = {};
    };

    context_catalog(const base::clock& time, options opts);

    /// Sets the stores from \a config.
    void setConfig(const relay_config& config);

    /// Applies the events of the store at \a address.
    void applyEvents(const net::endpoint& address, const context_event_batch& batch);

    /// Replaces the content of the store at \a address by \a held.
    void replaceParts(const net::endpoint& address, const context_event_batch& held);

    /// Removes all entries of the store at \a address, which may have restarted, and suspends it: other
    /// processes may still fetch what it held, and a part that is being saved again is incomplete.
    void invalidate(const net::endpoint& address);

    /// Uses the store at \a address neither for fetches nor for saves until its next reply is applied, since
    /// it may have restarted.
    void suspend(const net::endpoint& address);

    /// Saves nothing to the store at \a address for \a delay.
    void delaySaves(const net::endpoint& address, base::duration delay);

    base::duration maxAge() const { return m_options.maxAge; }

    /// The parts to fetch and save for a prompt. Only the shared parts are cached, which are all but the
    /// last.
    struct transfer_plan {
        context_plan plan;
        int cachedTokens = 0; ///< Tokens of the leading parts that can be fetched.
        base::duration transferTime { 0 };
        /// Store with the longest transfer of the plan; empty if nothing is fetched.
        std::string mainSource = {};
        /// A store holds a part but is at its transfer limit; it may have capacity soon.
        bool sourceBusy = false;
    };
    transfer_plan plan(std::string_view scope, std::span<const prompt_part> parts);

    /// Records that a request with \a plan was sent.
    void planStarted(std::string_view scope, std::span<const prompt_part> parts, const transfer_plan& plan);

    /// Records the end of the transfers of \a plan. \a excess is the delay of the first token beyond the
    /// expected prefill and transfer time; empty if no token was received.
    /// \a wasInTime is false if the fetch must have been given up.
    void planFinished(const transfer_plan& plan, std::optional<base::duration> excess, bool wasInTime = true);

    /// Returns the outcomes of fetches of this process since the last call, to be told to the others.
    std::vector<fetch_outcomes> takeFetchOutcomes();

    /// Records outcomes of fetches of another process.
    void recordFetchOutcomes(std::span<const fetch_outcomes> outcomes);

    /// Returns up to \a limit parts at \a address for which \a wanted returns true.
    std::vector<context_key> selectParts(const net::endpoint& address, std::size_t limit,
        const std::function<bool(const context_key&)>& wanted) const;

    /// Removes parts that are being freed, so that they are not fetched any more.
    void removeParts(const net::endpoint& address, std::span<const context_key> keys);

    /// Returns \a time by the clock of targets and stores, in milliseconds; empty if no store has told it.
    std::optional<std::int64_t> platformTimeMs(base::time_point time) const
    {
        return m_platformClock.at(time);
    }

    std::vector<net::endpoint> addresses() const;
    std::int64_t storedTokens(const net::endpoint& address) const;
    std::int64_t capacityTokens(const net::endpoint& address) const;

    /// Returns the number of event queries that the store serves concurrently; 0 if unknown.
    int maxConcurrentQueries(const net::endpoint& address) const;

private:
    struct cached_part {
        int tokens = 0;
        base::time_point lastUse {};
    };
    struct store_record {
        std::string name;
        context_store_info info;
        std::uint64_t epoch = 0;
        base::time_point lastReceivedAt {};
        bool suspended = false; ///< Not used until the next reply.
        base::time_point savesFrom {}; ///< Nothing is saved before.
        std::int64_t tokens = 0;
        transfer_window window;
        fetch_throttle throttle;
        fetch_outcomes unreported; ///< Outcomes that the other processes have not been told.
        std::map<context_key, cached_part> parts;
    };
    struct pending_save {
        base::time_point at {};
        std::string store;
        int tokens = 0;
    };

    base::duration transferTime(const store_record& store, int tokens) const;
    bool isUsable(const store_record& store) const;
    /// Returns the stores that may hold a part, best first; null where there are fewer.
    std::array<store_record*, 2> ownersOf(std::string_view partId);
    bool hasCapacity(const store_record& store, int tokens) const;

    /// Returns the part of \a key if \a store holds at least \a tokens of it, else null.
    static cached_part* findComplete(store_record& store, const context_key& key, int tokens);
    void clear(store_record& store, const std::string& address, std::uint64_t epoch);
    void applyEvent(store_record& store, const context_event& event);

    const base::clock& m_clock;
    options m_options;
    double m_tokenBytes = 0;
    remote_clock m_platformClock;
    std::map<std::string, store_record, std::less<>> m_stores; ///< By address.
    std::map<context_key, pending_save> m_pendingSaves;
};

} // namespace marigold::relay
