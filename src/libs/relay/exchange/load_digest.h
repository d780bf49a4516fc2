#pragma once

#include <relay/context/fetch_throttle.h>

#include <base/base.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Unfinished work at one target.
struct target_load {
    int requests = 0;
    std::int64_t prefillTokens = 0; ///< Tokens of prompts whose first token has not been received.
    std::int64_t tokens = 0; ///< Tokens that the requests occupy at their end.
    int loading = 0; ///< Nonzero while the target has an order to load weights; it gets no requests then.

    target_load& operator+=(const target_load& other);
    target_load& operator-=(const target_load& other);
    bool operator==(const target_load&) const = default;
};

/// Sections of a digest that other parts of the relay encode. The value is the index of the element in the
/// encoded array.
enum class digest_section_id {
    Demand = 8,
    Pace = 9,
    VersionOutcomes = 10,
    HedgedAttempts = 11,
    StoreRevision = 12,
};

/// Time since a weight version was named, as a process knows it.
struct version_age {
    std::uint64_t model = 0; ///< Hash of the model.
    int version = 0;
    base::duration age { 0 };
    bool isExact = true; ///< Otherwise the version may be older than that.

    bool operator==(const version_age&) const = default;
};

/// The unfinished work of one process at all targets, as sent to its peers.
struct load_digest {
    std::string process;
    /// Increases with each digest; receivers drop a digest that is not newer than the last one.
    std::uint64_t sequence = 0;
    struct entry {
        std::uint64_t target = 0; ///< Hash of the target's id.
        target_load load;
    };
    std::vector<entry> entries = {};
    std::vector<fetch_outcomes> fetches = {}; ///< Since the last digest with outcomes.
    bool isPartial = false; ///< Lists only targets whose load has just changed; the others are as before.
    /// Oldest weight version on which the process still starts requests, by the hash of the model.
    std::map<std::uint64_t, int> oldestInUse = {};
    std::vector<version_age> versionAges = {};
    std::uint64_t lastReceived = 0; ///< Sequence number of the receiver's last digest; 0 if none.
    /// Encoded data of other parts of the relay, by section; see `digest_section`.
    std::map<digest_section_id, std::string> sections = {};
};

/// Writes and reads one section of the digests.
struct digest_section {
    digest_section_id id = digest_section_id::Demand;
    /// Returns the section for the digest that is sent next; empty if there is nothing to send.
    std::function<std::string()> write = {};
    /// Called with the section of a peer. The bytes come from the network and may be anything.
    std::function<void(std::string_view process, std::string_view bytes)> read = {};
};

/// First byte of each datagram with a load digest; distinguishes it from other datagrams of the relays.
inline constexpr char loadDigestKind = 'L';

/// Encodes \a digest as MessagePack after the kind byte.
std::string encode(const load_digest& digest);

/// Decodes the output of `encode`; returns `InvalidRequest` for any other bytes.
base::result<load_digest> decodeLoadDigest(std::string_view bytes);

} // namespace marigold::relay
