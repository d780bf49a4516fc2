#pragma once

#include "attempt.h"

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

/// Place in a streamed answer, given to the caller as event id and sent back as `Last-Event-ID`.
struct resume_token {
    base::digest128 run = {};
    attempt_id attempt = {};
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0; ///< Latest piece that the caller has.
    std::string target = {}; ///< Target that holds the run; printable ASCII.

    bool operator==(const resume_token&) const = default;
};

/// Writes and checks resume tokens. The tag is HMAC-SHA256 over team and token, cut to 128 bits.
class resume_token_codec {
public:
    /// \a secrets: the first one signs; all of them verify, so that a secret can be replaced while streams
    /// run.
    explicit resume_token_codec(std::vector<std::string> secrets)
        : m_secrets(std::move(secrets))
    {
    }

    /// Returns \a token as text that is valid for \a team only. Empty when there is no secret, or the
    /// target is not printable or longer than 256 characters.
    std::string encode(const resume_token& token, std::string_view team) const;

    /// Checks \a text. A forged token and one of another team fail alike: `may_have_run`, `Forbidden`, field
    /// `Last-Event-ID`, because nothing is known about the run that the caller means.
    base::result<resume_token> decode(std::string_view text, std::string_view team) const;

private:
    std::vector<std::string> m_secrets;
};

} // namespace marigold::outcome
