#pragma once

#include "attempt.h"

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

/// Position in a streamed answer, sent to the caller as event id and returned as `Last-Event-ID`.
struct resume_token {
    base::digest128 run = {};
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0; ///< Last chunk that the caller received.
    std::string target = {}; ///< Target that holds the run; printable ASCII.

    bool operator==(const resume_token&) const = default;
};

/// Encodes and verifies resume tokens. The tag is HMAC-SHA256 over team and token, truncated to 128 bits.
class resume_token_codec {
public:
    /// The first of \a secrets signs; all of them verify, so that a secret can be rotated while streams are
    /// running.
    explicit resume_token_codec(std::vector<std::string> secrets)
        : m_secrets(std::move(secrets))
    {
    }

    /// Returns \a token as text that is valid for \a team only. Empty when there is no secret, or the
    /// target is not printable or longer than 256 characters.
    std::string encode(const resume_token& token, std::string_view team) const;

    /// Verifies and decodes \a text. A forged token and a token of another team fail with the same error:
    /// `may_have_run`, `Forbidden`, field `Last-Event-ID`, because the state of the run is unknown.
    base::result<resume_token> decode(std::string_view text, std::string_view team) const;

private:
    std::vector<std::string> m_secrets;
};

} // namespace marigold::outcome
