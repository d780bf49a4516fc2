#pragma once

#include "context_catalog.h"

#include <optional>
#include <string>

#include <string_view>
#include <vector>

namespace marigold::relay {

/// First byte of each datagram with a context digest, which tells it from other datagrams of the relays.
inline constexpr char contextDigestKind = 'C';

/// Events of a store of context, as one process passes them on to another.
struct context_digest {
    std::string process; ///< That asked the store.
    std::string store; ///< Address of the store.
    /// Number of the last event before these; a receiver that is not there yet has missed some.
    std::uint64_t since = 0;
    /// Of a list of all that the store holds, instead of events: which piece of the list this is.
    std::optional<int> listPiece = {};
    bool listEnds = true; ///< With this piece; always true without a list.
    context_event_batch batch;
};

/// Splits \a digest into ones of at most \a mostEvents, each of which continues the one before, so that a
/// receiver notices which of them were lost.
std::vector<context_digest> split(const context_digest& digest, std::size_t mostEvents);

/// Encodes \a digest as MessagePack behind its kind.
std::string encode(const context_digest& digest);

/// Decodes what `encode` returned; `InvalidRequest` for any other bytes.
base::result<context_digest> decodeContextDigest(std::string_view bytes);

} // namespace marigold::relay
