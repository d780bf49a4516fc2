#pragma once

#include "block_key.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace marigold::context {

/// Number of a target in the entry's target table.
using target_id = std::uint16_t;

enum class cache_event_kind {
    Stored,
    Removed,
    Cleared, ///< The target has lost its whole cache.
};

/// One event of an engine's prefix cache.
struct cache_event {
    target_id target = 0;
    std::uint64_t sequence = 0; ///< Counts the events of one target.
    cache_event_kind kind = cache_event_kind::Stored;
    block_key key = {}; ///< Unused for `Cleared`.
};

/// A target that probably holds the first `blocks` blocks of a chain.
struct context_hint {
    target_id target = 0;
    std::uint32_t blocks = 0;
};

/// What is known about the caches of targets: a bounded table from chain position to the targets that
/// probably hold it. Every answer is a hint; the target verifies it.
///
/// The table is divided into sets of `setSize` entries, each in order of last use, as in a set-associative
/// cache: that needs no links, 12 bytes an entry, and drops nearly the same entries as one list would. Of the
/// key, 32 bits beyond the set number are kept; a wrong match gives a wrong hint, no wrong context.
class context_hints {
public:
    static constexpr std::size_t setSize = 32;

    /// Targets kept for one chain position; the ones heard of last stay.
    static constexpr std::size_t targetsPerEntry = 2;

    struct options {
        std::size_t maximumBytes = 56'000'000; ///< The page allows 64 MB at 340,000 prompts.
        std::size_t maximumTargets = 4096; ///< Ids at and above this are ignored.
        const base::event_log* log = nullptr;
    };

    /// Hints for one chain, the deepest first.
    struct lookup_result {
        std::array<context_hint, 4> hints {};
        std::size_t count = 0;

        std::span<const context_hint> all() const { return std::span(hints).first(count); }
    };

    explicit context_hints(options opts);

    /// Records that \a target answered a request and so holds the blocks of \a chain.
    void recordAnswer(std::span<const block_key> chain, target_id target);

    /// Applies one cache event. Events with a sequence number that was seen or passed are ignored. After a
    /// gap, everything that the target's earlier events said is dropped, because the removal of any block may
    /// be among the missing ones; what its answers said stays.
    void recordEvent(const cache_event& event);

    /// Drops everything known about \a target, for instance after its restart.
    void forgetTarget(target_id target);

    /// Returns up to four targets that probably hold a prefix of \a chain, each with its longest, and marks
    /// the entries it used as recent.
    lookup_result lookup(std::span<const block_key> chain);

    /// Bytes held; constant after construction.
    std::size_t memoryBytes() const;

    /// Chain positions that are in the table; reads all of it.
    std::size_t positions() const;

private:
    /// Target, source and generation of one statement; zero is an empty place.
    using claim = std::uint32_t;

    struct set {
        std::array<std::uint32_t, setSize> tags {};
        std::array<std::array<claim, targetsPerEntry>, setSize> claims {};
    };

    enum class source : std::uint8_t {
        Answer,
        Event,
    };

    struct target_state {
        std::array<std::uint16_t, 2> generation { 1, 1 }; ///< By source.
        bool heard = false;
        std::uint64_t lastSequence = 0;
    };

    set& setOf(const block_key& key);
    std::size_t findEntry(const set& entries, std::uint32_t tag) const;
    static void moveToFront(set& entries, std::size_t at);
    void record(const block_key& key, target_id target, source from);
    void erase(const block_key& key, target_id target);
    claim claimOf(target_id target, source from) const;
    bool isCurrent(claim value) const;
    void dropClaims(target_id target, source from);
    void eraseStale(target_id target, source from);

    options m_options;
    std::vector<set> m_sets;
    std::vector<target_state> m_targets;
};

} // namespace marigold::context
