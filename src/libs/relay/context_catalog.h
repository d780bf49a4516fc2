#pragma once

#include "relay_config.h"
#include "transfer_window.h"
#include "wire_dialect.h"

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

/// A change of what a store of context holds.
struct context_event {
    bool stored = false; ///< False: dropped.
    std::string scope;
    std::string partId;
    int tokens = 0; ///< Held now.
    std::uint64_t number = 0; ///< Grows with each event of a store; 0 in a list.
};

/// Answer of a store to a question for events.
struct context_event_batch {
    std::uint64_t epoch = 0; ///< Changes when the store restarts, which empties it.
    std::uint64_t next = 0;
    bool lost = false; ///< Events before the first one are missing.
    std::vector<context_event> events = {};
};

/// A part as it is kept: parts of equal ids in different scopes are different parts.
struct context_key {
    std::string scope;
    std::string partId;
    auto operator<=>(const context_key&) const = default;
};

/// Which stores hold which parts of prompts, and where a part belongs.
///
/// The stores of a part are computed from its id by rendezvous hashing weighted with the stores' capacities,
/// so that all processes agree without messages; the second one is for parts that the first has no room for.
/// A part is fetched only once an event of its store has said that it is whole there; a part that is still
/// being written would be read as garbage.
class context_catalog {
public:
    struct options {
        /// A save that has not been reported after this time is taken to have failed.
        base::duration saveTimeout = std::chrono::seconds(6);
        /// What a store has said is used for this long: it may have restarted since, and a part that is being
        /// saved to it again is not whole.
        base::duration freshness = std::chrono::milliseconds(2200);
        /// Share of a store that is filled; the rest is for saves whose size is known late.
        double fillLimit = 0.97;
    };

    context_catalog(const base::clock& time, options opts);

    /// Takes the stores of \a config.
    void setConfig(const relay_config& config);

    /// Takes the events of the store at \a address.
    void take(const net::endpoint& address, const context_event_batch& batch);

    /// Takes \a held as all that the store at \a address holds.
    void replace(const net::endpoint& address, const context_event_batch& held);

    /// Forgets what the store at \a address holds, which may have restarted.
    void forgetAll(const net::endpoint& address);

    /// What to fetch and save for a prompt of \a parts; only the shared ones are kept, all but the last.
    struct planned {
        context_plan plan;
        int keptTokens = 0; ///< Of the leading parts that can be fetched.
        base::duration transferTime { 0 };
        /// Store that most of the context comes from; empty if nothing is fetched.
        std::string mainSource = {};
        /// A store holds a part but has enough transfers under way; it may be free soon.
        bool mustWait = false;
    };
    planned plan(std::string_view scope, std::span<const prompt_part> parts);

    /// Records that \a plan was sent with a request.
    void began(std::string_view scope, std::span<const prompt_part> parts, const planned& plan);

    /// Ends the transfers of a request that began with \a plan; \a excess is its delay beyond what prefill
    /// and links explain, empty if its first token never came.
    void ended(const planned& plan, std::optional<base::duration> excess);

    /// Returns up to \a limit parts at \a address that \a wanted accepts.
    std::vector<context_key> select(const net::endpoint& address, std::size_t limit,
        const std::function<bool(const context_key&)>& wanted) const;

    /// Forgets parts that are being freed, so that nothing fetches them any more.
    void forget(const net::endpoint& address, std::span<const context_key> keys);

    std::vector<net::endpoint> addresses() const;
    std::int64_t heldTokens(const net::endpoint& address) const;
    std::int64_t capacityTokens(const net::endpoint& address) const;

    /// Questions for events that the store answers at a time; 0 if it does not say.
    int simultaneousCalls(const net::endpoint& address) const;

private:
    struct held_part {
        int tokens = 0;
        base::time_point lastUse {};
    };
    struct store_record {
        std::string name;
        context_store_info info;
        std::uint64_t epoch = 0;
        base::time_point heardAt {};
        std::int64_t tokens = 0;
        transfer_window window;
        std::map<context_key, held_part> parts;
    };
    struct save_record {
        base::time_point at {};
        std::string store;
        int tokens = 0;
    };

    base::duration transferTime(const store_record& store, int tokens) const;
    /// The stores that a part may lie in, best first; null where there are fewer.
    std::array<store_record*, 2> homesOf(std::string_view partId);
    bool hasRoom(const store_record& store, int tokens) const;

    /// Returns the part of \a key if \a store holds all its \a tokens, else null.
    static held_part* findWhole(store_record& store, const context_key& key, int tokens);
    void clear(store_record& store, const std::string& address, std::uint64_t epoch);
    void hold(store_record& store, const context_event& event);

    const base::clock& m_clock;
    options m_options;
    double m_tokenBytes = 0;
    std::map<std::string, store_record, std::less<>> m_stores; ///< By address.
    std::map<context_key, save_record> m_saving;
};

} // namespace marigold::relay
