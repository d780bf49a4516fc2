#pragma once

#include "member.h"

#include <optional>
#include <vector>

namespace marigold::control {

enum class message_type : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< Asks the receiver to probe `subject`.
    Notice, ///< News that shall not wait for the next probe; not answered.
    SyncRequest, ///< Carries table hashes; answered with pages of a domain that differs.
    SyncPage, ///< No records: all the hashes agree.
    Digest, ///< From a domain's delegate to another domain's.
};

/// What a delegate says of a whole failure domain.
struct domain_summary {
    std::string name;
    std::uint64_t stamp = 0; ///< Grows with every change; the higher one wins.
    bool reachable = true;
    std::uint64_t lowestVersion = 0; ///< Lowest configuration version of its live members.
    std::uint16_t behind = 0; ///< Members below the delegate's own version.
};

/// Hash over the members of one domain that a process knows.
struct domain_hash {
    std::string name;
    std::uint64_t hash = 0;
};

/// One membership datagram.
struct membership_message {
    message_type type = message_type::Ping;
    std::uint32_t sequence = 0;
    member sender;
    std::string subject = {};
    std::uint64_t upTo = 0; ///< Digest: number of the last change it covers.
    std::uint64_t confirmed = 0; ///< Digest: highest `upTo` received from the process it is sent to.
    std::vector<member> updates = {};
    std::vector<domain_summary> domains = {};
    std::vector<domain_hash> hashes = {};
};

/// Datagrams stay under the smallest usual MTU.
inline constexpr std::size_t maxDatagramBytes = 1200;

/// Records in one datagram; 20 of the longest usual ones fit.
inline constexpr std::size_t maxUpdates = 20;

/// Encodes \a message as MessagePack.
std::string encode(const membership_message& message);

/// Decodes strictly: sizes, types, ranges and counts are checked; empty for anything malformed.
std::optional<membership_message> decodeMessage(std::string_view bytes);

} // namespace marigold::control
