#pragma once

#include <base/base.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

enum class claim_state {
    Claimed, ///< The call may be sent, is running, or has an unknown result.
    Done, ///< The call ran and its result is known.
    Released, ///< The call was not sent; the key can be claimed again.
};

/// Returns the wire name of \a state.
std::string_view nameOf(claim_state state);

/// Answer of a plain service, stored for repeated calls.
struct stored_answer {
    int status = 0; ///< HTTP status.
    std::string contentType = {};
    std::string body = {};

    bool operator==(const stored_answer&) const = default;
};

/// A claim as it is stored in the key-value service.
struct claim_record {
    base::digest128 key = {}; ///< Digest of team and idempotency key.
    base::digest128 request = {}; ///< Digest of the request; a different request with this key is refused.
    std::uint64_t nonce = 0; ///< Identifies the claim after a write with unknown result.
    std::uint32_t claimer = 0; ///< Index for `claim_value::claimerOf`.
    claim_state state = claim_state::Claimed;
    std::shared_ptr<const stored_answer> answer = {}; ///< Only with Done; empty if it was not stored.
};

/// All claims of one bucket and shard: the value `claims/SERVICE/BUCKET/SHARD`. Encoded as MessagePack
/// with packed records.
class claim_value {
public:
    /// Decodes a value; empty if any part of it is invalid or it has another format version.
    static std::optional<claim_value> decode(std::string_view text);

    std::string encode() const;

    /// Returns the record of \a key, or null.
    const claim_record* find(const base::digest128& key) const;

    /// Returns the process that wrote \a record; empty if its result is permanently unknown.
    std::string_view claimerOf(const claim_record& record) const { return m_claimers[record.claimer]; }

    /// Inserts \a record or replaces the record of the same key; \a claimer is its process.
    void set(claim_record record, std::string_view claimer);

    /// Upper bound of the length of `encode()`, in bytes.
    std::size_t encodedBound() const { return m_bound; }

    /// Returns the contribution of \a record to `encodedBound()`, without its claimer.
    static std::size_t encodedBound(const claim_record& record);

    std::size_t size() const { return m_records.size(); }

    /// Memory usage of the value, in bytes.
    std::size_t memoryBytes() const;

private:
    bool unpackRecords(const std::vector<std::uint8_t>& packed);
    bool unpackAnswers(const std::vector<std::uint8_t>& packed);
    std::uint32_t indexOf(std::string_view claimer);

    /// Upper bounds of the MessagePack lengths of array, version, claimers and two fields.
    static constexpr std::size_t frameBytes = 1 + 1 + 5 + 5 + 5;

    std::vector<std::string> m_claimers;
    std::vector<claim_record> m_records; ///< Ordered by key.
    std::size_t m_bound = frameBytes;
    std::size_t m_answerBytes = 0;
};

} // namespace marigold::outcome
