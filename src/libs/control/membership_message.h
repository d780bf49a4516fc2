#pragma once

#include "member.h"

#include <optional>
#include <vector>

namespace marigold::control {

enum class message_type : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< Asks the receiver to probe `subject`.
    Notice, ///< Changes that must not wait for the next probe; not acknowledged.
    SyncRequest, ///< Carries table hashes; the reply has the members of one differing domain, in pages.
    SyncPage, ///< Without records if all hashes agree.
    Digest, ///< From a delegate of one domain to a delegate of another.
};

/// State of a failure domain, published by a delegate.
struct domain_summary {
    std::string name;
    std::uint64_t stamp = 0; ///< Increases with every change; the summary with the higher one wins.
    bool reachable = true;
    std::uint64_t lowestVersion = 0; ///< Lowest configuration version of its live members.
    std::uint16_t behind = 0; ///< Members with a lower version than the delegate.
};

/// Hash over the known members of a domain.
struct domain_hash {
    std::string name;
    std::uint64_t hash = 0;
};

/// Content of a membership datagram.
struct membership_message {
    message_type type = message_type::Ping;
    std::uint32_t sequence = 0;
    member sender;
    std::string subject = {};
    std::uint64_t upTo = 0; ///< In a digest, the number of the last change it covers.
    std::uint64_t confirmed = 0; ///< In a digest, the highest `upTo` received from its receiver.
    std::vector<member> updates = {};
    std::vector<domain_summary> domains = {};
    std::vector<domain_hash> hashes = {};
};

/// Keeps datagrams below the smallest common MTU.
inline constexpr std::size_t maxDatagramBytes = 1200;

/// Records in one datagram; 20 records of the longest common size fit.
inline constexpr std::size_t maxUpdates = 20;

/// Encodes \a message as MessagePack.
std::string encode(const membership_message& message);

/// Decodes a message and checks sizes, types, ranges and counts; empty for malformed input.
std::optional<membership_message> decodeMessage(std::string_view bytes);

} // namespace marigold::control
