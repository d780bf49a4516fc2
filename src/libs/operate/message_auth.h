#pragma once

#include "refusal_log.h"

#include <base/base.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::operate {

/// A secret that processes share.
struct message_key {
    std::string id; ///< 1 to 16 letters, digits, '.', '_' or '-'.
    std::string secret; ///< 32 to 128 bytes.
};

/// Parses "ID:SECRET" of the setting `cluster.message_key`.
base::result<message_key> parseMessageKey(std::string_view text);

/// Signs and verifies messages between processes with HMAC-SHA256 (RFC 2104).
///
/// A message carries key id, wall time and nonce. A receiver accepts it once, within the window around its
/// own wall time. \a audience names the receiver, so that a message captured on the way to one process is of
/// no use at another. Two keys are accepted, and the current one signs, so that keys rotate process by
/// process.
class message_auth {
public:
    struct options {
        message_key current;
        std::optional<message_key> previous = {};
        /// Largest difference between the sender's time and ours: clock error plus delay.
        base::duration window = std::chrono::seconds(30);
        /// Most remembered messages. 64 messages/s over twice the window are 3,840.
        std::size_t remembered = 16'384;
        const base::event_log* log = nullptr;
    };

    /// Name of the HTTP header that `signHttp` fills.
    static constexpr std::string_view headerName = "X-Marigold-Auth";

    /// Largest datagram that `verifyDatagram` reads.
    static constexpr std::size_t largestDatagram = 65'507;

    message_auth(options opts, const base::clock& time, base::random_source& random);

    /// Replaces both keys, as a rotation does. Remembered messages stay.
    void setKeys(message_key current, std::optional<message_key> previous);

    /// Returns \a payload behind a header of 34 bytes plus the key id.
    std::string signDatagram(std::string_view payload, std::string_view audience);

    /// Returns the payload of \a datagram, as a view into it, or `Unauthorized`.
    base::result<std::string_view> verifyDatagram(std::string_view datagram, std::string_view audience);

    /// Returns the value of the header for a request.
    std::string signHttp(
        std::string_view method, std::string_view path, std::string_view body, std::string_view audience);

    /// Checks the header value \a header of a request, or returns `Unauthorized`.
    base::result<void> verifyHttp(std::string_view method, std::string_view path, std::string_view body,
        std::string_view audience, std::string_view header);

    std::size_t rememberedCount() const { return m_seen.size(); }
    std::uint64_t refusedCount() const { return m_refusals.total(); }

private:
    struct stamp {
        std::string_view keyId;
        std::int64_t time = 0; ///< Microseconds since the Unix epoch.
        std::uint64_t nonce = 0;
    };

    const message_key* keyOf(std::string_view id) const;
    base::result<void> checkFresh(const stamp& seen);
    tl::unexpected<base::error> refuse(std::string_view detail);
    void remember(const stamp& seen);

    options m_options;
    const base::clock& m_clock;
    base::random_source& m_random;
    std::set<std::pair<std::int64_t, std::uint64_t>> m_seen; ///< Time and nonce of accepted messages.
    std::int64_t m_floor; ///< Messages of this time or earlier are refused, since they may be forgotten.
    refusal_log m_refusals;
};

} // namespace marigold::operate
