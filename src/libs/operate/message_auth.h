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

/// A secret shared by the processes.
struct message_key {
    std::string id; ///< 1 to 16 letters, digits, '.', '_' or '-'.
    std::string secret; ///< 32 to 128 bytes.
};

/// Parses "ID:SECRET" of the setting `cluster.message_key`.
base::result<message_key> parseMessageKey(std::string_view text);

/// Signs and verifies messages between processes with HMAC-SHA256 (RFC 2104).
///
/// A message contains key id, wall time and nonce. A receiver accepts it once, within a window around its own
/// wall time. \a audience identifies the receiver, so that a captured message is not valid for another
/// process. The current key signs and both keys are accepted, so that keys can be rotated one process at a
/// time.
class message_auth {
public:
    struct options {
        message_key current;
        std::optional<message_key> previous = {};
        /// Maximum difference between the sender's time and the local time: clock error plus delay.
        base::duration window = std::chrono::seconds(30);
        /// Maximum number of accepted messages recorded to detect replays. 64 messages/s over twice the
        /// window are 3,840.
        std::size_t maxAcceptedMessages = 16'384;
        const base::event_log* log = nullptr;
    };

    /// Name of the HTTP header for the value of `signHttp`.
    static constexpr std::string_view headerName = "X-Marigold-Auth";

    /// Maximum size of a datagram that `verifyDatagram` accepts.
    static constexpr std::size_t maxDatagramBytes = 65'507;

    message_auth(options opts, const base::clock& time, base::random_source& random);

    /// Replaces both keys, for a rotation. Recorded messages are retained.
    void setKeys(message_key current, std::optional<message_key> previous);

    /// Returns \a payload with a preceding header of 34 bytes plus the key id.
    std::string signDatagram(std::string_view payload, std::string_view audience);

    /// Returns the payload of \a datagram, as a view into it, or `Unauthorized`.
    base::result<std::string_view> verifyDatagram(std::string_view datagram, std::string_view audience);

    /// Returns the header value for a request.
    std::string signHttp(
        std::string_view method, std::string_view path, std::string_view body, std::string_view audience);

    /// Verifies the header value \a header of a request; fails with `Unauthorized`.
    base::result<void> verifyHttp(std::string_view method, std::string_view path, std::string_view body,
        std::string_view audience, std::string_view header);

    std::size_t acceptedCount() const { return m_seen.size(); }
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
    void recordAccepted(const stamp& seen);

    options m_options;
    const base::clock& m_clock;
    base::random_source& m_random;
    std::set<std::pair<std::int64_t, std::uint64_t>> m_seen; ///< Time and nonce of accepted messages.
    /// Messages up to this time are refused, since they may no longer be recorded.
    std::int64_t m_replayFloor;
    refusal_log m_refusals;
};

} // namespace marigold::operate
