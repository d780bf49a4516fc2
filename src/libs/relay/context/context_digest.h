#pragma once

#include "context_catalog.h"

#include <optional>
#include <string>

#include <string_view>
#include <vector>

namespace marigold::relay {

/// First byte of each datagram with a context digest; distinguishes it from other datagrams of the relays.
inline constexpr char contextDigestKind = 'C';

/// Events of a context store, as forwarded by one process to another.
struct context_digest {
    std::string process; ///< The process that queried the store.
    std::string store; ///< Address of the store.
    /// Sequence number of the last event before these; a receiver whose last number is lower has missed
    /// events.
    std::uint64_t since = 0;
    /// Chunk number, if this is part of a list of the complete store instead of events.
    std::optional<int> chunkNumber = {};
    bool isLastChunk = true; ///< True for the last chunk of a list, and without a list.
    context_event_batch batch;
};

/// Splits \a digest into digests of at most \a maxEvents events, each of which continues the previous one, so
/// that a receiver detects lost ones.
std::vector<context_digest> split(const context_digest& digest, std::size_t maxEvents);

/// Encodes \a digest as MessagePack after the kind byte.
std::string encode(const context_digest& digest);

/// Decodes the output of `encode`; returns `InvalidRequest` for any other bytes.
base::result<context_digest> decodeContextDigest(std::string_view bytes);

} // namespace marigold::relay
