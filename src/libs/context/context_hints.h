#pragma once

#include "block_key.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace marigold::context {

/// Index of a target in the entry's target table.
using target_id = std::uint16_t;

enum class cache_event_kind {
    Stored,
    Removed,
    Cleared, ///< The target has lost its entire cache.
};

/// One event of an engine's prefix cache.
struct cache_event {
    target_id target = 0;
    std::uint64_t sequence = 0; ///< Increases by one with each event of the target.
    cache_event_kind kind = cache_event_kind::Stored;
    block_key key = {}; ///< Unused for `Cleared`.
};

/// A target that probably holds the first `blocks` blocks of a chain.
struct context_hint {
    target_id target = 0;
    std::uint32_t blocks = 0;
};

/// Bounded table that maps chain positions to the targets that probably have them cached. A lookup returns
/// hints only; the target verifies them.
///
/// The table is organized as a set-associative cache with sets of `setSize` entries in order of last use.
/// This takes 12 bytes per entry, since no list links are needed, and evicts nearly the same entries as a
/// single LRU list. An entry stores 32 bits of the key besides the set number; a false match yields a wrong
/// hint, but never wrong context.
class context_hints {
public:
    static constexpr std::size_t setSize = 32;

    /// Maximum number of targets per chain position. The most recently recorded ones are retained.
    static constexpr std::size_t targetsPerEntry = 2;

    struct options {
        /// The users' specification limits the table to 64 MB at 340,000 prompts.
        std::size_t maximumBytes = 56'000'000;
        std::size_t maximumTargets = 4096; ///< Target ids from this value on are ignored.
        const base::event_log* log = nullptr;
    };

    /// Hints for one chain, in descending order of `blocks`.
    struct lookup_result {
        std::array<context_hint, 4> hints {};
        std::size_t count = 0;

        std::span<const context_hint> all() const { return std::span(hints).first(count); }
    };

    explicit context_hints(options opts);

    /// Records that \a target has served a request and therefore holds the blocks of \a chain.
    void recordAnswer(std::span<const block_key> chain, target_id target);

    /// Applies one cache event. Repeated and late events, with a sequence number up to the last one, are
    /// ignored. A gap in the sequence drops all hints from earlier events of the target, because a missing
    /// event may have removed any block. Hints from its answers are retained.
    void recordEvent(const cache_event& event);

    /// Drops all hints for \a target, for example after its restart.
    void removeTarget(target_id target);

    /// Returns up to four targets that probably hold a prefix of \a chain, each with its longest prefix, and
    /// marks the entries it used as most recently used.
    lookup_result lookup(std::span<const block_key> chain);

    /// Allocated bytes; constant after construction.
    std::size_t memoryBytes() const;

    /// Number of chain positions in the table. Scans the entire table.
    std::size_t positions() const;

private:
    /// A target that holds a block, with the source and generation of this information; zero if unused.
    using holder = std::uint32_t;

    struct set {
        std::array<std::uint32_t, setSize> tags {};
        std::array<std::array<holder, targetsPerEntry>, setSize> holders {};
    };

    enum class source : std::uint8_t {
        Answer,
        Event,
    };

    struct target_state {
        std::array<std::uint16_t, 2> generation { 1, 1 }; ///< By source.
        bool hasSequence = false;
        std::uint64_t lastSequence = 0;
    };

    set& setOf(const block_key& key);
    std::size_t findEntry(const set& entries, std::uint32_t tag) const;
    static void moveToFront(set& entries, std::size_t at);
    void record(const block_key& key, target_id target, source from);
    void erase(const block_key& key, target_id target);
    holder holderOf(target_id target, source from) const;
    bool isCurrent(holder value) const;
    void invalidateHolders(target_id target, source from);
    void eraseHolders(target_id target, source from);

    options m_options;
    std::vector<set> m_sets;
    std::vector<target_state> m_targets;
};

} // namespace marigold::context
