#pragma once

#include <base/base.h>

#include <compare>
#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::context {

/// Identifies one block of cached context. The key is a keyed hash: its bytes are uniformly distributed, and
/// it can be computed only with the team's secret.
class block_key {
public:
    /// The null key, which is the parent of the first block of a chain.
    block_key() = default;

    explicit block_key(const base::digest128& digest)
        : m_digest(digest)
    {
    }

    const base::digest128& digest() const { return m_digest; }
    bool isNull() const { return m_digest == base::digest128 {}; }
    std::string hex() const { return base::toHex(m_digest); }

    /// View of the 16 bytes, for hash functions; valid for the lifetime of this key.
    std::string_view view() const
    {
        return { reinterpret_cast<const char*>(m_digest.data()), m_digest.size() };
    }

    /// The first and the last 8 bytes, for indexing hash tables.
    std::uint64_t high() const { return word(0); }
    std::uint64_t low() const { return word(sizeof(std::uint64_t)); }

    auto operator<=>(const block_key&) const = default;

private:
    std::uint64_t word(std::size_t offset) const
    {
        std::uint64_t value = 0;
        std::memcpy(&value, m_digest.data() + offset, sizeof value);
        return value;
    }

    base::digest128 m_digest {};
};

/// Hash for standard containers. Uses key bytes directly, since keys are uniformly distributed.
struct block_key_hash {
    std::size_t operator()(const block_key& key) const noexcept { return key.high(); }
};

/// Everything besides the prompt that determines whether a cached block may be used. The viewed strings must
/// outlive the call that takes the scope.
struct block_scope {
    std::string_view teamSecret; ///< At least `minimumSecretBytes` long.
    std::string_view model;
    std::string_view weightVersion;
    std::string_view adapter = {}; ///< Empty without an adapter.
};

/// Minimum length of a team's secret. Shorter secrets could be guessed, and all teams without a secret would
/// share the empty one.
constexpr std::size_t minimumSecretBytes = 16;

/// Returns the key of one block: HMAC-SHA256 under the team's secret over the parent key, the scope and the
/// block bytes, truncated to 16 bytes. Each field is prefixed with its length so that field boundaries are
/// unambiguous. The length of the secret is part of the input, because HMAC pads short keys with zeros and
/// hashes long ones (RFC 2104), so that two different secrets can be equivalent HMAC keys.
/// \param parent key of the preceding block, or the null key for the first block
/// \return `InvalidRequest` if the secret is too short
base::result<block_key> blockKey(const block_scope& scope, const block_key& parent, std::string_view block);

/// Returns one key for each complete block of \a prompt. Each key is chained to the previous one and so
/// identifies the entire prefix up to its block. A partial block at the end has no key.
/// \param blockBytes block size in bytes of prompt, greater than zero
/// \return `InvalidRequest` if the secret is too short or the block size is zero
base::result<std::vector<block_key>> blockKeyChain(
    const block_scope& scope, std::string_view prompt, std::size_t blockBytes);

} // namespace marigold::context
